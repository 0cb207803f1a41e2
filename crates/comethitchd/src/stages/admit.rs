//! Admission: makes a request of a statement, by its comment alone or, with rules for statements, also by its text.

use crate::state::router_state::RouterState;
use crate::wire::statement::{self, CommentError, CommentFields};
use comethitch_policy::ShardId;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_statement::StatementAdmission;
use comethitch_statement::admission::{KnownShape, StatementHints, StatementRejection};
use comethitch_statement::assign::{Arguments, AssignmentError};
use std::ops::Range;
use std::rc::Rc;

/// A client's timeout is never longer than this: a day.
const MAX_TIMEOUT_MS: u64 = 24 * 60 * 60 * 1000;

/// A statement as a client protocol has read it.
pub struct StatementRequest<'a> {
    /// The statement, with its comment.
    pub text: &'a [u8],
    /// The values of its parameters, where they came beside it.
    pub arguments: &'a Arguments,
    /// When its last byte arrived.
    pub arrived: Timestamp,
    /// A number for the client's machine, whose statements share one budget for parsing.
    pub origin: u64,
}

/// A request as it is handed to the policy, but for its statement.
pub struct AdmittedRequest {
    /// The id that its client gave it, or a generated one.
    pub client_id: String,
    /// Where the text holds the client's timeout, if it does.
    pub timeout_range: Option<Range<usize>>,
    /// What is known of its shape, where statements are classified by their text.
    pub shape: Option<Rc<KnownShape>>,
    /// Its request class, by index.
    pub class: usize,
    /// Its shard.
    pub shard: ShardId,
    /// A number for its session, whose requests may stay at one host.
    pub session: u64,
    /// The commit that it must see.
    pub after: Option<Timestamp>,
    /// When the client stops waiting.
    pub deadline: Timestamp,
}

/// Why a statement is no valid request. The texts are for clients.
#[derive(Debug, thiserror::Error)]
pub enum StatementError {
    /// The comment is missing or malformed, or what follows it is no statement that hosts take.
    #[error(transparent)]
    Comment(#[from] CommentError),
    /// The comment leaves out what the rules for statements do not supply.
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
    /// The client's timeout is too long.
    #[error("d is more than a day: {timeout_ms}")]
    TimeoutTooLong {
        /// The timeout in the comment.
        timeout_ms: u64,
    },
    /// The rules for statements refuse it.
    #[error("{0}")]
    Refused(AssignmentError),
}

impl StatementError {
    /// The SQLSTATE that a client gets for it.
    pub fn sqlstate(&self) -> &'static str {
        match self {
            StatementError::Comment(_) | StatementError::CommentIncomplete => "42601",
            StatementError::UnknownClass { .. } | StatementError::TimeoutTooLong { .. } => "22023",
            StatementError::IdInUse { .. } => "42710",
            StatementError::Refused(refusal) => refusal.code(),
        }
    }
}

/// Why a statement is not admitted.
#[derive(Debug, thiserror::Error)]
pub enum AdmissionError {
    /// It is no valid request.
    #[error(transparent)]
    Invalid(#[from] StatementError),
    /// Its client's budget for parsing statements is spent; a retry is harmless.
    #[error("the budget for parsing is spent")]
    Throttled,
}

/// Admits a statement by its comment or, if there are rules for statements, also by its text.
///
/// # Errors
///
/// If the statement is no valid request, or its client's budget for parsing statements is spent.
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
        after: comment.after_ms.map(Timestamp::from_millis),
        deadline: request.arrived + Duration::from_millis(comment.timeout.ms),
        client_id: comment.id.into(),
        timeout_range: Some(comment.timeout.range),
        shape: None,
    })
}

/// The rules supply what the comment leaves out; what it says must not be less strict than the text.
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
    let passed =
        admission.admit_with(text, arguments, hints, request.origin, &clock).map_err(|rejection| {
            match rejection {
                StatementRejection::Refused(refusal) => StatementError::Refused(refusal).into(),
                StatementRejection::Throttled => AdmissionError::Throttled,
            }
        })?;
    Ok(AdmittedRequest {
        class: passed.assigned.class,
        shard: passed.assigned.shard,
        session: passed.assigned.session.unwrap_or_else(|| statement::session_key(text)),
        after: fields.after_ms.map(Timestamp::from_millis),
        deadline: request.arrived + Duration::from_millis(timeout_ms),
        client_id,
        timeout_range: fields.timeout.map(|timeout| timeout.range),
        shape: Some(passed.known),
    })
}

/// The fields of the comment that the statement begins with; none if it begins otherwise.
fn comment_fields(text: &[u8]) -> Result<CommentFields<'_>, StatementError> {
    match statement::parse_comment(text) {
        Ok(fields) => Ok(fields),
        Err(_) if !text.trim_ascii_start().starts_with(b"/*") => Ok(CommentFields::default()),
        Err(error) => Err(error.into()),
    }
}

/// The client's timeout in milliseconds: by its comment, or by the rules where these admit an incomplete comment.
fn timeout_ms(admission: &StatementAdmission, fields: &CommentFields<'_>) -> Result<u64, StatementError> {
    let given = fields.timeout.as_ref().map(|timeout| timeout.ms);
    let complete = fields.id.is_some() && fields.class.is_some() && fields.shard.is_some();
    match (given, &admission.rules().commentless) {
        (Some(timeout_ms), _) if complete => Ok(timeout_ms),
        (given, Some(commentless)) => Ok(given.unwrap_or(commentless.wait_ms)),
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

/// The tag that answers a statement about the session alone, which has no effect here.
pub fn session_statement(state: &RouterState, text: &[u8]) -> Option<&'static str> {
    // With rules, any text may come: one that goes on behind a semicolon is admitted as a whole.
    if state.statement_rules.are_present() && has_several_statements(text) {
        return None;
    }
    let word = text.trim_ascii_start().split(|b| !b.is_ascii_alphabetic()).next().unwrap_or_default();
    let tags = ["SET", "RESET", "DISCARD"];
    tags.into_iter().find(|tag| word.eq_ignore_ascii_case(tag.as_bytes()))
}

/// Whether a semicolon stands before the end.
fn has_several_statements(text: &[u8]) -> bool {
    let text = text.trim_ascii_end();
    text.strip_suffix(b";").unwrap_or(text).contains(&b';')
}
