//! Second stage: what a statement's comment says becomes what the module is told.

use crate::state::router_state::RouterState;
use crate::wire::statement::{self, CommentFields};
use comethitch_policy::Shard;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_statement::StatementAdmission;
use comethitch_statement::admission::{KnownShape, StatementHints, StatementRejection};
use comethitch_statement::assign::Arguments;
use std::ops::Range;
use std::rc::Rc;

/// A statement as a front has read it: what it says, and the values that came beside it.
pub struct Asked<'a> {
    pub text: &'a [u8],
    pub arguments: &'a Arguments,
    pub arrived: Timestamp,
    /// The client's machine, as a number.
    pub origin: u64,
}

/// A command as it is handed to the module, but for its statement.
pub struct Admitted {
    /// The id that its client gave it, or one of the router's own.
    pub name: String,
    /// Where in the text stands how long the client waits, if it tells.
    pub wait_at: Option<Range<usize>>,
    /// What is known of its shape, where statements are judged by their text.
    pub known: Option<Rc<KnownShape>>,
    pub group: usize,
    pub shard: Shard,
    pub session: u64,
    /// The commit that it must see.
    pub after: Option<Timestamp>,
    /// When the client stops waiting.
    pub expiry: Timestamp,
}

/// A statement that is no command.
#[derive(Debug, PartialEq, Eq)]
pub struct Rejected {
    pub code: &'static str,
    pub text: String,
}

/// Why a statement is not taken.
#[derive(Debug, PartialEq, Eq)]
pub enum NotTaken {
    Rejected(Rejected),
    /// The work of finding out what it is was more than its client may cause now; trying again is harmless.
    Throttled,
}

impl From<Rejected> for NotTaken {
    fn from(rejected: Rejected) -> NotTaken {
        NotTaken::Rejected(rejected)
    }
}

fn rejected(code: &'static str, text: impl Into<String>) -> Rejected {
    Rejected { code, text: text.into() }
}

/// A client's wait is never longer than this, whatever it says: a day.
const LONGEST_WAIT_MS: u64 = 24 * 60 * 60 * 1000;

/// Admits a statement: by its comment alone, or, where an operator's rules are on, by its text besides.
pub fn admit(state: &RouterState, asked: &Asked<'_>) -> Result<Admitted, NotTaken> {
    match &mut *state.admission.borrow_mut() {
        None => Ok(by_comment(state, asked)?),
        Some(desk) => by_text(state, desk, asked),
    }
}

fn by_comment(state: &RouterState, asked: &Asked<'_>) -> Result<Admitted, Rejected> {
    let comment = statement::parse_command(asked.text).map_err(|why| rejected("42601", why.to_string()))?;
    let group = group_named(state, comment.group)?;
    checked(state, comment.id, comment.wait_ms)?;
    Ok(Admitted {
        group,
        shard: comment.shard,
        session: statement::session_key(asked.text),
        after: comment.after_ms.map(Timestamp::from_millis),
        expiry: asked.arrived + Duration::from_millis(comment.wait_ms),
        name: comment.id.into(),
        wait_at: Some(comment.wait_at),
        known: None,
    })
}

/// What the comment leaves out, the rules supply; what it tells must not be less strict than the text.
fn by_text(
    state: &RouterState, desk: &mut StatementAdmission, asked: &Asked<'_>,
) -> Result<Admitted, NotTaken> {
    let Asked { text, arguments, .. } = *asked;
    let fields = match statement::parse_comment(text) {
        Ok(fields) => fields,
        // A statement that begins otherwise has no comment of this kind.
        Err(_) if !text.trim_ascii_start().starts_with(b"/*") => CommentFields::default(),
        Err(why) => return Err(rejected("42601", why.to_string()).into()),
    };
    let whole =
        fields.id.is_some() && fields.group.is_some() && fields.wait.is_some() && fields.shard.is_some();
    let wait_ms = match (desk.rules().commentless, &fields.wait) {
        (_, Some(wait)) if whole => wait.ms,
        (Some(commentless), wait) => wait.as_ref().map_or(commentless.wait_ms, |wait| wait.ms),
        (None, _) => {
            let why = "the statement's comment must hold id, c, d and cluster: the rules admit none without";
            return Err(rejected("42601", why).into());
        }
    };
    let group = fields.group.map(|name| group_named(state, name)).transpose()?;
    let name = fields.id.map_or_else(|| state.commands.borrow_mut().own_name(), String::from);
    checked(state, &name, wait_ms)?;
    let told = StatementHints { group, shard: fields.shard };
    let clock = || state.clock.now();
    let passed = desk.admit_with(text, arguments, told, asked.origin, &clock);
    let passed = passed.map_err(|turned| match turned {
        StatementRejection::Refused(refusal) => {
            NotTaken::Rejected(rejected(refusal.code(), refusal.to_string()))
        }
        StatementRejection::Throttled => NotTaken::Throttled,
    })?;
    Ok(Admitted {
        group: passed.assigned.group,
        shard: passed.assigned.shard,
        session: passed.assigned.session.unwrap_or_else(|| statement::session_key(text)),
        after: fields.after_ms.map(Timestamp::from_millis),
        expiry: asked.arrived + Duration::from_millis(wait_ms),
        name,
        wait_at: fields.wait.map(|wait| wait.range),
        known: Some(passed.known),
    })
}

fn group_named(state: &RouterState, name: &str) -> Result<usize, Rejected> {
    let group = state.config.groups.iter().position(|known| known == name);
    group.ok_or_else(|| rejected("22023", format!("unknown command group {name:?}")))
}

fn checked(state: &RouterState, id: &str, wait_ms: u64) -> Result<(), Rejected> {
    if state.commands.borrow().is_open(id) {
        return Err(rejected("42710", format!("a command of the id {id} is in hand")));
    }
    if wait_ms > LONGEST_WAIT_MS {
        return Err(rejected("22023", format!("d is more than a day: {wait_ms}")));
    }
    Ok(())
}

/// The tag that answers a statement about the session alone, which has no effect here.
pub fn session_statement(state: &RouterState, text: &[u8]) -> Option<&'static str> {
    // Where any statement may come, one that goes on behind a semicolon is looked at whole.
    if state.admission.borrow().is_some() && several(text) {
        return None;
    }
    let word = text.trim_ascii_start().split(|b| !b.is_ascii_alphabetic()).next().unwrap_or_default();
    let tags = ["SET", "RESET", "DISCARD"];
    tags.into_iter().find(|tag| word.eq_ignore_ascii_case(tag.as_bytes()))
}

/// Whether a semicolon stands before the end.
fn several(text: &[u8]) -> bool {
    let text = text.trim_ascii_end();
    text.strip_suffix(b";").unwrap_or(text).contains(&b';')
}
