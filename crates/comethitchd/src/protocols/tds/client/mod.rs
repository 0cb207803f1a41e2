//! A TDS client's session, from its PRELOGIN to its end: reads messages, runs requests, and writes answers.
//!
//! [`login`] opens the session, [`operation`] parses messages, and [`reply`] encodes answers.

mod login;
mod operation;
mod reply;

use super::packet_buffer;
use super::prepared::PreparedStatements;
use super::settings::TdsSettings;
use crate::protocols::client_connection::{
    Admission, AwaitedInput, ClientConnection, ClosingError, Disconnect, SubmittedRequest,
};
use crate::stages::admit::AdmittedRequest;
use crate::stages::policy_driver;
use crate::state::descriptors::DescriptorPermit;
use crate::state::memory_budget::Reservation;
use crate::state::pending_requests::{Reply, ValuePart};
use crate::state::router_state::RouterState;
use crate::state::task_budget;
use async_channel::Receiver;
use async_io::Async;
use comethitch_tds::packet::{
    HEADER_BYTES, Header, INITIAL_PACKET_BYTES, MAX_PACKET_BYTES, MessageAssembler, MessageKind, put_packets,
    status,
};
use comethitch_tds::token::code;
use comethitch_tds::write::put_env_change_bytes;
use operation::{Operation, Statement};
use reply::{DONE_TOKEN_BYTES, ReplyEncoder, ReplyFraming, class, env_change_type};
use std::future::Future;
use std::net::TcpStream;
use std::rc::Rc;

/// Maximum payload of a message after the login, such as a batch or a call.
const MAX_REQUEST_BYTES: usize = 512 * 1024;
/// The status bits with which a message requests a reset of the session.
const RESET_BITS: u8 = status::RESET | status::RESET_KEEPING_TRANSACTION;

struct Session {
    connection: ClientConnection,
    settings: Rc<TdsSettings>,
    /// Negotiated packet size in bytes.
    packet_size: usize,
    prepared: PreparedStatements,
}

/// A message from a client.
struct ClientMessage {
    kind: MessageKind,
    /// The status bits of the first packet, with [`status::IGNORE`] set if any packet had it.
    status: u8,
    payload: Vec<u8>,
}

/// How an operation ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OperationEnd {
    /// The tokens of its answer are ready to be written.
    Answered,
    /// The client cancelled it with an attention message.
    Cancelled,
}

/// Serves a client. The client is registered by this call, before the future is polled.
pub(super) fn serve(
    state: Rc<RouterState>, settings: Rc<TdsSettings>, stream: Async<TcpStream>, permit: DescriptorPermit,
) -> impl Future<Output = ()> {
    let connection = ClientConnection::new(state, stream, permit, MAX_PACKET_BYTES + 1);
    let prepared = PreparedStatements::new(&connection.state.memory);
    run(Session { connection, settings, packet_size: INITIAL_PACKET_BYTES, prepared })
}

async fn run(mut session: Session) {
    let disconnect = match session.log_in().await {
        Ok(()) => session.serve_messages().await,
        Err(disconnect) => disconnect,
    };
    let packet_size = session.packet_size;
    let numbers = session.settings.numbers;
    let encode_error = |error: ClosingError| {
        let number = match error {
            ClosingError::ProtocolViolation(_) => numbers.refused,
            ClosingError::OutOfMemory => numbers.throttled,
        };
        let mut tokens = Vec::new();
        reply::put_failure(&mut tokens, number, class::FATAL, &error.to_string(), code::DONE);
        reply::encode_packets(packet_size, &tokens)
    };
    session.connection.close(disconnect, encode_error).await;
}

impl Session {
    /// Reads the next message completely.
    async fn read_message(&mut self, max_bytes: usize) -> Result<ClientMessage, Disconnect> {
        let mut assembler = MessageAssembler::new(max_bytes);
        let mut reservation = Reservation::new(&self.connection.state.memory);
        loop {
            let consumed =
                assembler.accept(self.connection.buffer.unread()).map_err(operation::protocol_violation)?;
            self.connection.consume(consumed);
            if !reservation.resize_to(assembler.payload().len()) {
                return Err(Disconnect::Io(std::io::ErrorKind::OutOfMemory.into()));
            }
            if assembler.is_complete() {
                break;
            }
            let awaited = if assembler.is_empty() {
                AwaitedInput::Message
            } else {
                AwaitedInput::Rest { max_bytes: assembler.missing_packet_bytes() }
            };
            self.connection.wait_for_input(awaited).await?;
        }
        let kind = assembler.kind().unwrap_or(MessageKind::Batch);
        let status = assembler.status();
        Ok(ClientMessage { kind, status, payload: assembler.finish() })
    }

    /// Sends the answer to a message, after those to earlier messages.
    async fn send_tokens(&mut self, tokens: &[u8]) -> Result<(), Disconnect> {
        let answer = reply::encode_packets(self.packet_size, tokens);
        let more_was_read = starts_with_packet(self.connection.buffer.unread());
        self.connection.send_answer(answer, more_was_read).await
    }

    async fn serve_messages(&mut self) -> Disconnect {
        loop {
            task_budget::operation().await;
            if let Err(disconnect) = self.handle_message().await {
                return disconnect;
            }
        }
    }

    /// Reads and answers the next message.
    async fn handle_message(&mut self) -> Result<(), Disconnect> {
        let message = self.read_message(MAX_REQUEST_BYTES).await?;
        let resets_session = message.status & RESET_BITS != 0;
        if resets_session {
            self.prepared.clear();
        }
        // The client cancelled the message while sending it, so no part of it may run.
        if message.status & status::IGNORE != 0 {
            return self.connection.limit_messages().await;
        }
        // The attention crossed the answer on the network, so there is nothing left to cancel.
        if message.kind == MessageKind::Attention {
            self.connection.limit_messages().await?;
            return self.acknowledge_attention().await;
        }
        let operation = operation::parse(message.kind, message.payload, &mut self.prepared)?;
        let mut tokens = Vec::new();
        if resets_session {
            put_env_change_bytes(&mut tokens, env_change_type::SESSION_RESET, &[], &[]);
        }
        match self.perform(operation, &mut tokens).await? {
            OperationEnd::Answered => self.send_tokens(&tokens).await,
            OperationEnd::Cancelled => self.acknowledge_attention().await,
        }
    }

    /// Performs an operation, and appends its answer to `tokens`.
    async fn perform(
        &mut self, operation: Operation, tokens: &mut Vec<u8>,
    ) -> Result<OperationEnd, Disconnect> {
        match operation {
            Operation::AnsweredLocally(answer) => {
                self.connection.limit_messages().await?;
                tokens.extend(answer);
            }
            Operation::Rejected { reason, framing } => self.reject(tokens, &reason, framing)?,
            Operation::Run(statement) => return self.run_statement(statement, tokens).await,
        }
        Ok(OperationEnd::Answered)
    }

    /// Acknowledges an attention, with which the client cancelled its request.
    async fn acknowledge_attention(&mut self) -> Result<(), Disconnect> {
        let mut tokens = Vec::new();
        reply::put_attention_acknowledgement(&mut tokens);
        self.send_tokens(&tokens).await
    }

    fn reject(
        &mut self, tokens: &mut Vec<u8>, reason: &str, framing: ReplyFraming,
    ) -> Result<(), Disconnect> {
        let number = self.settings.numbers.refused;
        reply::put_failure(tokens, number, class::ERROR, reason, framing.done_code());
        self.connection.record_invalid_statement(reason)
    }

    /// Runs a statement as a request if it is admitted, and appends the answer to `tokens`.
    async fn run_statement(
        &mut self, statement: Statement, tokens: &mut Vec<u8>,
    ) -> Result<OperationEnd, Disconnect> {
        let framing = statement.framing;
        match self.connection.admit(statement.text.as_bytes(), &statement.arguments)? {
            Admission::Admitted(request) => return self.run_request(request, statement, tokens).await,
            Admission::Throttled => {
                let encoder = self.reply_encoder(framing, true);
                encoder.put(tokens, Reply::Throttled(None));
            }
            Admission::Invalid(error) => self.reject(tokens, &error.to_string(), framing)?,
        }
        Ok(OperationEnd::Answered)
    }

    fn reply_encoder(&self, framing: ReplyFraming, is_idempotent: bool) -> ReplyEncoder {
        ReplyEncoder { numbers: self.settings.numbers, framing, is_idempotent }
    }

    async fn run_request(
        &mut self, request: AdmittedRequest, statement: Statement, tokens: &mut Vec<u8>,
    ) -> Result<OperationEnd, Disconnect> {
        let state = self.connection.state.clone();
        let framing = statement.framing;
        let shape = request.shape.as_ref();
        let is_idempotent = shape.is_some_and(|shape| shape.verdict.effect.is_idempotent());
        let SubmittedRequest { id, reply } =
            self.connection.submit(request, statement.payload, statement.kind.code());
        let is_attention = |unread: &[u8]| unread.first() == Some(&MessageKind::Attention.code());
        let waited = self.connection.wait_until_interrupted(reply.recv(), Some(is_attention)).await;
        let end = match waited {
            Ok(Some(Ok(Reply::Streaming(first, parts)))) => {
                let is_complete = self.stream_value(tokens, first, &parts, framing).await?;
                // The requests that follow need the connection, so the client learns of the break by an error.
                if !is_complete && self.connection.has_unhandled_input() {
                    self.reply_encoder(framing, is_idempotent).put(tokens, Reply::Failed);
                } else if !is_complete {
                    return Err(Disconnect::BrokenAnswer);
                }
                OperationEnd::Answered
            }
            Ok(Some(Ok(reply))) => {
                self.reply_encoder(framing, is_idempotent).put(tokens, reply);
                OperationEnd::Answered
            }
            Ok(None) => {
                policy_driver::abandon_request(&state, id);
                // Consumes the attention message. Its acknowledgement is the only answer to the request.
                self.read_message(HEADER_BYTES).await?;
                OperationEnd::Cancelled
            }
            _ => {
                policy_driver::abandon_request(&state, id);
                return Err(Disconnect::ClientGone);
            }
        };
        self.connection.record_answer();
        Ok(end)
    }

    /// Forwards a large value in parts, which consist of whole tokens. Its last token is left in `tokens`,
    /// because the handle of a prepared statement may have to be inserted before it. Returns whether the end of
    /// the value arrived.
    async fn stream_value(
        &mut self, tokens: &mut Vec<u8>, first: Vec<u8>, parts: &Receiver<ValuePart>, framing: ReplyFraming,
    ) -> Result<bool, Disconnect> {
        tokens.extend(first);
        loop {
            self.write_all_but_last_token(tokens).await?;
            match self.connection.next_part(parts).await {
                Some(ValuePart::Bytes(bytes)) => tokens.extend(bytes),
                Some(ValuePart::End) => break,
                None => return Ok(false),
            }
        }
        if let ReplyFraming::CallReturningHandle(handle) = framing {
            let end = std::mem::take(tokens);
            reply::put_with_handle(tokens, &end, handle);
        }
        Ok(true)
    }

    /// Writes all bytes of `tokens` except for the last [`DONE_TOKEN_BYTES`], without ending the message.
    async fn write_all_but_last_token(&mut self, tokens: &mut Vec<u8>) -> Result<(), Disconnect> {
        if tokens.len() <= DONE_TOKEN_BYTES {
            return Ok(());
        }
        let rest = tokens.split_off(tokens.len() - DONE_TOKEN_BYTES);
        let mut packets = packet_buffer(tokens.len());
        put_packets(&mut packets, MessageKind::Response, self.packet_size, tokens, 0, false);
        *tokens = rest;
        self.connection.write(&packets).await
    }
}

/// Returns whether the bytes start with a complete packet.
fn starts_with_packet(bytes: &[u8]) -> bool {
    Header::read(bytes).is_ok_and(|header| header.length <= bytes.len())
}
