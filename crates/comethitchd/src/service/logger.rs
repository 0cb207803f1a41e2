//! Writes the log to standard error: one line per record, as text or JSON, with RFC 3339 timestamps in UTC.
//!
//! A line that can't be written, for example because the disk is full or the reader has exited, is counted
//! and dropped: requests must not fail because of the log.

use crate::state::dropped_log_lines::record_dropped_line;
use log::LevelFilter;
use logforth::bridge::log::LogBridge;
use logforth::filter::FilterResult;
use logforth::layout::text::jiff::tz::TimeZone;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{FilterCriteria, Record};
use logforth::{Append, Diagnostic, Error, Filter, Layout};
use std::io::{self, Write};
use std::str::FromStr;

/// Prefix of the log targets of this project.
const TARGET_PREFIX: &str = "comethitch";

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Timestamp, level, source, message, and the fields as `name=value`.
    #[default]
    Text,
    /// One JSON object per line, with the fields under `kvs`.
    Json,
}

/// The name of an unknown log format.
#[derive(Debug, thiserror::Error)]
#[error("unknown log format {name:?}: must be text or json")]
pub struct UnknownLogFormat {
    name: String,
}

impl FromStr for LogFormat {
    type Err = UnknownLogFormat;

    fn from_str(name: &str) -> Result<LogFormat, UnknownLogFormat> {
        match name {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            other => Err(UnknownLogFormat { name: other.to_string() }),
        }
    }
}

/// Writes each line to standard error, or drops it on failure. It never returns an error, because `logforth`
/// panics on errors.
#[derive(Debug)]
struct StderrAppender {
    layout: Box<dyn Layout>,
}

impl Append for StderrAppender {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let written = self.layout.format(record, diagnostics).is_ok_and(|mut line| {
            line.push(b'\n');
            io::stderr().write_all(&line).is_ok()
        });
        if !written {
            record_dropped_line();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Rejects the log records of other projects' libraries.
#[derive(Debug)]
struct ProjectTargetFilter;

impl Filter for ProjectTargetFilter {
    fn enabled(&self, criteria: &FilterCriteria, _: &[Box<dyn Diagnostic>]) -> FilterResult {
        if criteria.target().starts_with(TARGET_PREFIX) {
            FilterResult::Neutral
        } else {
            FilterResult::Reject
        }
    }
}

/// Installs the logger; a second call has no effect.
pub fn start(level: LevelFilter, format: LogFormat) {
    let layout: Box<dyn Layout> = match format {
        LogFormat::Text => Box::new(TextLayout::default().no_color().timezone(TimeZone::UTC)),
        LogFormat::Json => Box::new(JsonLayout::default().timezone(TimeZone::UTC)),
    };
    let appender = StderrAppender { layout };
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(ProjectTargetFilter).append(appender))
        .build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(level);
    }
}
