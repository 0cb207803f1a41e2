//! The log: one line for each record on standard error, as text or as JSON, with times of RFC 3339 in UTC.

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::filter::FilterResult;
use logforth::layout::text::jiff::tz::TimeZone;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::FilterCriteria;
use logforth::{Diagnostic, Filter};
use std::str::FromStr;

/// The prefix of the targets of this project's own records.
const TARGET_PREFIX: &str = "comethitch";

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogForm {
    /// Timestamp, level, source, message, then the fields as `name=value`.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// A form of the log that does not exist.
#[derive(Debug, thiserror::Error)]
#[error("the log's form is text or json, not {name:?}")]
pub struct UnknownLogForm {
    name: String,
}

impl FromStr for LogForm {
    type Err = UnknownLogForm;

    fn from_str(name: &str) -> Result<LogForm, UnknownLogForm> {
        match name {
            "text" => Ok(LogForm::Text),
            "json" => Ok(LogForm::Json),
            other => Err(UnknownLogForm { name: other.to_string() }),
        }
    }
}

/// Leaves out the records of other libraries.
#[derive(Debug)]
struct OwnTargets;

impl Filter for OwnTargets {
    fn enabled(&self, criteria: &FilterCriteria, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        if criteria.target().starts_with(TARGET_PREFIX) {
            FilterResult::Neutral
        } else {
            FilterResult::Reject
        }
    }
}

/// Starts the log; a second call changes nothing.
pub fn start(level: LevelFilter, form: LogForm) {
    let append = match form {
        LogForm::Text => {
            Stderr::default().with_layout(TextLayout::default().no_color().timezone(TimeZone::UTC))
        }
        LogForm::Json => Stderr::default().with_layout(JsonLayout::default().timezone(TimeZone::UTC)),
    };
    let logger =
        logforth::core::builder().dispatch(|dispatch| dispatch.filter(OwnTargets).append(append)).build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(level);
    }
}
