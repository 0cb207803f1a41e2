//! Admission: turns a statement into a request, based on its comment and, if statement rules are configured,
//! on its text.

use crate::state::router_state::RouterState;
use crate::wire::statement::{self, CommentError, CommentFields};
use comethitch_policy::ShardId;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_statement::StatementAdmission;
use comethitch_statement::admission::{KnownShape, StatementHints, StatementRejection};
use comethitch_statement::assign::{Argument, AssignmentError};
use std::ops::Range;
use std::rc::Rc;

/// Maximum timeout that a client may set: one day.
const MAX_TIMEOUT_MS: u64 = 24 * 60 * 60 * 1000;
/// Command tags of the statements that change only session state.
const SESSION_STATEMENT_TAGS: [&str; 3] = ["SET", "RESET", "DISCARD"];

/// A statement as received by a client protocol.
pub struct StatementRequest<'a> {
    /// The text of the statement, including its comment.
    pub text: &'a [u8],
    /// The arguments that were sent separately from the text.
    pub arguments: &'a [Argument],
    /// Time at which the last byte of the statement arrived.
    pub arrived_at: Timestamp,
    /// Identifies the client's machine. All statements from one machine share a parsing budget.
    pub client_machine: u64,
}

/// A request that is ready to be submitted to the policy, without the statement's text.
pub struct AdmittedRequest {
    /// The id that the client gave the request, or a generated one.
    pub client_id: String,
    /// The position of the client's timeout in the text, if there is one.
    pub timeout_range: Option<Range<usize>>,
    /// The statement's shape, if statements are classified by their text.
    pub shape: Option<Rc<KnownShape>>,
    /// The index of the request class.
    pub class: usize,
    /// The shard that holds the request's data.
    pub shard: ShardId,
    /// The session key: the policy may keep requests with the same key on one host.
    pub session: u64,
    /// The time of the commit that the request must see, if the client gave one.
    pub required_position: Option<Timestamp>,
    /// Time at which the client stops waiting for the answer.
    pub deadline: Timestamp,
}

/// Why a statement is not a valid request. The messages are sent to clients.
#[derive(Debug, thiserror::Error)]
pub enum StatementError {
    /// The comment is missing or malformed, or is not followed by a statement that hosts support.
    #[error(transparent)]
    Comment(#[from] CommentError),
    /// The comment lacks a required field, and the statement rules do not supply it.
    #[error("the statement's comment must hold id, c, d and cluster: the rules admit none without")]
    CommentIncomplete,
    /// No request class has this name.
    #[error("unknown command group {name:?}")]
    UnknownClass {
        /// The name in the comment.
        name: String,
    },
    /// A request with this id is in progress.
    #[error("a command of the id {id} is in hand")]
    IdInUse {
        /// The id in the comment.
        id: String,
    },
    /// The client's timeout exceeds the maximum of one day.
    #[error("d is more than a day: {timeout_ms}")]
    TimeoutTooLong {
        /// The timeout in the comment.
        timeout_ms: u64,
    },
    /// The statement rules reject the statement.
    #[error("{0}")]
    Rejected(AssignmentError),
}

impl StatementError {
    /// Returns the SQLSTATE that is sent to the client.
    pub fn sqlstate(&self) -> &'static str {
        match self {
            StatementError::Comment(_) | StatementError::CommentIncomplete => "42601",
            StatementError::UnknownClass { .. } | StatementError::TimeoutTooLong { .. } => "22023",
            StatementError::IdInUse { .. } => "42710",
            StatementError::Rejected(error) => error.code(),
        }
    }
}

/// Why a statement was not admitted.
#[derive(Debug, thiserror::Error)]
pub enum AdmissionError {
    /// The statement is not a valid request.
    #[error(transparent)]
    Invalid(#[from] StatementError),
    /// The parsing budget is exhausted. The client may retry the statement.
    #[error("the budget for parsing is spent")]
    Throttled,
}

impl From<StatementRejection> for AdmissionError {
    fn from(rejection: StatementRejection) -> AdmissionError {
        match rejection {
            StatementRejection::Rejected(error) => StatementError::Rejected(error).into(),
            StatementRejection::Throttled => AdmissionError::Throttled,
        }
    }
}

/// Admits a statement based on its comment and, if statement rules are configured, on its text.
///
/// # Errors
///
/// If the statement is not a valid request, or the parsing budget is exhausted.
pub fn admit(state: &RouterState, request: &StatementRequest<'_>) -> Result<AdmittedRequest, AdmissionError> {
    state.statement_rules.with_admission(|admission| match admission {
        None => Ok(admit_by_comment(state, request)?),
        Some(admission) => admit_by_text(state, admission, request),
    })
}

fn admit_by_comment(
    state: &RouterState, request: &StatementRequest<'_>,
) -> Result<AdmittedRequest, StatementError> {
    let comment = statement::parse_request_comment(request.text)?;
    let class = find_class(state, comment.class)?;
    check_id_and_timeout(state, comment.id, comment.timeout.ms)?;
    Ok(AdmittedRequest {
        class,
        shard: comment.shard,
        session: statement::session_key(request.text),
        required_position: comment.after_ms.map(Timestamp::from_millis),
        deadline: request.arrived_at + Duration::from_millis(comment.timeout.ms),
        client_id: comment.id.into(),
        timeout_range: Some(comment.timeout.range),
        shape: None,
    })
}

/// Admits a statement based on its text. The rules supply the fields that its comment lacks. If the comment
/// names a request class that does not allow the effect of the text, the rules decide whether the statement
/// is rejected or assigned to another class.
fn admit_by_text(
    state: &RouterState, admission: &mut StatementAdmission, request: &StatementRequest<'_>,
) -> Result<AdmittedRequest, AdmissionError> {
    let StatementRequest { text, arguments, .. } = *request;
    let fields = comment_fields(text)?;
    let timeout_ms = timeout_ms(admission, &fields)?;
    let class = fields.class.map(|name| find_class(state, name)).transpose()?;
    let client_id = fields.id.map_or_else(|| state.requests.generate_id(), String::from);
    check_id_and_timeout(state, &client_id, timeout_ms)?;
    let hints = StatementHints { class, shard: fields.shard };
    let clock = || state.clock.now();
    let admitted = admission.admit_with_arguments(text, arguments, hints, request.client_machine, &clock)?;
    Ok(AdmittedRequest {
        class: admitted.assignment.class,
        shard: admitted.assignment.shard,
        session: admitted.assignment.session.unwrap_or_else(|| statement::session_key(text)),
        required_position: fields.after_ms.map(Timestamp::from_millis),
        deadline: request.arrived_at + Duration::from_millis(timeout_ms),
        client_id,
        timeout_range: fields.timeout.map(|timeout| timeout.range),
        shape: Some(admitted.shape),
    })
}

/// Returns the fields of the comment at the start of the statement, or no fields if it does not start with a
/// comment.
fn comment_fields(text: &[u8]) -> Result<CommentFields<'_>, StatementError> {
    match statement::parse_comment(text) {
        Ok(fields) => Ok(fields),
        Err(_) if !text.trim_ascii_start().starts_with(b"/*") => Ok(CommentFields::default()),
        Err(error) => Err(error.into()),
    }
}

/// Returns the client's timeout in milliseconds: from the comment, or from the rules if they admit incomplete
/// comments and the comment sets none.
fn timeout_ms(admission: &StatementAdmission, fields: &CommentFields<'_>) -> Result<u64, StatementError> {
    let comment_timeout_ms = fields.timeout.as_ref().map(|timeout| timeout.ms);
    let has_other_fields = fields.id.is_some() && fields.class.is_some() && fields.shard.is_some();
    match (comment_timeout_ms, &admission.rules().comment_defaults) {
        (Some(timeout_ms), _) if has_other_fields => Ok(timeout_ms),
        (_, Some(defaults)) => Ok(comment_timeout_ms.unwrap_or(defaults.timeout_ms)),
        (_, None) => Err(StatementError::CommentIncomplete),
    }
}

fn find_class(state: &RouterState, name: &str) -> Result<usize, StatementError> {
    let class = state.config.class_names.iter().position(|known| known == name);
    class.ok_or_else(|| StatementError::UnknownClass { name: name.to_string() })
}

fn check_id_and_timeout(state: &RouterState, id: &str, timeout_ms: u64) -> Result<(), StatementError> {
    if state.requests.is_unanswered(id) {
        return Err(StatementError::IdInUse { id: id.to_string() });
    }
    if timeout_ms > MAX_TIMEOUT_MS {
        return Err(StatementError::TimeoutTooLong { timeout_ms });
    }
    Ok(())
}

/// Returns the command tag of a statement that changes only session state, or `None` for any other statement.
/// The router keeps no session state, so it answers such a statement with the tag and does nothing else.
pub fn session_statement_tag(state: &RouterState, text: &[u8]) -> Option<&'static str> {
    // With statement rules, a text of several statements is admitted as one request, whatever it starts with.
    if state.statement_rules.are_present() && has_several_statements(text) {
        return None;
    }
    let word = text.trim_ascii_start().split(|b| !b.is_ascii_alphabetic()).next().unwrap_or_default();
    SESSION_STATEMENT_TAGS.into_iter().find(|tag| word.eq_ignore_ascii_case(tag.as_bytes()))
}

/// Returns whether the text contains a semicolon other than a final one.
fn has_several_statements(text: &[u8]) -> bool {
    let text = text.trim_ascii_end();
    text.strip_suffix(b";").unwrap_or(text).contains(&b';')
}
