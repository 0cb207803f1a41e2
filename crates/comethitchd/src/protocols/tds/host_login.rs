//! Opens a session with a host: PRELOGIN, then LOGIN7.

use super::pending_response::PendingResponse;
use super::settings::TdsSettings;
use crate::protocols::exchange::read_response;
use crate::state::host_connection::{ConnectionError, HostConnection};
use crate::state::router_state::RouterState;
use comethitch_policy::AttemptOutcome;
use comethitch_tds::login::{Encryption, Login, Prelogin, TDS_VERSION};
use comethitch_tds::packet::{
    INITIAL_PACKET_BYTES, MAX_PACKET_BYTES, MessageAssembler, MessageKind, put_message,
};
use futures_lite::AsyncWriteExt;

/// Maximum payload of a host's PRELOGIN.
const MAX_PRELOGIN_BYTES: usize = 4096;
/// The application name and the library name in a login.
const APPLICATION: &str = "comethitch";

/// Opens a session on a new connection, and records the negotiated packet size.
///
/// # Errors
/// [`ConnectionError::NoConnectionSlot`] if the host has no free slot for a session, otherwise
/// [`ConnectionError::ConnectFailed`].
pub(super) async fn log_in(
    state: &RouterState, settings: &TdsSettings, connection: &mut HostConnection,
) -> Result<(), ConnectionError> {
    negotiate_encryption(connection).await?;
    send_login(state, settings, connection).await?;
    let mut pending = PendingResponse::new(state);
    let end = read_response(connection, &mut pending, None).await?;
    let response = pending.response;
    if let Some(code) = response.error {
        // Only an overload is distinguished from other failures of opening a session.
        return match ConnectionError::HostError(code).outcome() {
            AttemptOutcome::Overloaded => Err(ConnectionError::NoConnectionSlot),
            _ => Err(ConnectionError::ConnectFailed),
        };
    }
    if end.is_err() || !response.login_accepted {
        return Err(ConnectionError::ConnectFailed);
    }
    connection.session.packet_size =
        response.packet_size.unwrap_or(INITIAL_PACKET_BYTES).min(MAX_PACKET_BYTES);
    Ok(())
}

/// Exchanges PRELOGIN messages. The router does not support encryption, so a host that requires it cannot be
/// used.
async fn negotiate_encryption(connection: &mut HostConnection) -> Result<(), ConnectionError> {
    let mut payload = Vec::new();
    Prelogin::default().put(&mut payload);
    send(connection, MessageKind::Prelogin, &payload).await?;
    let payload = read_prelogin(connection).await?;
    let prelogin = Prelogin::read(&payload).map_err(|_| ConnectionError::ConnectFailed)?;
    match prelogin.encryption {
        Encryption::NotSupported | Encryption::Off => Ok(()),
        Encryption::On | Encryption::Required => Err(ConnectionError::ConnectFailed),
    }
}

async fn read_prelogin(connection: &mut HostConnection) -> Result<Vec<u8>, ConnectionError> {
    let mut assembler = MessageAssembler::new(MAX_PRELOGIN_BYTES);
    while !assembler.is_complete() {
        if connection.buffer.unread().is_empty() {
            match connection.buffer.fill(&connection.stream).await {
                Ok(0) | Err(_) => return Err(ConnectionError::ConnectFailed),
                Ok(_) => {}
            }
        }
        let consumed =
            assembler.accept(connection.buffer.unread()).map_err(|_| ConnectionError::ConnectFailed)?;
        connection.buffer.consume(consumed);
    }
    Ok(assembler.finish())
}

async fn send_login(
    state: &RouterState, settings: &TdsSettings, connection: &HostConnection,
) -> Result<(), ConnectionError> {
    let login = Login {
        version: TDS_VERSION,
        packet_size: settings.packet_size as u32,
        host: state.config.name.clone(),
        user: settings.hosts.user.clone(),
        password: settings.hosts.password.clone(),
        application: APPLICATION.into(),
        library: APPLICATION.into(),
        database: settings.hosts.database.clone(),
        ..Login::default()
    };
    let mut payload = Vec::new();
    login.put(&mut payload);
    send(connection, MessageKind::Login, &payload).await
}

async fn send(connection: &HostConnection, kind: MessageKind, payload: &[u8]) -> Result<(), ConnectionError> {
    let mut packets = Vec::new();
    put_message(&mut packets, kind, INITIAL_PACKET_BYTES, payload);
    (&connection.stream).write_all(&packets).await.map_err(|_| ConnectionError::ConnectFailed)
}
