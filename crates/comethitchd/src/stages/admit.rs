//! Second stage: what a statement's comment says becomes what the module is told.

use crate::memory::commands::Statement;
use crate::service::daemon::Daemon;
use crate::wire::statement;
use comethitch::Shard;
use comethitch::time::{Span, Time};

/// A command as it is handed to the module.
pub struct Admitted {
    pub statement: Statement,
    pub group: usize,
    pub shard: Shard,
    pub session: u64,
    /// The commit that it must see.
    pub after: Option<Time>,
    /// When the client stops waiting.
    pub expiry: Time,
}

/// A statement that is no command.
#[derive(Debug, PartialEq, Eq)]
pub struct Rejected {
    pub code: &'static str,
    pub text: String,
}

/// A client's wait is never longer than this, whatever it says: a day.
const LONGEST_WAIT_MS: u64 = 24 * 60 * 60 * 1000;

pub fn admit(daemon: &Daemon, text: Vec<u8>, arrived: Time) -> Result<Admitted, Rejected> {
    let rejected = |code, text| Rejected { code, text };
    let comment = statement::comment(&text).map_err(|text| rejected("42601", text))?;
    let group = daemon.site.groups.iter().position(|name| name == comment.group);
    let group =
        group.ok_or_else(|| rejected("22023", format!("unknown command group {:?}", comment.group)))?;
    if daemon.commands.borrow().is_open(comment.id) {
        return Err(rejected("42710", format!("a command of the id {} is in hand", comment.id)));
    }
    if comment.wait_ms > LONGEST_WAIT_MS {
        return Err(rejected("22023", format!("d is more than a day: {}", comment.wait_ms)));
    }
    Ok(Admitted {
        group,
        shard: comment.shard,
        session: statement::session(&text),
        after: comment.after_ms.map(|ms| Time(ms.saturating_mul(1_000))),
        expiry: arrived + Span(comment.wait_ms * 1_000),
        statement: Statement { name: comment.id.into(), wait_at: comment.wait_at, text },
    })
}

/// The tag that answers a statement about the session alone, which has no effect here.
pub fn session_statement(text: &[u8]) -> Option<&'static str> {
    let word = text.trim_ascii_start().split(|b| !b.is_ascii_alphabetic()).next().unwrap_or_default();
    let tags = ["SET", "RESET", "DISCARD"];
    tags.into_iter().find(|tag| word.eq_ignore_ascii_case(tag.as_bytes()))
}
