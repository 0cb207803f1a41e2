//! Parses a client's message into an operation: a statement to run at a host, one that the router answers
//! itself, or one that is not supported.

use super::reply::{ReplyFraming, put_handle};
use crate::protocols::client_connection::Disconnect;
use crate::protocols::tds::prepared::PreparedStatements;
use comethitch_statement::assign::Argument;
use comethitch_statement::classify::sets_only_session_options;
use comethitch_statement::{Dialect, Lexer};
use comethitch_tds::MalformedMessage;
use comethitch_tds::packet::MessageKind;
use comethitch_tds::request::{
    Batch, Call, CallArgument, CallWriter, Procedure, SystemProcedure, declared_names,
};
use comethitch_tds::token::code;
use comethitch_tds::types::Value;
use comethitch_tds::write::{put_done, put_return_status};

/// Maximum size of a batch that is checked for containing only session options.
const MAX_SESSION_OPTIONS_BYTES: usize = 4 * 1024;
/// The return status of a procedure that succeeded.
const SUCCESS: i32 = 0;

const NO_TRANSACTION: &str = "this connection is in no transaction";
const NO_MEMORY_FOR_PREPARED: &str = "no room for one more prepared statement";
const UNKNOWN_HANDLE: &str = "no statement of this handle is prepared";

/// An operation that a client's message requests.
pub(super) enum Operation {
    /// The statement must run at a host.
    Run(Statement),
    /// The router answers the message itself, with these tokens.
    AnsweredLocally(Vec<u8>),
    /// The operation is not supported.
    Rejected {
        /// The text of the error sent to the client.
        reason: String,
        /// How the answer is framed.
        framing: ReplyFraming,
    },
}

/// A statement to run at a host.
pub(super) struct Statement {
    /// The statement's text, from which it is classified and admitted.
    pub text: String,
    /// The names and values of the parameters. The value is `None` if it is neither an integer nor text.
    pub arguments: Vec<Argument>,
    /// The kind of the message to the host.
    pub kind: MessageKind,
    /// The payload of the message to the host.
    pub payload: Vec<u8>,
    /// How the answer is framed.
    pub framing: ReplyFraming,
}

/// Converts a malformed message into the reason for closing its connection.
pub(super) fn protocol_violation(malformed: MalformedMessage) -> Disconnect {
    Disconnect::ProtocolViolation(malformed.0)
}

/// Parses a message into the operation that it requests.
///
/// # Errors
/// If the message violates the protocol.
pub(super) fn parse(
    kind: MessageKind, payload: Vec<u8>, prepared: &mut PreparedStatements,
) -> Result<Operation, Disconnect> {
    match kind {
        MessageKind::Batch => parse_batch(payload),
        MessageKind::Rpc => parse_call(payload, prepared),
        MessageKind::Transaction => Ok(rejected(
            ReplyFraming::Batch,
            "transactions of several statements are not carried: send them as one batch",
        )),
        MessageKind::BulkLoad => Ok(rejected(ReplyFraming::Batch, "bulk loads are not carried")),
        _ => Err(Disconnect::ProtocolViolation("a message that no client sends now")),
    }
}

fn rejected(framing: ReplyFraming, reason: &str) -> Operation {
    Operation::Rejected { reason: reason.into(), framing }
}

fn call_rejected(reason: &str) -> Operation {
    rejected(ReplyFraming::Call, reason)
}

fn parse_batch(payload: Vec<u8>) -> Result<Operation, Disconnect> {
    let batch = Batch::read(&payload).map_err(protocol_violation)?;
    if batch.headers.transaction != 0 {
        return Ok(rejected(ReplyFraming::Batch, NO_TRANSACTION));
    }
    // Session options would have no effect, because each request runs in a session that was reset.
    if is_empty_or_session_options(&batch.text) {
        let mut tokens = Vec::new();
        put_done(&mut tokens, code::DONE, 0, 0);
        return Ok(Operation::AnsweredLocally(tokens));
    }
    Ok(Operation::Run(Statement {
        text: batch.text,
        arguments: Vec::new(),
        kind: MessageKind::Batch,
        payload,
        framing: ReplyFraming::Batch,
    }))
}

fn parse_call(payload: Vec<u8>, prepared: &mut PreparedStatements) -> Result<Operation, Disconnect> {
    let call = Call::read(&payload).map_err(protocol_violation)?;
    if call.has_more_calls {
        return Ok(call_rejected("several calls in one message are not carried"));
    }
    if call.headers.transaction != 0 {
        return Ok(call_rejected(NO_TRANSACTION));
    }
    let operation = match &call.procedure {
        Procedure::System(SystemProcedure::ExecuteSql) => execute_sql(&call, payload),
        Procedure::System(SystemProcedure::Prepare) => prepare(&call, prepared),
        Procedure::System(SystemProcedure::Execute) => execute_prepared(&call, &payload, prepared),
        Procedure::System(SystemProcedure::PrepareExecute) => prepare_and_execute(&call, &payload, prepared),
        Procedure::System(SystemProcedure::Unprepare) => unprepare(&call, prepared),
        Procedure::System(SystemProcedure::Cursor) => call_rejected("cursors are not carried"),
        Procedure::Named(name) => call_procedure(name, payload),
    };
    Ok(operation)
}

/// Handles `sp_executesql`: forwards the call unchanged.
fn execute_sql(call: &Call, payload: Vec<u8>) -> Operation {
    let Some(text) = call.statement() else {
        return call_rejected("sp_executesql without a statement");
    };
    Operation::Run(Statement {
        text: text.to_string(),
        arguments: argument_values(call, call.declarations().unwrap_or_default()),
        kind: MessageKind::Rpc,
        payload,
        framing: ReplyFraming::Call,
    })
}

/// Handles `sp_prepare`: stores a statement and answers with its handle.
fn prepare(call: &Call, prepared: &mut PreparedStatements) -> Operation {
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
    Operation::AnsweredLocally(tokens)
}

/// Handles `sp_execute`: runs a stored statement.
fn execute_prepared(call: &Call, payload: &[u8], prepared: &PreparedStatements) -> Operation {
    let Some(statement) = statement_handle(call).and_then(|handle| prepared.get(handle)) else {
        return call_rejected(UNKNOWN_HANDLE);
    };
    run_prepared(call, payload, &statement.text, &statement.declarations, ReplyFraming::Call)
}

/// Handles `sp_prepexec`: stores and runs a statement, and adds its handle to the answer.
fn prepare_and_execute(call: &Call, payload: &[u8], prepared: &mut PreparedStatements) -> Operation {
    let Some(text) = call.statement() else {
        return call_rejected("sp_prepexec without a statement");
    };
    let declarations = call.declarations().unwrap_or_default();
    let Some(handle) = prepared.insert(text, declarations) else {
        return call_rejected(NO_MEMORY_FOR_PREPARED);
    };
    run_prepared(call, payload, text, declarations, ReplyFraming::CallReturningHandle(handle))
}

/// Handles `sp_unprepare`: removes a stored statement.
fn unprepare(call: &Call, prepared: &mut PreparedStatements) -> Operation {
    if !statement_handle(call).is_some_and(|handle| prepared.remove(handle)) {
        return call_rejected(UNKNOWN_HANDLE);
    }
    let mut tokens = Vec::new();
    put_return_status(&mut tokens, SUCCESS);
    put_done(&mut tokens, code::DONE_PROCEDURE, 0, 0);
    Operation::AnsweredLocally(tokens)
}

/// Handles any other procedure: the call is forwarded unchanged, and admitted as an `EXEC` statement, whose
/// effect is known only from the operator's statement rules.
fn call_procedure(name: &str, payload: Vec<u8>) -> Operation {
    let quoted: Vec<String> =
        name.split('.').map(|part| format!("[{}]", part.trim_matches(['[', ']']))).collect();
    Operation::Run(Statement {
        text: format!("EXEC {}", quoted.join(".")),
        arguments: Vec::new(),
        kind: MessageKind::Rpc,
        payload,
        framing: ReplyFraming::Call,
    })
}

/// Returns the handle of a prepared statement from a call's first parameter.
fn statement_handle(call: &Call) -> Option<i64> {
    match call.parameters.first().map(|parameter| &parameter.value) {
        Some(Value::Integer(handle)) => Some(*handle),
        _ => None,
    }
}

/// Returns the execution of a prepared statement, rewritten as a call of `sp_executesql`, which any host can
/// run.
fn run_prepared(
    call: &Call, payload: &[u8], text: &str, declarations: &str, framing: ReplyFraming,
) -> Operation {
    let mut rewritten = Vec::new();
    let writer = CallWriter::system(&mut rewritten, SystemProcedure::ExecuteSql).text("", text);
    let raw_arguments = call.raw_arguments(payload);
    // A statement without parameters must not carry empty declarations.
    if !declarations.is_empty() || !raw_arguments.is_empty() {
        writer.text("", declarations).raw(raw_arguments);
    }
    Operation::Run(Statement {
        text: text.into(),
        arguments: argument_values(call, declarations),
        kind: MessageKind::Rpc,
        payload: rewritten,
        framing,
    })
}

/// Returns the names and values of a statement's parameters. Unnamed ones get the declared name at their
/// position.
fn argument_values(call: &Call, declarations: &str) -> Vec<Argument> {
    let declared = declared_names(declarations);
    let argument = |(position, CallArgument { name, value }): (usize, CallArgument<'_>)| {
        let name = match name {
            "" => declared.get(position).cloned().unwrap_or_default(),
            name => name.to_lowercase(),
        };
        Argument { name, value: text_value(value) }
    };
    call.arguments().enumerate().map(argument).collect()
}

/// Returns an integer or a text value as text, and `None` for other types.
fn text_value(value: &Value) -> Option<Vec<u8>> {
    match value {
        Value::Integer(value) => Some(value.to_string().into_bytes()),
        Value::Text(value) => Some(value.clone().into_bytes()),
        _ => None,
    }
}

/// Returns whether a batch is empty or only sets session options. Only short batches that begin like one are
/// parsed here, so that other batches are not parsed twice.
fn is_empty_or_session_options(text: &str) -> bool {
    let is_candidate = match text.trim_start().as_bytes() {
        [] | [b';' | b'-' | b'/', ..] => true,
        [first, second, third, ..] => [*first, *second, *third].eq_ignore_ascii_case(b"set"),
        _ => false,
    };
    if !is_candidate || text.len() > MAX_SESSION_OPTIONS_BYTES {
        return false;
    }
    let mut lexer = Lexer::new(Dialect::Tsql);
    lexer.tokenize(text.as_bytes());
    let is_empty = lexer.tokens().is_empty() && lexer.ambiguity().is_none();
    is_empty || sets_only_session_options(&lexer)
}
