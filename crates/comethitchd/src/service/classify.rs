//! `classify`: verdicts for statements, one JSON object a line in and out, in the same order.

use crate::service::command_line::load_config;
use crate::state::config::{ConfigError, in_file, random_secret, read_rules};
use argh::FromArgs;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Consistency, DeduplicationScope, Idempotency, RequestClass};
use comethitch_statement::RulesError;
use comethitch_statement::admission::{StatementAdmission, StatementHints, StatementRejection};
use comethitch_statement::rules::{CacheSize, ClassRule, Disagreement, Parsing};
use comethitch_statement::{Catalogue, Dialect, Effect, Rules};
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::path::PathBuf;

/// A longer line, in bytes, is no statement that a router would take: it gets an error, and the rest of it is skipped.
const MAX_LINE_BYTES: usize = 16 << 20;
/// How much of the input is read at once, in bytes.
const READ_BYTES: usize = 64 << 10;
/// All statements are looked at as one client's: there is no budget here.
const ORIGIN: u64 = 0;

/// Judge statements: reads one JSON object a line, {"sql": "…"}, and writes one a line in the same order.
#[derive(FromArgs)]
#[argh(subcommand, name = "classify")]
pub struct Classify {
    /// the language: postgres or tsql; the one that the rules name, or postgres, if not given
    #[argh(option, from_str_fn(parse_dialect))]
    dialect: Option<Dialect>,
    /// the rules for statements, as in deploy/statements.json
    #[argh(option)]
    rules: Option<PathBuf>,
    /// the configuration whose request classes the rules are checked against
    #[argh(option)]
    configuration: Option<PathBuf>,
}

/// Why statements can't be classified.
#[derive(Debug, thiserror::Error)]
pub enum ClassifyError {
    /// The rules or the configuration can't be read, or have a fault.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The rules do not fit the request classes.
    #[error("{rules}: {source}")]
    Rules {
        /// Where the rules are from.
        rules: String,
        /// What is wrong; it begins with the key.
        source: RulesError,
    },
    /// Standard input or output fails.
    #[error("statements can't be read or verdicts written: {0}")]
    Io(#[source] io::Error),
}

/// The parser of an option must have a text for its error.
fn parse_dialect(name: &str) -> Result<Dialect, String> {
    match name {
        "postgres" => Ok(Dialect::Postgres),
        "tsql" => Ok(Dialect::Tsql),
        other => Err(format!("the dialect is postgres or tsql, not {other:?}")),
    }
}

/// One line of the input.
#[derive(Deserialize)]
struct InputLine {
    sql: String,
}

/// One line of the output.
#[derive(Serialize)]
#[serde(untagged)]
enum OutputLine {
    Verdict {
        effect: &'static str,
        replica: bool,
        shape: String,
        #[serde(rename = "group")]
        class: Option<String>,
        hosts: Option<u16>,
        cost: f64,
        why: String,
    },
    Error {
        error: String,
    },
}

impl Classify {
    /// Reads statements from standard input up to its end, and writes their verdicts to standard output.
    ///
    /// # Errors
    ///
    /// If the rules or the configuration have a fault, or standard input or output fails.
    pub fn run(self) -> Result<(), ClassifyError> {
        let mut classifier = self.classifier()?;
        let input = BufReader::with_capacity(READ_BYTES, io::stdin().lock());
        let output = io::BufWriter::new(io::stdout().lock());
        match classify_lines(input, output, |line| classifier.classify(line)) {
            // Whoever reads has seen enough.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
            result => result.map_err(ClassifyError::Io),
        }
    }

    fn classifier(&self) -> Result<LineClassifier, ClassifyError> {
        let given = self.rules.as_deref().map(|path| in_file(path, read_rules)).transpose()?;
        let has_rules = given.is_some();
        let mut rules = given.unwrap_or_else(|| default_rules(self.dialect.unwrap_or(Dialect::Postgres)));
        rules.dialect = self.dialect.unwrap_or(rules.dialect);
        let (classes, class_names) = match &self.configuration {
            Some(path) => {
                let config = load_config(path)?;
                (config.deployment.classes, config.class_names)
            }
            None => groups_of(&rules),
        };
        let admission = StatementAdmission::unlimited(rules, &classes, &class_names, random_secret())
            .map_err(|error| ClassifyError::Rules { rules: self.rules_name(), source: error })?;
        Ok(LineClassifier { admission, class_names, has_rules })
    }

    fn rules_name(&self) -> String {
        self.rules.as_deref().map_or_else(|| "the rules".to_string(), |path| path.display().to_string())
    }
}

/// Rules that classify statements and no more.
fn default_rules(dialect: Dialect) -> Rules {
    let rule = |class: &str, effects: &[Effect]| ClassRule {
        class: class.into(),
        effects: effects.to_vec(),
        tables: None,
        from_ms: None,
        below_ms: None,
    };
    Rules {
        dialect,
        disagreement: Disagreement::Refuse,
        commentless: None,
        classes: vec![
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

/// The request classes that rules name, each as strict as its effects ask for, and their names.
fn groups_of(rules: &Rules) -> (Vec<RequestClass>, Vec<String>) {
    let mut names: Vec<String> = rules.classes.iter().map(|rule| rule.class.clone()).collect();
    names.sort();
    names.dedup();
    let class = |name: &String| {
        let own_rules = rules.classes.iter().filter(|rule| rule.class == *name);
        let only_reads = own_rules.flat_map(|rule| &rule.effects).all(|effect| *effect == Effect::Read);
        RequestClass {
            latency_objective: Duration::from_micros(1),
            timeout: Duration::from_micros(1),
            priority_weight: 1.0,
            idempotency: if only_reads { Idempotency::Idempotent } else { Idempotency::NonIdempotent },
            deduplication_scope: DeduplicationScope::Everywhere,
            deduplication_window: Duration::ZERO,
            consistency: if only_reads { Consistency::Eventual } else { Consistency::Write },
        }
    };
    (names.iter().map(class).collect(), names)
}

/// Classifies one line of the input after the other.
struct LineClassifier {
    admission: StatementAdmission,
    class_names: Vec<String>,
    /// The operator gave rules: verdicts name the request class and the shard.
    has_rules: bool,
}

impl LineClassifier {
    fn classify(&mut self, line: &[u8]) -> OutputLine {
        let input: InputLine = match serde_json::from_slice(line) {
            Ok(input) => input,
            Err(error) => return OutputLine::Error { error: format!("no statement: {error}") },
        };
        let text = input.sql.as_bytes();
        let Some(judged) = self.admission.judge(text, ORIGIN, &|| Timestamp::ZERO) else {
            return OutputLine::Error { error: "the budget for parsing is spent".into() };
        };
        let known = judged.known.clone();
        let key = judged.key;
        let placed = self
            .admission
            .assign(judged, StatementHints::default(), text, &[])
            .map_err(StatementRejection::Refused);
        let verdict = &known.verdict;
        let (class, hosts, why) = match placed {
            Ok(passed) if self.has_rules => {
                let class = self.class_names[passed.assigned.class].clone();
                (Some(class), Some(passed.assigned.shard), verdict.why.to_string())
            }
            Err(StatementRejection::Refused(refusal)) if self.has_rules => (None, None, refusal.to_string()),
            _ => (None, None, verdict.why.to_string()),
        };
        OutputLine::Verdict {
            effect: verdict.effect.name(),
            replica: verdict.effect.on_replica(),
            shape: key.to_string(),
            class,
            hosts,
            cost: (verdict.features.guess() * 100.0).round() / 100.0,
            why,
        }
    }
}

/// Reads lines and writes the output line of each; a blank line is left out.
fn classify_lines<R: Read>(
    mut input: BufReader<R>, mut output: impl Write, mut classify: impl FnMut(&[u8]) -> OutputLine,
) -> io::Result<()> {
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = (&mut input).take(MAX_LINE_BYTES as u64 + 1).read_until(b'\n', &mut line)?;
        if read == 0 {
            return output.flush();
        }
        let classified = if line.len() > MAX_LINE_BYTES && line.last() != Some(&b'\n') {
            input.skip_until(b'\n')?;
            OutputLine::Error { error: format!("a line of more than {MAX_LINE_BYTES} bytes") }
        } else if line.trim_ascii().is_empty() {
            continue;
        } else {
            classify(&line)
        };
        serde_json::to_writer(&mut output, &classified)?;
        output.write_all(b"\n")?;
        // Whoever sends line by line gets each answer at once.
        if input.buffer().is_empty() {
            output.flush()?;
        }
    }
}
