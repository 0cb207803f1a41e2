//! Opens a client's session: PRELOGIN, then LOGIN7. The user name and the password are not checked.

use super::reply::{SERVER_NAME, class, encode_packets, env_change_type, put_failure};
use super::{ClientMessage, Session, operation};
use crate::protocols::client_connection::Disconnect;
use comethitch_tds::login::{Encryption, Login, MAX_LOGIN_BYTES, Prelogin, TDS_VERSION};
use comethitch_tds::packet::{INITIAL_PACKET_BYTES, MIN_PACKET_BYTES, MessageKind};
use comethitch_tds::token::code;
use comethitch_tds::write::{put_done, put_env_change, put_env_change_bytes, put_login_ack};

/// The server version that is sent to clients.
const SERVER_VERSION: [u8; 6] = [16, 0, 0, 0, 0, 0];
/// The collation of a session: Latin, case-insensitive.
const COLLATION: [u8; 5] = [0x09, 0x04, 0xd0, 0x00, 0x34];
const LANGUAGE: &str = "us_english";
/// The database of a session before its login.
const INITIAL_DATABASE: &str = "master";
/// The error number with which servers of this protocol report a failed login.
const LOGIN_FAILED: i32 = 18_456;

impl Session {
    /// Performs the login, after which the client may send requests.
    pub(super) async fn log_in(&mut self) -> Result<(), Disconnect> {
        self.answer_prelogin().await?;
        let login = self.read_login().await?;
        if login.integrated {
            return self.reject_login().await;
        }
        // No request can be served before the first endpoint list.
        if !self.connection.wait_until_ready().await? {
            return Err(Disconnect::Closing);
        }
        let packet_size = self.negotiate_packet_size(&login);
        let tokens = self.login_answer(&login, packet_size);
        self.connection.write(&encode_packets(INITIAL_PACKET_BYTES, &tokens)).await?;
        self.packet_size = packet_size;
        Ok(())
    }

    async fn answer_prelogin(&mut self) -> Result<(), Disconnect> {
        let payload =
            self.read_login_message(MessageKind::Prelogin, "a connection begins with a PRELOGIN").await?;
        Prelogin::read(&payload).map_err(operation::protocol_violation)?;
        let answer =
            Prelogin { version: SERVER_VERSION, encryption: Encryption::NotSupported, ..Prelogin::default() };
        let mut payload = Vec::new();
        answer.put(&mut payload);
        self.connection.write(&encode_packets(INITIAL_PACKET_BYTES, &payload)).await
    }

    async fn read_login(&mut self) -> Result<Login, Disconnect> {
        let payload =
            self.read_login_message(MessageKind::Login, "a PRELOGIN is followed by a LOGIN7").await?;
        Login::read(&payload).map_err(operation::protocol_violation)
    }

    /// Reads a message of the expected kind.
    ///
    /// # Errors
    /// [`Disconnect::ProtocolViolation`] with the text `violation` for any other kind.
    async fn read_login_message(
        &mut self, expected: MessageKind, violation: &'static str,
    ) -> Result<Vec<u8>, Disconnect> {
        let ClientMessage { kind, payload, .. } = self.read_message(MAX_LOGIN_BYTES).await?;
        if kind != expected {
            return Err(Disconnect::ProtocolViolation(violation));
        }
        Ok(payload)
    }

    /// Rejects integrated authentication, which is not supported.
    async fn reject_login(&mut self) -> Result<(), Disconnect> {
        let text = "only logins by name and password are spoken here";
        let mut tokens = Vec::new();
        put_failure(&mut tokens, LOGIN_FAILED, class::LOGIN_FAILED, text, code::DONE);
        self.connection.write(&encode_packets(INITIAL_PACKET_BYTES, &tokens)).await?;
        Err(Disconnect::Closing)
    }

    /// Returns the packet size that the client requests, clamped to the protocol's minimum and the operator's
    /// maximum.
    fn negotiate_packet_size(&self, login: &Login) -> usize {
        match usize::try_from(login.packet_size).unwrap_or(INITIAL_PACKET_BYTES) {
            0 => INITIAL_PACKET_BYTES,
            requested => requested.clamp(MIN_PACKET_BYTES, self.settings.packet_size),
        }
    }

    fn login_answer(&self, login: &Login, packet_size: usize) -> Vec<u8> {
        let default_database = &self.settings.hosts.database;
        let database = if login.database.is_empty() { default_database } else { &login.database };
        let mut tokens = Vec::new();
        put_env_change(&mut tokens, env_change_type::DATABASE, database, INITIAL_DATABASE);
        put_env_change_bytes(&mut tokens, env_change_type::COLLATION, &COLLATION, &[]);
        put_env_change(&mut tokens, env_change_type::LANGUAGE, LANGUAGE, "");
        put_login_ack(&mut tokens, TDS_VERSION, SERVER_NAME);
        put_env_change(
            &mut tokens,
            env_change_type::PACKET_SIZE,
            &packet_size.to_string(),
            &INITIAL_PACKET_BYTES.to_string(),
        );
        put_done(&mut tokens, code::DONE, 0, 0);
        tokens
    }
}
