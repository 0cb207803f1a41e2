//! The command `trail`: summarizes the logs of many routers, or prints all lines with one request id.
//!
//! The summary shows why requests were rejected, and how many health checks, connections and attempts there
//! were per answered request.
//!
//! ```
//! use comethitchd::service::trail::LogSummary;
//! let mut summary = LogSummary::default();
//! summary.add_line("n1", "0.5 2026-12-01T20:00:00Z INFO comethitchd::stages::policy_driver: policy_driver.rs:9 request rejected id=7 reason=deadline_exceeded answer=throttled");
//! summary.add_line("n1", "9.0 2026-12-01T20:00:09Z INFO comethitchd::state::metrics_report: :0 counts requests_received=4 answered=3 health_checks=6");
//! assert_eq!(summary.rejections[&("deadline_exceeded".to_string(), "throttled".to_string())], 1);
//! assert_eq!(summary.per_answered("health_checks"), Some(2.0));
//! ```

mod aliases;
mod error;
mod log_files;
mod log_line;
mod summary;
#[cfg(test)]
mod tests;

pub use error::TrailError;
pub use summary::{FollowedLine, LogSummary};

use argh::FromArgs;
use log_line::timestamp;
use std::path::PathBuf;

/// Summarize the logs of many routers: why requests were rejected, and the counts per answered request; or
/// print all lines with one request id.
#[derive(FromArgs)]
#[argh(subcommand, name = "trail")]
pub struct TrailCommand {
    /// print the lines with this request id (`id=` in the statement's comment) from all logs, sorted by
    /// timestamp
    #[argh(option)]
    id: Option<String>,
    /// log files, or folders that contain log files
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

impl TrailCommand {
    /// Reads the logs, and prints the summary, or the lines with the id if one was given.
    ///
    /// # Errors
    ///
    /// If there are no log files, one can't be read, or no line contains the id.
    pub fn run(self) -> Result<(), TrailError> {
        let files = log_files::find(&self.logs)?;
        let mut summary = self.id.as_deref().map_or_else(LogSummary::default, LogSummary::following);
        for file in &files {
            log_files::read(&mut summary, file)?;
        }
        match self.id {
            Some(id) => print_followed(summary, id),
            None => {
                summary.to_lines().iter().for_each(|line| println!("{line}"));
                Ok(())
            }
        }
    }
}

fn print_followed(mut summary: LogSummary, id: String) -> Result<(), TrailError> {
    if summary.followed_lines.is_empty() {
        return Err(TrailError::UnknownId { id });
    }
    summary.followed_lines.sort_by(|a, b| timestamp(&a.text).cmp(timestamp(&b.text)));
    summary.followed_lines.iter().for_each(|line| println!("{}: {}", line.router, line.text));
    Ok(())
}
