//! `trail`: sums the logs of many routers, to show why requests were rejected and what each answered request cost in
//! health checks and connections; or follows one request's id through them all.
//!
//! [`Trail::read`] is a pure fold over lines, of either form that `--log-form` writes, and of earlier versions too
//! (`aliases`); the request around it only opens files. A line that is neither form is skipped and counted, never
//! fatal: a log cut off by a crash still adds up.
//!
//! ```
//! use comethitchd::service::trail::Trail;
//! let mut trail = Trail::default();
//! trail.read("n1", "0.5 2026-12-01T20:00:00Z INFO comethitchd::stages::policy_driver: policy_driver.rs:9 request rejected id=7 reason=deadline_exceeded answer=throttled");
//! trail.read("n1", "9.0 2026-12-01T20:00:09Z INFO comethitchd::state::metrics_report: :0 counts requests_received=4 answered=3 health_checks=6");
//! assert_eq!(trail.reasons[&("deadline_exceeded".to_string(), "throttled".to_string())], 1);
//! assert_eq!(trail.per_answered("health_checks"), Some(2.0));
//! ```

mod aliases;
mod log_line;

use argh::FromArgs;
use log_line::{LogLine, timestamp};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

/// The longest line kept for one id, in characters; past it lines are cut, so that a runaway log can't fill the
/// memory.
const MAX_LINE_CHARS: usize = 4096;
/// Lines kept for one id: a request that is retried again and again keeps its first ones.
const MAX_LINES: usize = 10_000;
/// Reasons and counts told apart: past these, lines with new names are skipped, and such reasons counted as unread,
/// so that a log of nonsense can't grow the sums without bound.
const MAX_NAMES: usize = 1024;
/// Routers that the summary names, those that rejected most.
const TOP_ROUTERS: usize = 5;
/// Counts with this prefix are gauges, which are not summed.
const GAUGE_PREFIX: &str = "now_";
/// Stands for a field that a line lacks.
const MISSING_FIELD: &str = "unknown";

/// Sum up many routers' logs: why requests were rejected, and what an answer cost; or follow one id.
#[derive(FromArgs)]
#[argh(subcommand, name = "trail")]
pub struct TrailCommand {
    /// follow this request's id (the `id=` of its comment) through every log, in the order of their times
    #[argh(option)]
    id: Option<String>,
    /// log files, or folders whose files are all logs
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Why logs can't be summed, or an id not followed.
#[derive(Debug, thiserror::Error)]
pub enum TrailError {
    /// No file was named, or the folders hold none.
    #[error("no logs given: name files or folders of them")]
    NoLogs,
    /// A file or a folder can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// No line names the id that is followed.
    #[error("no line names id={id}")]
    UnknownId {
        /// The id.
        id: String,
    },
}

/// A line that names the id followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowedLine {
    /// The router that logged it.
    pub router: String,
    /// The line.
    pub text: String,
}

/// What was read so far: sums over all routers, and by router.
#[derive(Debug, Default)]
pub struct Trail {
    /// Rejected requests, by the reason and the final answer.
    pub reasons: BTreeMap<(String, String), u64>,
    /// Each field of the `counts` lines, summed over every line of every router.
    pub counts: BTreeMap<String, u64>,
    /// Rejected requests, by router (the name that the log was read under).
    pub by_router: BTreeMap<String, u64>,
    /// The lines that name the id followed, where one is followed.
    pub followed: Vec<FollowedLine>,
    /// Lines that were neither form.
    pub unread: u64,
    follow: Option<String>,
}

impl Trail {
    /// A trail that also keeps every line naming this id.
    pub fn following(id: &str) -> Trail {
        Trail { follow: Some(id.to_string()), ..Trail::default() }
    }

    /// Reads one line of the log of `router`, in text or JSON form.
    pub fn read(&mut self, router: &str, text: &str) {
        let Some(line) = LogLine::parse(text) else {
            self.unread += u64::from(!text.trim().is_empty());
            return;
        };
        self.keep_if_followed(router, &line);
        match aliases::current_message(&line.message) {
            "request rejected" => self.add_rejection(router, &line),
            "counts" => self.add_counts(&line),
            _ => {}
        }
    }

    fn keep_if_followed(&mut self, router: &str, line: &LogLine<'_>) {
        let Some(id) = &self.follow else {
            return;
        };
        if field(line, "id") == Some(id.as_str()) && self.followed.len() < MAX_LINES {
            let text = line.text.chars().take(MAX_LINE_CHARS).collect();
            self.followed.push(FollowedLine { router: router.to_string(), text });
        }
    }

    fn add_rejection(&mut self, router: &str, line: &LogLine<'_>) {
        let reason = field(line, "reason").unwrap_or(MISSING_FIELD);
        let answer = field(line, "answer").unwrap_or(MISSING_FIELD);
        let key = (aliases::current_reason(reason).to_string(), answer.to_string());
        if self.reasons.len() >= MAX_NAMES && !self.reasons.contains_key(&key) {
            self.unread += 1;
            return;
        }
        *self.reasons.entry(key).or_default() += 1;
        *self.by_router.entry(router.to_string()).or_default() += 1;
    }

    fn add_counts(&mut self, line: &LogLine<'_>) {
        for (name, value) in &line.fields {
            let Ok(number) = value.parse::<u64>() else {
                continue;
            };
            let name = aliases::current_count(name);
            let is_known = self.counts.contains_key(name.as_ref());
            if !name.starts_with(GAUGE_PREFIX) && (self.counts.len() < MAX_NAMES || is_known) {
                *self.counts.entry(name.into_owned()).or_default() += number;
            }
        }
    }

    /// A count summed over the fleet, for each answered request; none if nothing was answered.
    pub fn per_answered(&self, count: &str) -> Option<f64> {
        let answered = *self.counts.get("answered")?;
        let number = self.counts.get(aliases::current_count(count).as_ref()).copied().unwrap_or(0);
        (answered > 0).then(|| number as f64 / answered as f64)
    }

    /// The summary as lines of text.
    pub fn summary(&self) -> Vec<String> {
        let mut lines = self.reasons_summary();
        lines.extend(self.counts_summary());
        lines.push(self.routers_summary());
        if self.unread > 0 {
            lines.push(format!("lines of neither form, skipped: {}", self.unread));
        }
        lines
    }

    fn reasons_summary(&self) -> Vec<String> {
        let rejected: u64 = self.reasons.values().sum();
        let mut lines = vec![format!("rejected: {rejected} over {} routers", self.by_router.len())];
        let mut reasons: Vec<_> = self.reasons.iter().collect();
        reasons.sort_by(|a, b| b.1.cmp(a.1));
        for ((reason, answer), number) in reasons {
            let share = *number as f64 / rejected.max(1) as f64;
            lines.push(format!("  {reason:<18} {answer:<10} {number:>9}  {share:>6.3}"));
        }
        lines
    }

    fn counts_summary(&self) -> Vec<String> {
        let received = self.counts.get("requests_received").copied().unwrap_or(0);
        let mut lines = vec![format!("counts over the fleet: requests_received {received}")];
        for (name, number) in &self.counts {
            let each = self.per_answered(name).map_or(String::from("-"), |each| format!("{each:.3}"));
            lines.push(format!("  {name:<28} {number:>9}  per answered {each}"));
        }
        lines
    }

    fn routers_summary(&self) -> String {
        let mut routers: Vec<_> = self.by_router.iter().collect();
        routers.sort_by(|a, b| b.1.cmp(a.1));
        let top: Vec<String> =
            routers.iter().take(TOP_ROUTERS).map(|(router, number)| format!("{router} {number}")).collect();
        format!("most rejected: {}", top.join(", "))
    }
}

/// The value of a field, which may stand under its old name.
fn field<'a>(line: &'a LogLine<'_>, name: &str) -> Option<&'a str> {
    let mut fields = line.fields.iter();
    fields.find(|(key, _)| aliases::current_field(key) == name).map(|(_, value)| value.as_str())
}

impl TrailCommand {
    /// Reads the logs and prints the summary, or the lines of the id followed.
    ///
    /// # Errors
    ///
    /// If there are no logs, one can't be read, or no line names the id followed.
    pub fn run(self) -> Result<(), TrailError> {
        let files = log_files(&self.logs)?;
        let mut trail = self.id.as_deref().map_or_else(Trail::default, Trail::following);
        for file in &files {
            read_file(&mut trail, file)?;
        }
        match self.id {
            Some(id) => print_followed(trail, id),
            None => {
                trail.summary().iter().for_each(|line| println!("{line}"));
                Ok(())
            }
        }
    }
}

fn print_followed(mut trail: Trail, id: String) -> Result<(), TrailError> {
    if trail.followed.is_empty() {
        return Err(TrailError::UnknownId { id });
    }
    trail.followed.sort_by(|a, b| timestamp(&a.text).cmp(timestamp(&b.text)));
    trail.followed.iter().for_each(|line| println!("{}: {}", line.router, line.text));
    Ok(())
}

/// The files named, and those in the folders named, in the order of their names.
fn log_files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, TrailError> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let listed = std::fs::read_dir(path).map_err(|source| unreadable(path, source))?;
        let mut inside: Vec<PathBuf> = listed.filter_map(|entry| Some(entry.ok()?.path())).collect();
        inside.sort();
        files.extend(inside.into_iter().filter(|file| file.is_file()));
    }
    if files.is_empty() {
        return Err(TrailError::NoLogs);
    }
    Ok(files)
}

/// Reads a file's lines; its name without the ending is the router's.
fn read_file(trail: &mut Trail, file: &Path) -> Result<(), TrailError> {
    let router = file.file_stem().unwrap_or_default().to_string_lossy();
    let opened = std::fs::File::open(file).map_err(|source| unreadable(file, source))?;
    for line in BufReader::new(opened).lines().map_while(Result::ok) {
        trail.read(&router, &line);
    }
    Ok(())
}

fn unreadable(path: &Path, source: io::Error) -> TrailError {
    TrailError::Unreadable { path: path.to_path_buf(), source }
}

#[cfg(test)]
mod tests;
