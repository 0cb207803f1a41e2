//! Parses what a client's message asks for: a statement to be run as a request, something that the router answers by
//! itself, or something that is not supported.

use super::reply::{ReplyFraming, put_handle};
use crate::protocols::client_connection::Disconnect;
use crate::protocols::tds::prepared::PreparedStatements;
use comethitch_statement::assign::Argument;
use comethitch_statement::classify::only_settings;
use comethitch_statement::{Dialect, Lexer};
use comethitch_tds::MalformedMessage;
use comethitch_tds::packet::Kind;
use comethitch_tds::request::{Batch, Call, CallWriter, Known, Procedure, declared};
use comethitch_tds::token::code;
use comethitch_tds::types::Value;
use comethitch_tds::write::{put_done, put_return_status};

/// Batches that only set options of the session are not longer than this.
const MAX_SETTINGS_BYTES: usize = 4 * 1024;
/// The return status of a procedure that succeeded.
const SUCCESS: i32 = 0;

const NO_TRANSACTION: &str = "this connection is in no transaction";
const NO_MEMORY_FOR_PREPARED: &str = "no room for one more prepared statement";
const UNKNOWN_HANDLE: &str = "no statement of this handle is prepared";

/// What a message asks for.
pub(super) enum Request {
    /// A statement that hosts are to run.
    Run(Statement),
    /// Something that the router answers by itself, with these tokens.
    AnsweredLocally(Vec<u8>),
    /// Something that is not supported, for this reason.
    Rejected {
        /// The text of the error that the client is answered with.
        reason: String,
        /// How the answer is framed.
        framing: ReplyFraming,
    },
}

/// A statement that hosts are to run.
pub(super) struct Statement {
    /// Its text, by which it is admitted.
    pub text: String,
    /// The values of its parameters by name, as far as they are known.
    pub arguments: Vec<Argument>,
    /// The kind of the message that hosts get for it.
    pub kind: Kind,
    /// The payload of that message.
    pub payload: Vec<u8>,
    /// How the answer is framed.
    pub framing: ReplyFraming,
}

/// A message that breaks the protocol ends the connection.
pub(super) fn protocol_violation(malformed: MalformedMessage) -> Disconnect {
    Disconnect::ProtocolViolation(malformed.0)
}

/// Parses a message.
///
/// # Errors
/// If it breaks the protocol.
pub(super) fn parse(
    kind: Kind, payload: Vec<u8>, prepared: &mut PreparedStatements,
) -> Result<Request, Disconnect> {
    match kind {
        Kind::Batch => parse_batch(payload),
        Kind::Rpc => parse_call(payload, prepared),
        Kind::Transaction => Ok(rejected(
            ReplyFraming::Batch,
            "transactions of several statements are not carried: send them as one batch",
        )),
        Kind::BulkLoad => Ok(rejected(ReplyFraming::Batch, "bulk loads are not carried")),
        _ => Err(Disconnect::ProtocolViolation("a message that no client sends now")),
    }
}

fn rejected(framing: ReplyFraming, reason: &str) -> Request {
    Request::Rejected { reason: reason.into(), framing }
}

fn call_rejected(reason: &str) -> Request {
    rejected(ReplyFraming::Call, reason)
}

fn parse_batch(payload: Vec<u8>) -> Result<Request, Disconnect> {
    let batch = Batch::read(&payload).map_err(protocol_violation)?;
    if batch.headers.transaction != 0 {
        return Ok(rejected(ReplyFraming::Batch, NO_TRANSACTION));
    }
    // Options of a session have no effect here: each request runs in a session that was reset.
    if is_empty_or_settings(&batch.text) {
        let mut tokens = Vec::new();
        put_done(&mut tokens, code::DONE, 0, 0);
        return Ok(Request::AnsweredLocally(tokens));
    }
    Ok(Request::Run(Statement {
        text: batch.text,
        arguments: Vec::new(),
        kind: Kind::Batch,
        payload,
        framing: ReplyFraming::Batch,
    }))
}

fn parse_call(payload: Vec<u8>, prepared: &mut PreparedStatements) -> Result<Request, Disconnect> {
    let call = Call::read(&payload).map_err(protocol_violation)?;
    if call.more {
        return Ok(call_rejected("several calls in one message are not carried"));
    }
    if call.headers.transaction != 0 {
        return Ok(call_rejected(NO_TRANSACTION));
    }
    let request = match &call.procedure {
        Procedure::Known(Known::ExecuteSql) => execute_sql(&call, payload),
        Procedure::Known(Known::Prepare) => prepare(&call, prepared),
        Procedure::Known(Known::Execute) => execute_prepared(&call, &payload, prepared),
        Procedure::Known(Known::PrepareExecute) => prepare_and_execute(&call, &payload, prepared),
        Procedure::Known(Known::Unprepare) => unprepare(&call, prepared),
        Procedure::Known(Known::Cursor) => call_rejected("cursors are not carried"),
        Procedure::Named(name) => call_procedure(name, payload),
    };
    Ok(request)
}

/// `sp_executesql`: the statement is forwarded as it came.
fn execute_sql(call: &Call, payload: Vec<u8>) -> Request {
    let Some(text) = call.statement() else {
        return call_rejected("sp_executesql without a statement");
    };
    Request::Run(Statement {
        text: text.to_string(),
        arguments: argument_values(call, call.declarations().unwrap_or_default()),
        kind: Kind::Rpc,
        payload,
        framing: ReplyFraming::Call,
    })
}

/// `sp_prepare`: the statement is stored, and its handle returned.
fn prepare(call: &Call, prepared: &mut PreparedStatements) -> Request {
    let Some(text) = call.statement() else {
        return call_rejected("sp_prepare without a statement");
    };
    let Some(handle) = prepared.insert(text, call.declarations().unwrap_or_default()) else {
        return call_rejected(NO_MEMORY_FOR_PREPARED);
    };
    let mut tokens = Vec::new();
    put_return_status(&mut tokens, SUCCESS);
    put_handle(&mut tokens, handle);
    put_done(&mut tokens, code::DONE_PROCEDURE, 0, 0);
    Request::AnsweredLocally(tokens)
}

/// `sp_execute`: a stored statement is run.
fn execute_prepared(call: &Call, payload: &[u8], prepared: &PreparedStatements) -> Request {
    let Some(statement) = handle(call).and_then(|handle| prepared.get(handle)) else {
        return call_rejected(UNKNOWN_HANDLE);
    };
    run_prepared(call, payload, &statement.text, &statement.declarations, ReplyFraming::Call)
}

/// `sp_prepexec`: the statement is stored and run, and its handle returned.
fn prepare_and_execute(call: &Call, payload: &[u8], prepared: &mut PreparedStatements) -> Request {
    let Some(text) = call.statement() else {
        return call_rejected("sp_prepexec without a statement");
    };
    let declarations = call.declarations().unwrap_or_default();
    let Some(handle) = prepared.insert(text, declarations) else {
        return call_rejected(NO_MEMORY_FOR_PREPARED);
    };
    run_prepared(call, payload, text, declarations, ReplyFraming::CallReturningHandle(handle))
}

/// `sp_unprepare`: a stored statement is removed.
fn unprepare(call: &Call, prepared: &mut PreparedStatements) -> Request {
    if !handle(call).is_some_and(|handle| prepared.remove(handle)) {
        return call_rejected(UNKNOWN_HANDLE);
    }
    let mut tokens = Vec::new();
    put_return_status(&mut tokens, SUCCESS);
    put_done(&mut tokens, code::DONE_PROCEDURE, 0, 0);
    Request::AnsweredLocally(tokens)
}

/// Another procedure. Its name doesn't tell what it does, so the rules for unknown statements apply.
fn call_procedure(name: &str, payload: Vec<u8>) -> Request {
    let quoted: Vec<String> =
        name.split('.').map(|part| format!("[{}]", part.trim_matches(['[', ']']))).collect();
    Request::Run(Statement {
        text: format!("EXEC {}", quoted.join(".")),
        arguments: Vec::new(),
        kind: Kind::Rpc,
        payload,
        framing: ReplyFraming::Call,
    })
}

/// The handle of a prepared statement, a call's first parameter.
fn handle(call: &Call) -> Option<i64> {
    match call.parameters.first().map(|parameter| &parameter.value) {
        Some(Value::Integer(handle)) => Some(*handle),
        _ => None,
    }
}

/// The execution of a prepared statement as a call of `sp_executesql`, which any host can run.
fn run_prepared(
    call: &Call, payload: &[u8], text: &str, declarations: &str, framing: ReplyFraming,
) -> Request {
    let mut own_payload = Vec::new();
    let writer = CallWriter::known(&mut own_payload, Known::ExecuteSql).text("", text);
    let raw_arguments = call.raw_arguments(payload);
    // Without declarations there are no parameters either.
    if !declarations.is_empty() || !raw_arguments.is_empty() {
        writer.text("", declarations).raw(raw_arguments);
    }
    Request::Run(Statement {
        text: text.into(),
        arguments: argument_values(call, declarations),
        kind: Kind::Rpc,
        payload: own_payload,
        framing,
    })
}

/// The values of a statement's parameters by name. Those that came without a name have the declared names, in order.
fn argument_values(call: &Call, declarations: &str) -> Vec<Argument> {
    let declared = declared(declarations);
    let named_value = |(position, (name, value)): (usize, (&str, &Value))| {
        let name = match name {
            "" => declared.get(position).cloned().unwrap_or_default(),
            name => name.to_lowercase(),
        };
        Argument { name, value: text_value(value) }
    };
    call.arguments().enumerate().map(named_value).collect()
}

/// The text of a value, where it is an integer or a text.
fn text_value(value: &Value) -> Option<Vec<u8>> {
    match value {
        Value::Integer(value) => Some(value.to_string().into_bytes()),
        Value::Text(value) => Some(value.clone().into_bytes()),
        _ => None,
    }
}

/// Whether a batch holds nothing, or options of a session alone. Only what is short and begins so is parsed for it:
/// admission parses the others.
fn is_empty_or_settings(text: &str) -> bool {
    let may_be = match text.trim_start().as_bytes() {
        [] | [b';' | b'-' | b'/', ..] => true,
        [first, second, third, ..] => [*first, *second, *third].eq_ignore_ascii_case(b"set"),
        _ => false,
    };
    if !may_be || text.len() > MAX_SETTINGS_BYTES {
        return false;
    }
    let mut lexer = Lexer::new(Dialect::Tsql);
    lexer.read(text.as_bytes());
    let is_empty = lexer.tokens().is_empty() && lexer.ambiguity().is_none();
    is_empty || only_settings(&lexer)
}
