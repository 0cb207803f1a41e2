//! The log: a line each on standard error, as text or as JSON, with times of RFC 3339 in UTC.

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;
use logforth::filter::FilterResult;
use logforth::layout::text::jiff::tz::TimeZone;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::FilterCriteria;
use logforth::{Diagnostic, Filter};
use std::str::FromStr;

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogForm {
    /// Timestamp, level, source, message, then the fields as `name=value`.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

impl FromStr for LogForm {
    type Err = String;

    fn from_str(name: &str) -> Result<LogForm, String> {
        match name {
            "text" => Ok(LogForm::Text),
            "json" => Ok(LogForm::Json),
            other => Err(format!("the log's form is text or json, not {other:?}")),
        }
    }
}

/// Other libraries' lines are left out.
#[derive(Debug)]
struct Ours;

impl Filter for Ours {
    fn enabled(&self, of: &FilterCriteria, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        match of.target().starts_with("comethitch") {
            true => FilterResult::Neutral,
            false => FilterResult::Reject,
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
    let logger = logforth::core::builder().dispatch(|line| line.filter(Ours).append(append)).build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(level);
    }
}
