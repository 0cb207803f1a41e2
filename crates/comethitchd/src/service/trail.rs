//! `trail`: what many routers' logs say together. Sums, over every log given, why commands were given up and
//! what each answered command cost in probes and connections; or follows one request's id through them all.
//!
//! The reading is a pure fold over lines ([`Trail::read`]), of either form that `--log-form` writes; the
//! command around it only opens files. A line that is neither form is skipped and counted, never fatal: a log
//! cut off by a crash still adds up.
//!
//! ```
//! use comethitchd::service::trail::Trail;
//! let mut trail = Trail::default();
//! trail.read("n1", "0.5 2026-12-01T20:00:00Z INFO comethitchd::stages::route: route.rs:9 given up id=7 why=time_up answer=throttled");
//! trail.read("n1", "9.0 2026-12-01T20:00:09Z INFO comethitchd::state::router_state: :0 counts taken=4 answered=3 probes=6");
//! assert_eq!(trail.reasons[&("time_up".to_string(), "throttled".to_string())], 1);
//! assert_eq!(trail.per_answered("probes"), Some(2.0));
//! ```

use argh::FromArgs;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

/// The longest line kept for one id; past it lines are cut, so that a runaway log can't fill the memory.
const LONGEST_KEPT: usize = 4096;
/// Lines kept for one id: a request that is tried again and again keeps its first ones.
const MOST_KEPT: usize = 10_000;
/// Reasons and count fields told apart: past these, lines with new names are skipped and counted as unread, so
/// that a log of nonsense can't grow the sums without bound.
const MOST_NAMES: usize = 1024;

/// Sum up many routers' logs: why commands were given up, and what an answer cost; or follow one id.
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

/// What was read so far: sums over all routers, and by router.
#[derive(Debug, Default)]
pub struct Trail {
    /// Commands given up, by the check (`why`) and the final answer.
    pub reasons: BTreeMap<(String, String), u64>,
    /// Each field of the `counts` lines, summed over every line of every router.
    pub counts: BTreeMap<String, u64>,
    /// Commands given up, by router (the name that the log was read under).
    pub by_router: BTreeMap<String, u64>,
    /// The lines that name the id followed, with their router, where one is followed.
    pub followed: Vec<(String, String)>,
    /// Lines that were neither form.
    pub unread: u64,
    follow: Option<String>,
}

/// One line's message and fields.
struct Line<'a> {
    message: String,
    fields: Vec<(String, String)>,
    text: &'a str,
}

impl Trail {
    /// A trail that also keeps every line naming this id.
    pub fn following(id: &str) -> Trail {
        Trail { follow: Some(id.to_string()), ..Trail::default() }
    }

    /// Reads one line of the log of `router`, in text or JSON form.
    pub fn read(&mut self, router: &str, text: &str) {
        let Some(line) = parse(text) else {
            self.unread += u64::from(!text.trim().is_empty());
            return;
        };
        let field =
            |name: &str| line.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str());
        if let Some(id) = &self.follow
            && field("id") == Some(id.as_str())
            && self.followed.len() < MOST_KEPT
        {
            let kept: String = line.text.chars().take(LONGEST_KEPT).collect();
            self.followed.push((router.to_string(), kept));
        }
        match line.message.as_str() {
            "given up" => {
                let (why, answer) = (field("why").unwrap_or("untold"), field("answer").unwrap_or("untold"));
                let key = (why.to_string(), answer.to_string());
                if self.reasons.len() >= MOST_NAMES && !self.reasons.contains_key(&key) {
                    self.unread += 1;
                    return;
                }
                *self.reasons.entry(key).or_default() += 1;
                *self.by_router.entry(router.to_string()).or_default() += 1;
            }
            "counts" => {
                for (key, value) in &line.fields {
                    if let Ok(number) = value.parse::<u64>()
                        && !key.starts_with("now_")
                        && (self.counts.len() < MOST_NAMES || self.counts.contains_key(key))
                    {
                        *self.counts.entry(key.clone()).or_default() += number;
                    }
                }
            }
            _ => {}
        }
    }

    /// A count summed over the fleet, for each answered command; none if nothing was answered.
    pub fn per_answered(&self, field: &str) -> Option<f64> {
        let answered = *self.counts.get("answered")?;
        (answered > 0).then(|| self.counts.get(field).copied().unwrap_or(0) as f64 / answered as f64)
    }

    /// The summary as lines of text.
    pub fn summary(&self) -> Vec<String> {
        let mut out = Vec::new();
        let given: u64 = self.reasons.values().sum();
        out.push(format!("given up: {given} over {} routers", self.by_router.len()));
        let mut reasons: Vec<_> = self.reasons.iter().collect();
        reasons.sort_by(|a, b| b.1.cmp(a.1));
        for ((why, answer), number) in reasons {
            let share = *number as f64 / given.max(1) as f64;
            out.push(format!("  {why:<18} {answer:<10} {number:>9}  {share:>6.3}"));
        }
        let taken = self.counts.get("taken").copied().unwrap_or(0);
        out.push(format!("counts over the fleet: taken {taken}"));
        for (key, number) in &self.counts {
            let each = self.per_answered(key).map_or(String::from("-"), |each| format!("{each:.3}"));
            out.push(format!("  {key:<28} {number:>9}  per answered {each}"));
        }
        let mut busiest: Vec<_> = self.by_router.iter().collect();
        busiest.sort_by(|a, b| b.1.cmp(a.1));
        let top: Vec<String> = busiest.iter().take(5).map(|(router, n)| format!("{router} {n}")).collect();
        out.push(format!("most given up: {}", top.join(", ")));
        if self.unread > 0 {
            out.push(format!("lines of neither form, skipped: {}", self.unread));
        }
        out
    }
}

/// A line's time of RFC 3339 in UTC, which orders as text; empty where it has none. The bench's own clock
/// that may stand before it is no such time: `10.2` would come before `9.8`.
fn stamp(line: &str) -> &str {
    if let Some(at) = line.find("\"timestamp\":\"") {
        let rest = &line[at + 13..];
        return rest.split('"').next().unwrap_or_default();
    }
    let rfc = |word: &&str| word.len() >= 20 && word.as_bytes()[4] == b'-' && word.as_bytes()[10] == b'T';
    line.split_whitespace().find(rfc).unwrap_or_default()
}

/// A line of the text form: `[bench time] time LEVEL target: file:line message key=value ...`, or a JSON
/// object with `message` and `kvs`.
fn parse(text: &str) -> Option<Line<'_>> {
    let text = text.trim_end();
    if let Some(start) = text.find('{')
        && let Ok(value) = serde_json::from_str::<serde_json::Value>(&text[start..])
    {
        let message = value.get("message")?.as_str()?.to_string();
        let kvs = value.get("kvs").and_then(|kvs| kvs.as_object());
        let shown = |v: &serde_json::Value| v.as_str().map_or_else(|| v.to_string(), str::to_string);
        let fields = kvs.map_or(Vec::new(), |kvs| kvs.iter().map(|(k, v)| (k.clone(), shown(v))).collect());
        return Some(Line { message, fields, text });
    }
    // The message starts after the source, the first word that ends in a colon past the target.
    let words: Vec<&str> = text.split_whitespace().collect();
    let level = words.iter().position(|w| matches!(*w, "ERROR" | "WARN" | "INFO" | "DEBUG" | "TRACE"))?;
    let rest = words.get(level + 3..)?;
    let first_field = rest.iter().position(|w| w.contains('=')).unwrap_or(rest.len());
    let message = rest[..first_field].join(" ");
    let fields = rest[first_field..]
        .iter()
        .filter_map(|w| w.split_once('='))
        .map(|(k, v)| (k.to_string(), v.trim_matches('"').to_string()))
        .collect();
    Some(Line { message, fields, text })
}

impl TrailCommand {
    pub fn run(self) -> Result<(), String> {
        let mut files = Vec::new();
        for path in &self.logs {
            if path.is_dir() {
                let listed = std::fs::read_dir(path).map_err(|e| format!("{}: {e}", path.display()))?;
                let mut inside: Vec<PathBuf> = listed.filter_map(|f| f.ok().map(|f| f.path())).collect();
                inside.sort();
                files.extend(inside.into_iter().filter(|f| f.is_file()));
            } else {
                files.push(path.clone());
            }
        }
        if files.is_empty() {
            return Err("no logs given: name files or folders of them".into());
        }
        let mut trail = self.id.as_deref().map_or_else(Trail::default, Trail::following);
        for file in &files {
            let router = file.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
            let opened = std::fs::File::open(file).map_err(|e| format!("{}: {e}", file.display()))?;
            for line in BufReader::new(opened).lines().map_while(Result::ok) {
                trail.read(&router, &line);
            }
        }
        match &self.id {
            Some(id) if trail.followed.is_empty() => return Err(format!("no line names id={id}")),
            Some(_) => {
                trail.followed.sort_by(|a, b| stamp(&a.1).cmp(stamp(&b.1)));
                trail.followed.iter().for_each(|(router, line)| println!("{router}: {line}"));
            }
            None => trail.summary().iter().for_each(|line| println!("{line}")),
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
