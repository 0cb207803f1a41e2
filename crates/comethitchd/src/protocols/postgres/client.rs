//! A PostgreSQL client's session, from its startup message to its end.
//!
//! Only the simple query protocol is supported; messages of the extended one are answered with an error.

use crate::protocols::client_connection::{
    Admission, AwaitedInput, ClientConnection, ClosingError, Disconnect, SubmittedRequest,
};
use crate::stages::admit::{AdmittedRequest, session_statement_tag};
use crate::stages::policy_driver;
use crate::state::descriptors::DescriptorPermit;
use crate::state::pending_requests::{Reply, ValuePart};
use crate::state::router_state::RouterState;
use crate::state::task_budget;
use crate::wire::postgres::message_type::frontend;
use crate::wire::postgres::{self, ErrorFields, MAX_MESSAGE_BYTES, StartupMessage, StartupRequest};
use async_channel::Receiver;
use async_io::Async;
use futures_lite::FutureExt;
use std::future::Future;
use std::net::TcpStream;
use std::rc::Rc;

/// The answer to a request for encryption: it is not supported.
const ENCRYPTION_DECLINED: &[u8] = b"N";

/// Maximum number of requests for encryption on a connection: one for each kind of encryption that the protocol
/// knows.
const MAX_ENCRYPTION_REQUESTS: usize = 2;

/// The SQLSTATEs of the errors that the router itself generates.
mod sqlstate {
    /// `protocol_violation`.
    pub(super) const PROTOCOL_VIOLATION: &str = "08P01";
    /// `feature_not_supported`.
    pub(super) const NOT_SUPPORTED: &str = "0A000";
    /// `statement_completion_unknown`: the request failed, and may have run.
    pub(super) const FAILED: &str = "40003";
    /// `too_many_connections`: the request was throttled, and has not run.
    pub(super) const THROTTLED: &str = "53300";
    /// `query_canceled`.
    pub(super) const CANCELLED: &str = "57014";
}

struct Session {
    connection: ClientConnection,
    /// Whether messages are skipped up to the next Sync, because one that is not supported was received.
    skips_to_sync: bool,
}

/// Serves a client. The client is registered by this call, before the future is polled.
pub(super) fn serve(
    state: Rc<RouterState>, stream: Async<TcpStream>, permit: DescriptorPermit,
) -> impl Future<Output = ()> {
    let connection = ClientConnection::new(state, stream, permit, MAX_MESSAGE_BYTES + 1);
    run(Session { connection, skips_to_sync: false })
}

async fn run(mut session: Session) {
    let disconnect = match session.start().await {
        Ok(()) => session.serve_messages().await,
        Err(disconnect) => disconnect,
    };
    session.connection.close(disconnect, encode_closing_error).await;
}

fn encode_closing_error(error: ClosingError) -> Vec<u8> {
    let code = match error {
        ClosingError::ProtocolViolation(_) => sqlstate::PROTOCOL_VIOLATION,
        ClosingError::OutOfMemory => sqlstate::THROTTLED,
    };
    let mut out = Vec::new();
    postgres::put_error(&mut out, &ErrorFields::fatal(code, &error.to_string()));
    out
}

impl Session {
    /// Handles messages up to the start of the session, or a request to cancel another session's query.
    async fn start(&mut self) -> Result<(), Disconnect> {
        let mut encryption_requests = 0;
        loop {
            let unread = self.connection.buffer.unread();
            let Some(StartupMessage { request, length }) = postgres::startup_message(unread)? else {
                // No request can be part of this message, so nothing is lost if more than its rest is read.
                self.connection.wait_for_input(awaited_after(unread.len(), usize::MAX)).await?;
                continue;
            };
            match request {
                StartupRequest::Cancel => {
                    self.cancel_request(length);
                    return Err(Disconnect::ClientGone);
                }
                StartupRequest::Encryption if encryption_requests == MAX_ENCRYPTION_REQUESTS => {
                    return Err(Disconnect::ProtocolViolation("too many requests for encryption"));
                }
                StartupRequest::Encryption => {
                    encryption_requests += 1;
                    self.connection.consume(length);
                    self.connection.write(ENCRYPTION_DECLINED).await?;
                }
                StartupRequest::Session { minor } => {
                    self.connection.consume(length);
                    return self.send_session_start(minor).await;
                }
            }
        }
    }

    /// Cancels another session's request. The protocol defines no reply to a cancel request.
    fn cancel_request(&self, length: usize) {
        let message = &self.connection.buffer.unread()[..length];
        if let Some(target) = postgres::cancel_target(message) {
            self.connection.state.clients.cancel_request(target.connection, target.key);
        }
    }

    async fn send_session_start(&self, minor_version: u16) -> Result<(), Disconnect> {
        let mut out = Vec::new();
        let cancel_key = self.connection.signal.cancel_key;
        postgres::put_session_start(&mut out, minor_version, self.connection.number, cancel_key);
        self.connection.write(&out).await
    }

    async fn serve_messages(&mut self) -> Disconnect {
        loop {
            task_budget::operation().await;
            if let Err(disconnect) = self.handle_message().await {
                return disconnect;
            }
        }
    }

    /// Handles the next message, or waits for more input if it is incomplete.
    async fn handle_message(&mut self) -> Result<(), Disconnect> {
        let unread = self.connection.buffer.unread();
        let Some(message) = postgres::message(unread)? else {
            let awaited = awaited_after(unread.len(), postgres::missing_bytes(unread));
            return self.connection.wait_for_input(awaited).await;
        };
        let length = message.raw.len();
        let kind = message.kind;
        if kind == frontend::QUERY {
            let text = postgres::query_text(message.body)?.to_vec();
            self.connection.consume(length);
            if self.skips_to_sync {
                return self.connection.limit_messages().await;
            }
            return self.handle_query(text).await;
        }
        self.connection.limit_messages().await?;
        let reply = self.reply_to(kind)?;
        self.connection.consume(length);
        self.send_answer(reply).await
    }

    async fn send_answer(&mut self, answer: Vec<u8>) -> Result<(), Disconnect> {
        let more_was_read = matches!(postgres::message(self.connection.buffer.unread()), Ok(Some(_)));
        self.connection.send_answer(answer, more_was_read).await
    }

    /// Returns the reply to a message other than a query; empty if there is none.
    fn reply_to(&mut self, kind: u8) -> Result<Vec<u8>, Disconnect> {
        let mut out = Vec::new();
        match kind {
            frontend::TERMINATE => return Err(Disconnect::ClientGone),
            frontend::SYNC => {
                self.skips_to_sync = false;
                postgres::put_ready_for_query(&mut out);
            }
            frontend::PARSE
            | frontend::BIND
            | frontend::DESCRIBE
            | frontend::EXECUTE
            | frontend::CLOSE
            | frontend::FUNCTION_CALL => {
                // The protocol allows only one error before the next Sync.
                if !self.skips_to_sync {
                    let text = "only simple queries are spoken here";
                    postgres::put_error(&mut out, &ErrorFields::error(sqlstate::NOT_SUPPORTED, text));
                }
                self.skips_to_sync = true;
            }
            frontend::FLUSH | frontend::COPY_DATA | frontend::COPY_DONE | frontend::COPY_FAIL => {}
            _ => return Err(Disconnect::ProtocolViolation("a message of unknown type")),
        }
        Ok(out)
    }

    /// Handles a query, and sends its answer followed by `ReadyForQuery`.
    async fn handle_query(&mut self, text: Vec<u8>) -> Result<(), Disconnect> {
        let mut out = Vec::new();
        if is_empty_query(&text) {
            self.connection.limit_messages().await?;
            if self.connection.wait_until_ready().await? {
                postgres::put_empty_query(&mut out);
            } else {
                put_reply(&mut out, Reply::Throttled(None));
            }
        } else if let Some(tag) = session_statement_tag(&self.connection.state, &text) {
            self.connection.limit_messages().await?;
            postgres::put_command_complete(&mut out, tag);
        } else {
            self.run_statement(text, &mut out).await?;
        }
        postgres::put_ready_for_query(&mut out);
        self.send_answer(out).await
    }

    /// Runs a statement as a request if it is admitted, and appends the answer to `out`.
    async fn run_statement(&mut self, text: Vec<u8>, out: &mut Vec<u8>) -> Result<(), Disconnect> {
        match self.connection.admit(&text, &[])? {
            Admission::Admitted(request) => self.run_request(request, text, out).await?,
            Admission::Throttled => put_reply(out, Reply::Throttled(None)),
            Admission::Invalid(error) => {
                let text = error.to_string();
                self.connection.record_invalid_statement(&text)?;
                postgres::put_error(out, &ErrorFields::error(error.sqlstate(), &text));
            }
        }
        Ok(())
    }

    async fn run_request(
        &mut self, request: AdmittedRequest, text: Vec<u8>, out: &mut Vec<u8>,
    ) -> Result<(), Disconnect> {
        let signal = self.connection.signal.clone();
        signal.reset_cancel();
        let state = self.connection.state.clone();
        let SubmittedRequest { id, reply } = self.connection.submit(request, text, frontend::QUERY);
        let cancelled = async {
            signal.wait_for_cancel().await;
            Ok(Reply::Cancelled)
        };
        match self.connection.wait_while_connected(reply.recv().or(cancelled)).await {
            Ok(Ok(Reply::Streaming(first, parts))) => {
                let is_complete = self.stream_value(&first, &parts).await?;
                // The requests that follow need the connection, so the client learns of the break by an error.
                if !is_complete && self.connection.has_unhandled_input() {
                    put_reply(out, Reply::Failed);
                } else if !is_complete {
                    return Err(Disconnect::BrokenAnswer);
                }
            }
            Ok(Ok(reply)) => {
                if matches!(reply, Reply::Cancelled) {
                    policy_driver::abandon_request(&state, id);
                }
                put_reply(out, reply);
            }
            _ => {
                policy_driver::abandon_request(&state, id);
                return Err(Disconnect::ClientGone);
            }
        }
        self.connection.record_answer();
        Ok(())
    }

    /// Forwards a large value in parts, which consist of whole messages. Returns whether its end arrived.
    async fn stream_value(&self, first: &[u8], parts: &Receiver<ValuePart>) -> Result<bool, Disconnect> {
        self.connection.write(first).await?;
        while let Some(part) = self.connection.next_part(parts).await {
            match part {
                ValuePart::Bytes(bytes) => self.connection.write(&bytes).await?,
                ValuePart::End => return Ok(true),
            }
        }
        Ok(false)
    }
}

/// Returns the input to wait for after `unread_bytes` of the next message, whose rest has `max_bytes`.
fn awaited_after(unread_bytes: usize, max_bytes: usize) -> AwaitedInput {
    if unread_bytes == 0 { AwaitedInput::Message } else { AwaitedInput::Rest { max_bytes } }
}

fn is_empty_query(text: &[u8]) -> bool {
    text.iter().all(|b| b.is_ascii_whitespace() || *b == b';')
}

/// Appends a request's answer, without the `ReadyForQuery` that must follow it.
fn put_reply(out: &mut Vec<u8>, reply: Reply) {
    match reply {
        Reply::Value(value) if out.is_empty() => *out = value,
        Reply::Value(value) => out.extend(value),
        // Unreachable: `stream_value` handles it.
        Reply::Streaming(first, _) => out.extend(first),
        Reply::FailedWithHostError(error) => out.extend(error),
        Reply::Cancelled => {
            let text = "cancelled by its client; nothing is known of its effect";
            postgres::put_error(out, &ErrorFields::error(sqlstate::CANCELLED, text));
        }
        Reply::Throttled(retry_after) => {
            let retry_after_ms = retry_after.map(|after| after.as_micros().div_ceil(1_000).to_string());
            let text = "not now; trying again is harmless";
            let error = ErrorFields::error(sqlstate::THROTTLED, text);
            postgres::put_error(out, &ErrorFields { detail: retry_after_ms.as_deref(), ..error });
        }
        Reply::Failed => {
            let text = "failed; nothing is known of its effect";
            postgres::put_error(out, &ErrorFields::error(sqlstate::FAILED, text));
        }
    }
}
