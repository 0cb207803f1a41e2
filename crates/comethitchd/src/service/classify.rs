//! `classify`: verdicts for statements, one JSON object a line in and out, in the same order.

use crate::state::config::{Config, read_rules, secret};
use argh::FromArgs;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{CommandGroup, Consistency, DeduplicationScope, Idempotency};
use comethitch_statement::admission::{StatementAdmission, StatementHints, StatementRejection};
use comethitch_statement::rules::{CacheSize, Disagreement, GroupRule, Parsing};
use comethitch_statement::{Catalogue, Dialect, Effect, Rules};
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::path::{Path, PathBuf};

/// A longer line is no statement that a router would take: it gets an error, and the rest of it is skipped.
const LONGEST_LINE: usize = 16 << 20;

/// Judge statements: reads one JSON object a line, {"sql": "…"}, and writes one a line in the same order.
#[derive(FromArgs)]
#[argh(subcommand, name = "classify")]
pub struct Classify {
    /// the language: postgres or tsql; the one that the rules name, or postgres, if not given
    #[argh(option, from_str_fn(dialect))]
    dialect: Option<Dialect>,
    /// the rules for statements, as in deploy/statements.json
    #[argh(option)]
    rules: Option<PathBuf>,
    /// the configuration whose command groups the rules are checked against
    #[argh(option)]
    configuration: Option<PathBuf>,
}

fn dialect(name: &str) -> Result<Dialect, String> {
    match name {
        "postgres" => Ok(Dialect::Postgres),
        "tsql" => Ok(Dialect::Tsql),
        other => Err(format!("the dialect is postgres or tsql, not {other:?}")),
    }
}

#[derive(Deserialize)]
struct Asked {
    sql: String,
}

/// One line of what is written.
#[derive(Serialize)]
#[serde(untagged)]
enum Line {
    Verdict {
        effect: &'static str,
        replica: bool,
        shape: String,
        group: Option<String>,
        hosts: Option<u16>,
        cost: f64,
        why: String,
    },
    Error {
        error: String,
    },
}

impl Classify {
    pub fn run(self) -> Result<(), String> {
        let (mut desk, names, ruled) = self.desk()?;
        let stdin = BufReader::with_capacity(64 << 10, io::stdin().lock());
        let told = judge_lines(stdin, io::BufWriter::new(io::stdout().lock()), |line| {
            judged(&mut desk, &names, ruled, line)
        });
        match told {
            // Whoever reads has seen enough.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
            told => told.map_err(|e| format!("statements can't be read or verdicts written: {e}")),
        }
    }

    fn desk(&self) -> Result<(StatementAdmission, Vec<String>, bool), String> {
        let rules = self.rules.as_deref().map(load).transpose()?;
        let ruled = rules.is_some();
        let mut rules = rules.unwrap_or_else(|| bare(self.dialect.unwrap_or(Dialect::Postgres)));
        rules.dialect = self.dialect.unwrap_or(rules.dialect);
        let (groups, names) = match &self.configuration {
            Some(path) => {
                let site = Config::load(path, |name| std::env::var(name).ok())?;
                (site.deployment.groups, site.groups)
            }
            None => groups_of(&rules),
        };
        let shown = self.rules.as_deref().unwrap_or(Path::new("the rules")).display().to_string();
        let desk = StatementAdmission::unlimited(rules, &groups, &names, secret())
            .map_err(|e| format!("{shown}: {e}"))?;
        Ok((desk, names, ruled))
    }
}

fn load(path: &Path) -> Result<Rules, String> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown} can't be read: {e}"))?;
    read_rules(&text).map_err(|e| format!("{shown}: {e}"))
}

/// Rules that only judge.
fn bare(dialect: Dialect) -> Rules {
    let rule = |group: &str, effects: &[Effect]| GroupRule {
        group: group.into(),
        effects: effects.to_vec(),
        tables: None,
        from_ms: None,
        below_ms: None,
    };
    Rules {
        dialect,
        disagreement: Disagreement::Refuse,
        commentless: None,
        groups: vec![
            rule("read", &[Effect::Read]),
            rule("write", &[Effect::LockingRead, Effect::Session, Effect::Unknown, Effect::Write]),
        ],
        keys: Vec::new(),
        elsewhere: Some(0),
        catalogue: Catalogue::default(),
        cache: CacheSize::default(),
        parsing: Parsing::default(),
    }
}

/// The command groups that rules name, each as strict as its effects ask for.
fn groups_of(rules: &Rules) -> (Vec<CommandGroup>, Vec<String>) {
    let mut names: Vec<String> = rules.groups.iter().map(|rule| rule.group.clone()).collect();
    names.sort();
    names.dedup();
    let group = |name: &String| {
        let own = rules.groups.iter().filter(|rule| rule.group == *name);
        let reads = own.flat_map(|rule| &rule.effects).all(|effect| *effect == Effect::Read);
        CommandGroup {
            latency_objective: Duration::from_micros(1),
            timeout: Duration::from_micros(1),
            priority_weight: 1.0,
            idempotency: if reads { Idempotency::Idempotent } else { Idempotency::NonIdempotent },
            deduplication_scope: DeduplicationScope::Everywhere,
            deduplication_window: Duration::ZERO,
            consistency: if reads { Consistency::Eventual } else { Consistency::Write },
        }
    };
    (names.iter().map(group).collect(), names)
}

fn judged(desk: &mut StatementAdmission, names: &[String], ruled: bool, line: &[u8]) -> Line {
    let asked: Asked = match serde_json::from_slice(line) {
        Ok(asked) => asked,
        Err(why) => return Line::Error { error: format!("no statement: {why}") },
    };
    let text = asked.sql.as_bytes();
    let Some(found) = desk.judge(text, 0, &|| Timestamp::ZERO) else {
        return Line::Error { error: "the budget for parsing is spent".into() };
    };
    let (known, key) = (found.known.clone(), found.key);
    let placed =
        desk.assign(found, StatementHints::default(), text, &[]).map_err(StatementRejection::Refused);
    let verdict = &known.verdict;
    let (group, hosts, why) = match placed {
        Ok(passed) if ruled => {
            (Some(names[passed.assigned.group].clone()), Some(passed.assigned.shard), verdict.why.to_string())
        }
        Err(StatementRejection::Refused(refusal)) if ruled => (None, None, refusal.to_string()),
        _ => (None, None, verdict.why.to_string()),
    };
    Line::Verdict {
        effect: verdict.effect.name(),
        replica: verdict.effect.on_replica(),
        shape: key.to_string(),
        group,
        hosts,
        cost: (verdict.features.guess() * 100.0).round() / 100.0,
        why,
    }
}

/// Reads lines and writes what is told of each; a blank line is left out.
fn judge_lines<R: Read>(
    mut lines: BufReader<R>, mut out: impl Write, mut judge: impl FnMut(&[u8]) -> Line,
) -> io::Result<()> {
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = (&mut lines).take(LONGEST_LINE as u64 + 1).read_until(b'\n', &mut line)?;
        if read == 0 {
            return out.flush();
        }
        let told = if line.len() > LONGEST_LINE && line.last() != Some(&b'\n') {
            lines.skip_until(b'\n')?;
            Line::Error { error: format!("a line of more than {LONGEST_LINE} bytes") }
        } else if line.trim_ascii().is_empty() {
            continue;
        } else {
            judge(&line)
        };
        serde_json::to_writer(&mut out, &told)?;
        out.write_all(b"\n")?;
        // Whoever asks line by line gets each answer at once.
        if lines.buffer().is_empty() {
            out.flush()?;
        }
    }
}
