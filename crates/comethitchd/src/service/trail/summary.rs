//! Summarizes the logs of many routers.

use crate::service::trail::aliases;
use crate::service::trail::log_line::LogLine;
use std::collections::BTreeMap;

/// Maximum length, in characters, of a line collected for the followed id; longer lines are truncated, so
/// that a runaway log can't fill the memory.
const MAX_LINE_CHARS: usize = 4096;
/// Maximum number of lines collected for the followed id. Of a request that is retried again and again, the
/// first lines are kept and later ones are dropped.
const MAX_FOLLOWED_LINES: usize = 10_000;
/// Maximum number of distinct pairs of reason and answer, and of distinct counts, so that a corrupt log can't
/// use unbounded memory. Further names are ignored; rejections with further reasons are counted as skipped
/// lines.
pub(super) const MAX_NAMES: usize = 1024;
/// Maximum number of routers listed in the summary: those with the most rejections.
const MAX_LISTED_ROUTERS: usize = 5;
/// Prefix of the counts that are gauges, which are not summed.
const GAUGE_PREFIX: &str = "now_";
/// Value used for a field that a line lacks.
const MISSING_FIELD: &str = "unknown";

/// A line that contains the followed id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowedLine {
    /// The router that logged the line.
    pub router: String,
    /// The text of the line.
    pub text: String,
}

/// A summary of the logs of many routers.
///
/// Both formats of `--log-form` and the names used by earlier versions are accepted. A line in neither format
/// is counted as skipped rather than reported as an error, so that a log truncated by a crash can be
/// summarized.
#[derive(Debug, Default)]
pub struct LogSummary {
    /// Number of rejected requests by reason and final answer.
    pub rejections: BTreeMap<(String, String), u64>,
    /// Sums of the fields of the `counts` lines of all routers, by name.
    pub counts: BTreeMap<String, u64>,
    /// Number of rejected requests by the router name passed to [`LogSummary::add_line`].
    pub rejections_by_router: BTreeMap<String, u64>,
    /// The lines that contain the followed id, if there is one.
    pub followed_lines: Vec<FollowedLine>,
    /// Number of lines that are in neither format, or whose reason exceeds the maximum number of distinct
    /// ones.
    pub skipped_lines: u64,
    followed_id: Option<String>,
}

impl LogSummary {
    /// Creates an empty summary that also collects the lines with this request id.
    pub fn following(id: &str) -> LogSummary {
        LogSummary { followed_id: Some(id.to_string()), ..LogSummary::default() }
    }

    /// Adds one line of a router's log.
    pub fn add_line(&mut self, router: &str, text: &str) {
        let Some(line) = LogLine::parse(text) else {
            self.skipped_lines += u64::from(!text.trim().is_empty());
            return;
        };
        self.collect_if_followed(router, &line);
        match aliases::current_message(&line.message) {
            "request rejected" => self.add_rejection(router, &line),
            "counts" => self.add_counts(&line),
            _ => {}
        }
    }

    fn collect_if_followed(&mut self, router: &str, line: &LogLine<'_>) {
        let Some(id) = &self.followed_id else {
            return;
        };
        if field(line, "id") == Some(id.as_str()) && self.followed_lines.len() < MAX_FOLLOWED_LINES {
            let text = line.text.chars().take(MAX_LINE_CHARS).collect();
            self.followed_lines.push(FollowedLine { router: router.to_string(), text });
        }
    }

    fn add_rejection(&mut self, router: &str, line: &LogLine<'_>) {
        let reason = field(line, "reason").unwrap_or(MISSING_FIELD);
        let answer = field(line, "answer").unwrap_or(MISSING_FIELD);
        let key = (aliases::current_reason(reason).to_string(), answer.to_string());
        if self.rejections.len() >= MAX_NAMES && !self.rejections.contains_key(&key) {
            self.skipped_lines += 1;
            return;
        }
        *self.rejections.entry(key).or_default() += 1;
        *self.rejections_by_router.entry(router.to_string()).or_default() += 1;
    }

    fn add_counts(&mut self, line: &LogLine<'_>) {
        for (name, value) in &line.fields {
            let Ok(count) = value.parse::<u64>() else {
                continue;
            };
            let name = aliases::current_count(name);
            let is_known = self.counts.contains_key(name.as_ref());
            if !name.starts_with(GAUGE_PREFIX) && (self.counts.len() < MAX_NAMES || is_known) {
                *self.counts.entry(name.into_owned()).or_default() += count;
            }
        }
    }

    /// Returns a count divided by the number of answered requests, or `None` if no request was answered.
    pub fn per_answered(&self, count: &str) -> Option<f64> {
        let answered = *self.counts.get("answered")?;
        let count = self.counts.get(aliases::current_count(count).as_ref()).copied().unwrap_or(0);
        (answered > 0).then(|| count as f64 / answered as f64)
    }

    /// Returns the summary as lines of text.
    pub fn to_lines(&self) -> Vec<String> {
        let mut lines = self.rejection_lines();
        lines.extend(self.count_lines());
        lines.push(self.routers_line());
        if self.skipped_lines > 0 {
            lines.push(format!("skipped lines in neither log format: {}", self.skipped_lines));
        }
        lines
    }

    fn rejection_lines(&self) -> Vec<String> {
        let rejected: u64 = self.rejections.values().sum();
        let mut lines =
            vec![format!("rejected: {rejected} over {} routers", self.rejections_by_router.len())];
        let mut rejections: Vec<_> = self.rejections.iter().collect();
        rejections.sort_by(|a, b| b.1.cmp(a.1));
        for ((reason, answer), count) in rejections {
            let fraction = *count as f64 / rejected.max(1) as f64;
            lines.push(format!("  {reason:<18} {answer:<10} {count:>9}  {fraction:>6.3}"));
        }
        lines
    }

    fn count_lines(&self) -> Vec<String> {
        let received = self.counts.get("requests_received").copied().unwrap_or(0);
        let mut lines = vec![format!("counts over the fleet: requests_received {received}")];
        for (name, count) in &self.counts {
            let per_answered =
                self.per_answered(name).map_or(String::from("-"), |ratio| format!("{ratio:.3}"));
            lines.push(format!("  {name:<28} {count:>9}  per answered {per_answered}"));
        }
        lines
    }

    fn routers_line(&self) -> String {
        let mut routers: Vec<_> = self.rejections_by_router.iter().collect();
        routers.sort_by(|a, b| b.1.cmp(a.1));
        let top: Vec<String> = routers
            .iter()
            .take(MAX_LISTED_ROUTERS)
            .map(|(router, number)| format!("{router} {number}"))
            .collect();
        format!("most rejected: {}", top.join(", "))
    }
}

/// Returns the value of a field by its current name. The line may use the name of an earlier version.
fn field<'a>(line: &'a LogLine<'_>, name: &str) -> Option<&'a str> {
    let mut fields = line.fields.iter();
    fields.find(|(key, _)| aliases::current_field(key) == name).map(|(_, value)| value.as_str())
}
