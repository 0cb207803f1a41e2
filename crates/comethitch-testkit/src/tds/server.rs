//! The server side of a TDS connection: encodes what a scripted host sends.

use super::{encode, read_message, samples, write_message};
use crate::connection::{ServerError, ServerProtocol, serve_requests};
use crate::engine::Engine;
use crate::error::ConnectionError;
use comethitch_tds::login::{Login, Prelogin, TDS_VERSION};
use comethitch_tds::packet::{INITIAL_PACKET_BYTES, MessageKind, status};
use comethitch_tds::request::{Batch, Call};
use comethitch_tds::token::{ServerMessage, code, done, env_change_type};
use comethitch_tds::write::{
    Cell, Column, put_columns, put_done, put_env_change, put_env_change_bytes, put_login_ack,
    put_return_status, put_row, put_server_message,
};
use std::net::TcpStream;

/// Packet size that hosts choose: the minimum, so that answers span several packets.
const PACKET_BYTES: usize = 512;
const SERVER_NAME: &str = "standin";
/// Application name in the login of a router, on whose connections requests of many clients follow each
/// other.
const ROUTER_APPLICATION: &str = "comethitch";
/// Error number for a second request of a router on a session that it has not reset.
const SESSION_NOT_RESET: i32 = 50_999;
/// Severity of all errors.
const ERROR_CLASS: u8 = 16;
/// Length of each filler row of a large answer, in characters.
const LARGE_ROW_LENGTH: usize = 50 << 10;
/// Number of filler rows of a large answer.
const LARGE_ROW_COUNT: usize = 20;
const COLUMNS: [(&str, Column); 1] = [("data", Column::LongText)];

/// Type of a request, which determines the DONE tokens of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Batch,
    Call,
}

struct TdsServer {
    stream: TcpStream,
    /// Whether the client is a router, which must reset the session before each request but the first.
    client_is_router: bool,
    /// Whether a request has been read on this connection.
    has_read_request: bool,
    request_kind: RequestKind,
    /// Tokens at the beginning of the answer to the current request: the acknowledgement of a session reset,
    /// or nothing if the request did not ask for a reset.
    reset_acknowledgement: Vec<u8>,
}

/// Accepts a login with any user and password, and serves the requests of the client.
pub(crate) fn serve(mut stream: TcpStream, engine: &Engine) -> Result<(), ConnectionError> {
    exchange_prelogin(&mut stream)?;
    let login = Login::read(&read_message(&mut stream)?.payload)?;
    write_message(&mut stream, MessageKind::Response, INITIAL_PACKET_BYTES, &login_response())?;
    let server = TdsServer {
        stream,
        client_is_router: login.application == ROUTER_APPLICATION,
        has_read_request: false,
        request_kind: RequestKind::Batch,
        reset_acknowledgement: Vec::new(),
    };
    serve_requests(server, engine)
}

fn exchange_prelogin(stream: &mut TcpStream) -> Result<(), ConnectionError> {
    Prelogin::read(&read_message(stream)?.payload)?;
    let mut response = Vec::new();
    Prelogin { version: [16, 0, 0, 0, 0, 0], ..Prelogin::default() }.put(&mut response);
    write_message(stream, MessageKind::Response, INITIAL_PACKET_BYTES, &response)?;
    Ok(())
}

fn login_response() -> Vec<u8> {
    let mut tokens = Vec::new();
    put_env_change(&mut tokens, env_change_type::DATABASE, "crm", "master");
    put_login_ack(&mut tokens, TDS_VERSION, SERVER_NAME);
    put_env_change(&mut tokens, env_change_type::PACKET_SIZE, &PACKET_BYTES.to_string(), "4096");
    put_done(&mut tokens, code::DONE, 0, 0);
    tokens
}

impl TdsServer {
    /// Returns the text of a request: the text of a batch, or the statement of a procedure call.
    fn decode(&mut self, kind: MessageKind, payload: &[u8]) -> Result<String, ConnectionError> {
        if kind == MessageKind::Rpc {
            self.request_kind = RequestKind::Call;
            let call = Call::read(payload)?;
            return Ok(call.statement().unwrap_or("EXEC").to_string());
        }
        self.request_kind = RequestKind::Batch;
        Ok(Batch::read(payload)?.text)
    }

    /// Encodes the tokens of an answer of one row.
    fn answer_tokens(&self, key: &str) -> Vec<u8> {
        let mut tokens = self.reset_acknowledgement.clone();
        put_columns(&mut tokens, &COLUMNS);
        put_row(&mut tokens, &COLUMNS, &[Cell::Text(key.into())]);
        self.put_end(&mut tokens);
        tokens
    }

    /// Appends the tokens that end an answer of one row.
    fn put_end(&self, tokens: &mut Vec<u8>) {
        match self.request_kind {
            RequestKind::Call => {
                put_done(tokens, code::DONE_IN_PROCEDURE, done::MORE | done::COUNT, 1);
                put_return_status(tokens, 0);
                put_done(tokens, code::DONE_PROCEDURE, 0, 0);
            }
            RequestKind::Batch => put_done(tokens, code::DONE, done::COUNT, 1),
        }
    }
}

/// Returns the number that a batch such as `SELECT 7` selects without reading any data.
fn selected_number(text: &str) -> Option<i64> {
    text.strip_prefix("SELECT ")?.parse().ok()
}

fn answer_message(tokens: &[u8]) -> Vec<u8> {
    encode(MessageKind::Response, PACKET_BYTES, tokens)
}

fn error_tokens(number: i32) -> Vec<u8> {
    let mut tokens = Vec::new();
    let message = ServerMessage { number, state: 1, class: ERROR_CLASS, text: "no".into() };
    put_server_message(&mut tokens, &message, SERVER_NAME);
    put_done(&mut tokens, code::DONE, done::ERROR, 0);
    tokens
}

fn error_number(error: ServerError) -> i32 {
    match error {
        ServerError::ReadOnly => 3906,
        ServerError::Overloaded => 10_928,
        ServerError::Internal => 50_000,
        ServerError::Transient => 40_501,
    }
}

impl ServerProtocol for TdsServer {
    const HEALTH_CHECK: &'static str = "SELECT rol, posicion_ms FROM estado.replica";

    fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    fn read_request(&mut self) -> Result<Option<String>, ConnectionError> {
        loop {
            let message = read_message(&mut self.stream)?;
            let text = self.decode(message.kind, &message.payload)?;
            if selected_number(&text).is_some() {
                return Ok(Some(text));
            }
            self.reset_acknowledgement.clear();
            if message.status & status::RESET != 0 {
                put_env_change_bytes(
                    &mut self.reset_acknowledgement,
                    env_change_type::RESET_ACKNOWLEDGED,
                    &[],
                    &[],
                );
            } else if self.has_read_request && self.client_is_router {
                let tokens = error_tokens(SESSION_NOT_RESET);
                write_message(&mut self.stream, MessageKind::Response, PACKET_BYTES, &tokens)?;
                continue;
            }
            self.has_read_request = true;
            return Ok(Some(text));
        }
    }

    fn answer_without_effect(&self, text: &str) -> Option<Vec<u8>> {
        let number = selected_number(text)?;
        let columns = [("", Column::Integer)];
        let mut tokens = Vec::new();
        put_columns(&mut tokens, &columns);
        put_row(&mut tokens, &columns, &[Cell::Integer(number)]);
        put_done(&mut tokens, code::DONE, done::COUNT, 1);
        Some(answer_message(&tokens))
    }

    fn load_report(&self, position_ms: u64, is_primary: bool) -> Vec<u8> {
        let columns = [("rol", Column::Text), ("posicion_ms", Column::Integer)];
        let role = if is_primary { "PRIMARY" } else { "SECONDARY" };
        let cells = [Cell::Text(role.into()), Cell::Integer(position_ms as i64)];
        let mut tokens = self.reset_acknowledgement.clone();
        put_columns(&mut tokens, &columns);
        put_row(&mut tokens, &columns, &cells);
        put_done(&mut tokens, code::DONE, done::COUNT, 1);
        answer_message(&tokens)
    }

    fn answer(&self, key: &str) -> Vec<u8> {
        answer_message(&self.answer_tokens(key))
    }

    fn answer_in_transaction(&self, key: &str) -> Vec<u8> {
        let mut tokens = self.reset_acknowledgement.clone();
        put_env_change_bytes(&mut tokens, env_change_type::BEGIN_TRANSACTION, &[1; 8], &[]);
        tokens.extend(self.answer_tokens(key));
        answer_message(&tokens)
    }

    fn answer_with_extra_bytes(&self, key: &str) -> Vec<u8> {
        let mut tokens = self.answer_tokens(key);
        self.put_end(&mut tokens);
        answer_message(&tokens)
    }

    fn answer_of_all_types(&self, _key: &str) -> Vec<u8> {
        let mut tokens = self.reset_acknowledgement.clone();
        samples::put_row_of_all_types(&mut tokens);
        self.put_end(&mut tokens);
        answer_message(&tokens)
    }

    fn large_answer(&self, key: &str) -> Vec<u8> {
        let mut tokens = self.reset_acknowledgement.clone();
        put_columns(&mut tokens, &COLUMNS);
        let filler = [Cell::Text("x".repeat(LARGE_ROW_LENGTH))];
        for _ in 0..LARGE_ROW_COUNT {
            put_row(&mut tokens, &COLUMNS, &filler);
        }
        put_row(&mut tokens, &COLUMNS, &[Cell::Text(key.into())]);
        self.put_end(&mut tokens);
        answer_message(&tokens)
    }

    fn malformed_answer(&self) -> Vec<u8> {
        let invalid_token = [0x42; 9];
        answer_message(&invalid_token)
    }

    fn error(&self, error: ServerError) -> Vec<u8> {
        let mut tokens = self.reset_acknowledgement.clone();
        tokens.extend(error_tokens(error_number(error)));
        answer_message(&tokens)
    }
}
