//! A client's connection, from its PRELOGIN to its end.

use super::prepared::PreparedStatements;
use super::settings::{RETRIED_BY_DRIVERS, TdsSettings};
use crate::protocols::client_connection::{ClientConnection, Disconnect};
use crate::stages::admit::{self, AdmissionError, StatementRequest};
use crate::stages::policy_driver;
use crate::state::client_registry::ConnectionPhase;
use crate::state::descriptors::DescriptorPermit;
use crate::state::memory_budget::Reservation;
use crate::state::pending_commands::{Reply, ValuePart};
use crate::state::router_state::RouterState;
use async_channel::Receiver;
use async_io::Async;
use comethitch_statement::classify::only_settings;
use comethitch_statement::{Dialect, Lexer};
use comethitch_tds::login::{Encryption, LARGEST_LOGIN, Login, Prelogin, VERSION};
use comethitch_tds::packet::{
    Assembly, FIRST_SIZE, HEADER, Kind, LARGEST_SIZE, LEAST_SIZE, put_message, put_parts, status,
};
use comethitch_tds::request::{Batch, Call, CallWriter, Known, Procedure, declared};
use comethitch_tds::token::{Message, Token, Tokens, code, done};
use comethitch_tds::types::Value;
use comethitch_tds::write::{
    put_change, put_change_bytes, put_done, put_login_ack, put_message as put_error, put_return_status,
    put_return_value,
};
use std::net::TcpStream;
use std::rc::Rc;

/// A batch or call of more bytes is not taken.
const LARGEST_REQUEST: usize = 512 * 1024;
/// The collation that clients are told: Latin, without regard to case.
const COLLATION: [u8; 5] = [0x09, 0x04, 0xd0, 0x00, 0x34];
/// Options that a client sets at once are not longer than this.
const LONGEST_SETTINGS: usize = 4 * 1024;
const SERVER: &str = "comethitch";
/// A DONE token's length.
const DONE_BYTES: usize = 13;

struct Client {
    connection: ClientConnection,
    ways: Rc<TdsSettings>,
    /// The size of packets that was settled.
    packet: usize,
    prepared: PreparedStatements,
}

/// What a message asks for.
enum Request {
    /// A statement to be judged, and the message that a host gets for it.
    Command {
        text: String,
        arguments: Vec<(String, Option<Vec<u8>>)>,
        kind: Kind,
        payload: Vec<u8>,
        called: Called,
    },
    /// Something that is answered here.
    Here(Vec<u8>),
    Refused(String, Called),
}

/// How an answer ends: a batch's, or a call's; one that also prepares gives its handle back.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Called {
    No,
    Yes,
    Preparing(i32),
}

impl Called {
    fn done(self) -> u8 {
        if self == Called::No { code::DONE } else { code::DONE_PROCEDURE }
    }
}

/// Serves a client.
pub fn serve(
    state: Rc<RouterState>, ways: Rc<TdsSettings>, stream: Async<TcpStream>, permit: DescriptorPermit,
) -> impl Future<Output = ()> {
    let line = ClientConnection::new(state, stream, permit, LARGEST_SIZE + 1);
    let prepared = PreparedStatements::new(&line.state.memory);
    run(Client { connection: line, ways, packet: FIRST_SIZE, prepared })
}

async fn run(mut client: Client) {
    let stop = match client.open().await {
        Ok(()) => client.converse().await,
        Err(stop) => stop,
    };
    let (packet, numbers) = (client.packet, client.ways.numbers);
    let told = |code, why: &'static str| {
        let number = if code == "53300" { numbers.throttled } else { numbers.refused };
        let mut tokens = Vec::new();
        put_fault(&mut tokens, number, 20, why);
        put_done(&mut tokens, code::DONE, done::ERROR, 0);
        packets(packet, &tokens)
    };
    client.connection.end(stop, told).await;
}

fn packets(size: usize, tokens: &[u8]) -> Vec<u8> {
    let mut wire = Vec::with_capacity(tokens.len() + tokens.len() / 64 + HEADER);
    put_message(&mut wire, Kind::Answer, size, tokens);
    wire
}

fn put_fault(out: &mut Vec<u8>, number: i32, class: u8, text: &str) {
    put_error(out, &Message { number, state: 1, class, text: text.into() }, SERVER);
}

impl Client {
    async fn open(&mut self) -> Result<(), Disconnect> {
        let (kind, _, payload) = self.message(LARGEST_LOGIN).await?;
        if kind != Kind::Prelogin {
            return Err(Disconnect::Lost("a connection begins with a PRELOGIN"));
        }
        Prelogin::read(&payload).map_err(|broken| Disconnect::Lost(broken.0))?;
        let mut told = Vec::new();
        let own = Prelogin {
            version: [16, 0, 0, 0, 0, 0],
            encryption: Encryption::NotSupported,
            ..Prelogin::default()
        };
        own.put(&mut told);
        self.connection.write(&packets(FIRST_SIZE, &told)).await?;
        let (kind, _, payload) = self.message(LARGEST_LOGIN).await?;
        if kind != Kind::Login {
            return Err(Disconnect::Lost("a PRELOGIN is followed by a LOGIN7"));
        }
        let login = Login::read(&payload).map_err(|broken| Disconnect::Lost(broken.0))?;
        let mut tokens = Vec::new();
        if login.integrated {
            put_fault(&mut tokens, 18_456, 14, "only logins by name and password are spoken here");
            put_done(&mut tokens, code::DONE, done::ERROR, 0);
            self.connection.write(&packets(FIRST_SIZE, &tokens)).await?;
            return Err(Disconnect::Closing);
        }
        // Until the list is held no command could be served.
        let state = self.connection.state.clone();
        self.connection.while_here(state.ready.wait()).await?;
        let asked = usize::try_from(login.packet_size).unwrap_or(FIRST_SIZE);
        let size = match asked {
            0 => FIRST_SIZE,
            asked => asked.clamp(LEAST_SIZE, self.ways.packet_size),
        };
        let database = if login.database.is_empty() { &self.ways.hosts.database } else { &login.database };
        put_change(&mut tokens, 1, database, "master");
        put_change_bytes(&mut tokens, 7, &COLLATION, &[]);
        put_change(&mut tokens, 2, "us_english", "");
        put_login_ack(&mut tokens, VERSION, SERVER);
        put_change(&mut tokens, 4, &size.to_string(), &FIRST_SIZE.to_string());
        put_done(&mut tokens, code::DONE, 0, 0);
        self.connection.write(&packets(FIRST_SIZE, &tokens)).await?;
        self.packet = size;
        Ok(())
    }

    /// The next message whole: its kind, status and payload.
    async fn message(&mut self, most: usize) -> Result<(Kind, u8, Vec<u8>), Disconnect> {
        let (mut message, mut held) = (Assembly::new(most), Reservation::new(&self.connection.state.memory));
        loop {
            let taken =
                message.take(self.connection.buffer.unread()).map_err(|broken| Disconnect::Lost(broken.0))?;
            self.connection.consume(taken);
            if !held.resize_to(message.payload().len()) {
                return Err(Disconnect::Io(std::io::ErrorKind::OutOfMemory.into()));
            }
            if message.over() {
                break;
            }
            // Between two messages the connection is at rest, within one it is not.
            self.connection.more_of(message.is_empty()).await?;
        }
        let (kind, status) = (message.kind(), message.status());
        Ok((kind.unwrap_or(Kind::Batch), status, message.finish()))
    }

    async fn converse(&mut self) -> Disconnect {
        loop {
            if let Err(stop) = self.turn().await {
                return stop;
            }
        }
    }

    async fn turn(&mut self) -> Result<(), Disconnect> {
        let (kind, status, payload) = self.message(LARGEST_REQUEST).await?;
        if status & (status::RESET | status::RESET_KEEPING_TRANSACTION) != 0 {
            self.prepared.clear();
        }
        // The client gave the message up while it sent it: nothing of it runs.
        if status & status::IGNORE != 0 {
            return Ok(());
        }
        let request = match kind {
            // It crossed the answer: nothing is left to call off.
            Kind::Attention => return self.acknowledge().await,
            Kind::Batch => self.batch(payload)?,
            Kind::Rpc => self.call(payload)?,
            Kind::Transaction => {
                let why = "transactions of several statements are not carried: send them as one batch";
                Request::Refused(why.into(), Called::No)
            }
            Kind::BulkLoad => Request::Refused("bulk loads are not carried".into(), Called::No),
            _ => return Err(Disconnect::Lost("a message that no client sends now")),
        };
        let mut tokens = Vec::new();
        if status & (status::RESET | status::RESET_KEEPING_TRANSACTION) != 0 {
            put_change_bytes(&mut tokens, 18, &[], &[]);
        }
        match request {
            Request::Here(own) => tokens.extend(own),
            Request::Refused(why, called) => self.refuse(&mut tokens, &why, called)?,
            Request::Command { text, arguments, kind, payload, called } => {
                if !self.command(&mut tokens, &text, &arguments, kind, payload, called).await? {
                    return self.acknowledge().await;
                }
            }
        }
        self.connection.write(&packets(self.packet, &tokens)).await
    }

    /// Tells the client that what it called off is off.
    async fn acknowledge(&mut self) -> Result<(), Disconnect> {
        let mut tokens = Vec::new();
        put_done(&mut tokens, code::DONE, done::ATTENTION, 0);
        self.connection.write(&packets(self.packet, &tokens)).await
    }

    fn refuse(&mut self, tokens: &mut Vec<u8>, why: &str, called: Called) -> Result<(), Disconnect> {
        put_fault(tokens, self.ways.numbers.refused, 16, why);
        put_done(tokens, called.done(), done::ERROR, 0);
        self.connection.rejected(why)
    }

    fn batch(&mut self, payload: Vec<u8>) -> Result<Request, Disconnect> {
        let batch = Batch::read(&payload).map_err(|broken| Disconnect::Lost(broken.0))?;
        if batch.headers.transaction != 0 {
            let why = "this connection is in no transaction";
            return Ok(Request::Refused(why.into(), Called::No));
        }
        // Options of a session have no effect here: each command finds the session as new.
        if is_empty_or_settings(&batch.text) {
            let mut tokens = Vec::new();
            put_done(&mut tokens, code::DONE, 0, 0);
            return Ok(Request::Here(tokens));
        }
        let (text, arguments) = (batch.text, Vec::new());
        Ok(Request::Command { text, arguments, kind: Kind::Batch, payload, called: Called::No })
    }

    fn call(&mut self, payload: Vec<u8>) -> Result<Request, Disconnect> {
        let call = Call::read(&payload).map_err(|broken| Disconnect::Lost(broken.0))?;
        let refused = |why: &str| Ok(Request::Refused(why.into(), Called::Yes));
        if call.more {
            return refused("several calls in one message are not carried");
        }
        if call.headers.transaction != 0 {
            return refused("this connection is in no transaction");
        }
        let handle = || match call.parameters.first().map(|parameter| &parameter.value) {
            Some(Value::Integer(handle)) => Some(*handle),
            _ => None,
        };
        match &call.procedure {
            Procedure::Known(Known::ExecuteSql) => {
                let Some(text) = call.statement() else {
                    return refused("sp_executesql without a statement");
                };
                let arguments = arguments(&call, call.declarations().unwrap_or_default());
                let text = text.to_string();
                Ok(Request::Command { text, arguments, kind: Kind::Rpc, payload, called: Called::Yes })
            }
            Procedure::Known(Known::Prepare) => {
                let Some(text) = call.statement() else { return refused("sp_prepare without a statement") };
                let Some(handle) = self.prepared.insert(text, call.declarations().unwrap_or_default()) else {
                    return refused("no room for one more prepared statement");
                };
                let mut tokens = Vec::new();
                put_return_status(&mut tokens, 0);
                put_return_value(&mut tokens, 0, "@handle", handle);
                put_done(&mut tokens, code::DONE_PROCEDURE, 0, 0);
                Ok(Request::Here(tokens))
            }
            Procedure::Known(Known::Execute) => {
                let Some(prepared) = handle().and_then(|handle| self.prepared.get(handle)) else {
                    return refused("no statement of this handle is prepared");
                };
                Ok(executed(&call, &payload, &prepared.text, &prepared.declarations, Called::Yes))
            }
            Procedure::Known(Known::PrepareExecute) => {
                let Some(text) = call.statement() else { return refused("sp_prepexec without a statement") };
                let declarations = call.declarations().unwrap_or_default();
                let Some(handle) = self.prepared.insert(text, declarations) else {
                    return refused("no room for one more prepared statement");
                };
                Ok(executed(&call, &payload, text, declarations, Called::Preparing(handle)))
            }
            Procedure::Known(Known::Unprepare) => {
                if !handle().is_some_and(|handle| self.prepared.remove(handle)) {
                    return refused("no statement of this handle is prepared");
                }
                let mut tokens = Vec::new();
                put_return_status(&mut tokens, 0);
                put_done(&mut tokens, code::DONE_PROCEDURE, 0, 0);
                Ok(Request::Here(tokens))
            }
            Procedure::Known(Known::Cursor) => refused("cursors are not carried"),
            Procedure::Named(name) => {
                // What a procedure does its name does not tell: the rules for unknown statements hold.
                let quoted: Vec<String> =
                    name.split('.').map(|part| format!("[{}]", part.trim_matches(['[', ']']))).collect();
                let text = format!("EXEC {}", quoted.join("."));
                let arguments = Vec::new();
                Ok(Request::Command { text, arguments, kind: Kind::Rpc, payload, called: Called::Yes })
            }
        }
    }

    /// Has a statement carried out, and writes its answer; false if the client called it off.
    async fn command(
        &mut self, tokens: &mut Vec<u8>, text: &str, arguments: &[(String, Option<Vec<u8>>)], kind: Kind,
        payload: Vec<u8>, called: Called,
    ) -> Result<bool, Disconnect> {
        let (state, numbers) = (self.connection.state.clone(), self.ways.numbers);
        let asked = StatementRequest {
            text: text.as_bytes(),
            arguments,
            arrived: self.connection.arrived,
            origin: self.connection.origin,
        };
        let admitted = match admit::admit(&state, &asked) {
            Ok(admitted) => admitted,
            Err(AdmissionError::Throttled) => {
                state.metrics.throttled.increment();
                state.log_rejection("", "statement_budget");
                put_reply(tokens, Reply::Throttled(None), numbers, called, true);
                return Ok(true);
            }
            Err(AdmissionError::Invalid(error)) => {
                self.refuse(tokens, &error.to_string(), called)?;
                return Ok(true);
            }
        };
        // A hard limit: no decision is asked for.
        if state.at_command_limit() {
            state.metrics.throttled_at_limit.increment();
            state.log_rejection(&admitted.client_id, "at_limit");
            put_reply(tokens, Reply::Throttled(None), numbers, called, true);
            return Ok(true);
        }
        // It went while its statement waited to be read: nothing begins for it.
        if self.connection.has_left() {
            return Err(Disconnect::ClientLeft);
        }
        let repeatable = admitted.shape.as_ref().is_some_and(|known| known.verdict.effect.may_repeat());
        state.clients.set_phase(self.connection.number, ConnectionPhase::Busy, state.clock.now());
        let (id, reply) = policy_driver::submit(&state, admitted, payload, kind.code());
        let attention = |unread: &[u8]| unread.first() == Some(&Kind::Attention.code());
        match self.connection.unless(reply.recv(), Some(attention)).await {
            Ok(Some(Ok(Reply::Streaming(first, parts)))) => {
                self.pass_on(tokens, first, &parts, called).await?;
                self.connection.answered();
                Ok(true)
            }
            Ok(Some(Ok(reply))) => {
                put_reply(tokens, reply, numbers, called, repeatable);
                self.connection.answered();
                Ok(true)
            }
            Ok(None) => {
                policy_driver::client_disconnected(&state, id);
                // The attention itself is taken off; its acknowledgement is the one answer.
                self.message(HEADER).await?;
                self.connection.answered();
                Ok(false)
            }
            _ => {
                policy_driver::client_disconnected(&state, id);
                Err(Disconnect::ClientLeft)
            }
        }
    }
}

impl Client {
    /// Passes a large value on part by part, all but its end, which is left in `tokens`: a handle may have to come
    /// before it. Where the end does not come, the connection's own tells that the answer is not whole.
    async fn pass_on(
        &mut self, tokens: &mut Vec<u8>, first: Vec<u8>, parts: &Receiver<ValuePart>, called: Called,
    ) -> Result<(), Disconnect> {
        tokens.extend(first);
        loop {
            if tokens.len() > DONE_BYTES {
                let rest = tokens.split_off(tokens.len() - DONE_BYTES);
                let mut wire = Vec::with_capacity(tokens.len() + tokens.len() / 64 + HEADER);
                put_parts(&mut wire, Kind::Answer, self.packet, tokens, 0, false);
                *tokens = rest;
                self.connection.write(&wire).await?;
            }
            match parts.recv().await {
                Ok(ValuePart::Bytes(bytes)) => tokens.extend(bytes),
                Ok(ValuePart::End) => break,
                Err(_) => return Err(Disconnect::Closing),
            }
        }
        if let Called::Preparing(handle) = called {
            let end = std::mem::take(tokens);
            put_with_handle(tokens, &end, handle);
        }
        Ok(())
    }
}

/// Whether a batch holds nothing, or options of a session alone. Only what is short and begins so is read for it: the
/// desk reads the others.
fn is_empty_or_settings(text: &str) -> bool {
    let begins = text.trim_start().as_bytes();
    let may_be = match begins {
        [] | [b';' | b'-' | b'/', ..] => true,
        [a, b, c, ..] => [*a, *b, *c].eq_ignore_ascii_case(b"set"),
        _ => false,
    };
    if !may_be || text.len() > LONGEST_SETTINGS {
        return false;
    }
    let mut lexer = Lexer::new(Dialect::Tsql);
    lexer.read(text.as_bytes());
    lexer.tokens().is_empty() && lexer.ambiguity().is_none() || only_settings(&lexer)
}

/// A prepared statement's execution as a call that any host can take.
fn executed(call: &Call, payload: &[u8], text: &str, declarations: &str, called: Called) -> Request {
    let mut own = Vec::new();
    let writer = CallWriter::known(&mut own, Known::ExecuteSql).text("", text);
    let raw = call.raw_arguments(payload);
    // Without declarations there are no parameters either.
    if !declarations.is_empty() || !raw.is_empty() {
        writer.text("", declarations).raw(raw);
    }
    let arguments = arguments(call, declarations);
    Request::Command { text: text.into(), arguments, kind: Kind::Rpc, payload: own, called }
}

/// The values of a statement's parameters: those without a name have the declared ones, in order.
fn arguments(call: &Call, declarations: &str) -> Vec<(String, Option<Vec<u8>>)> {
    let declared = declared(declarations);
    let named = call.arguments().enumerate().map(|(nth, (name, value))| {
        let name = match name {
            "" => declared.get(nth).cloned().unwrap_or_default(),
            name => name.to_lowercase(),
        };
        let value = match value {
            Value::Integer(value) => Some(value.to_string().into_bytes()),
            Value::Text(value) => Some(value.clone().into_bytes()),
            _ => None,
        };
        (name, value)
    });
    named.collect()
}

/// Writes the one final answer.
fn put_reply(
    out: &mut Vec<u8>, reply: Reply, numbers: super::settings::ErrorNumbers, called: Called, repeatable: bool,
) {
    let fault = |out: &mut Vec<u8>, number, text: &str| {
        put_fault(out, number, 16, text);
        put_done(out, called.done(), done::ERROR, 0);
    };
    match reply {
        // Passed on part by part before it comes here.
        Reply::Streaming(first, _) => out.extend(first),
        Reply::Value(value) => match called {
            Called::Preparing(handle) => put_with_handle(out, &value, handle),
            _ => out.extend(value),
        },
        Reply::Throttled(None) => fault(out, numbers.throttled, "not now; trying again is harmless"),
        Reply::Throttled(Some(after)) => {
            let text =
                format!("not now; trying again after {} ms is harmless", after.as_micros().div_ceil(1_000));
            fault(out, numbers.throttled, &text);
        }
        // A client of TDS cancels by an attention, which is met before.
        Reply::Failed | Reply::Cancelled => {
            fault(out, numbers.failed, "failed; nothing is known of its effect")
        }
        Reply::FailedWithHostError(tokens) => match tried_again(&tokens).filter(|_| !repeatable) {
            // A driver would send again what may have run.
            Some(message) => {
                let text = format!("failed by error {}: {}", message.number, message.text);
                fault(out, numbers.failed, &text);
            }
            None => out.extend(tokens),
        },
    }
}

/// The first error of an answer on which drivers try again by themselves.
fn tried_again(answer: &[u8]) -> Option<Message> {
    let (mut tokens, mut at) = (Tokens::new(), 0);
    while let Ok((token, length)) = tokens.next(&answer[at..]) {
        at += length;
        match token {
            Token::Error(message) if RETRIED_BY_DRIVERS.contains(&message.number) => return Some(message),
            _ => {}
        }
    }
    None
}

/// An answer with the handle of the statement that was prepared with it, before its last token.
fn put_with_handle(out: &mut Vec<u8>, answer: &[u8], handle: i32) {
    let (before, last) = answer.split_at(answer.len().saturating_sub(DONE_BYTES));
    out.extend(before);
    put_return_value(out, 0, "@handle", handle);
    out.extend(last);
}
