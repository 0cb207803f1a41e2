//! The command `classify`: reads statements as JSON lines, and writes the verdict of each as a JSON line, in
//! the same order.

mod default_rules;
mod json_lines;
mod line_classifier;

use crate::service::command_line::load_config;
use crate::state::config::{ConfigError, in_file, random_secret, read_rules};
use argh::FromArgs;
use comethitch_statement::Dialect;
use comethitch_statement::RulesError;
use comethitch_statement::admission::StatementAdmission;
use default_rules::{classes_of, default_rules};
use json_lines::classify_lines;
use line_classifier::LineClassifier;
use std::io::{self, BufReader, BufWriter};
use std::path::PathBuf;

/// Size of the buffer for standard input.
const INPUT_BUFFER_BYTES: usize = 64 << 10;

/// Classify statements: reads one JSON object per line, {"sql": "…"}, and writes one per line in the same
/// order.
#[derive(FromArgs)]
#[argh(subcommand, name = "classify")]
pub struct Classify {
    /// the dialect: postgres or tsql; by default that of the rules, or postgres without rules
    #[argh(option, from_str_fn(parse_dialect))]
    dialect: Option<Dialect>,
    /// the statement rules, as in deploy/statements.json
    #[argh(option)]
    rules: Option<PathBuf>,
    /// the configuration whose request classes the rules are checked against
    #[argh(option)]
    configuration: Option<PathBuf>,
}

/// Why statements can't be classified.
#[derive(Debug, thiserror::Error)]
pub enum ClassifyError {
    /// The rules or the configuration can't be read or are invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The rules don't fit the request classes.
    #[error("{rules}: {source}")]
    Rules {
        /// The file of the rules.
        rules: String,
        /// The error, which begins with the key.
        source: RulesError,
    },
    /// Standard input can't be read, or standard output can't be written.
    #[error("statements can't be read or verdicts written: {0}")]
    Io(#[source] io::Error),
}

/// Parses the option `--dialect`; `argh` requires a text as the error.
fn parse_dialect(name: &str) -> Result<Dialect, String> {
    match name {
        "postgres" => Ok(Dialect::Postgres),
        "tsql" => Ok(Dialect::Tsql),
        other => Err(format!("the dialect is postgres or tsql, not {other:?}")),
    }
}

impl Classify {
    /// Reads statements from standard input until its end, and writes their verdicts to standard output.
    ///
    /// # Errors
    ///
    /// If the rules or the configuration are invalid, or standard input or output fails.
    pub fn run(self) -> Result<(), ClassifyError> {
        let mut classifier = self.classifier()?;
        let input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
        let output = BufWriter::new(io::stdout().lock());
        match classify_lines(input, output, |line| classifier.classify(line)) {
            // The reader, as `head`, closes the pipe when it needs no more.
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
            None => classes_of(&rules),
        };
        let admission = StatementAdmission::unlimited(rules, &classes, &class_names, random_secret())
            .map_err(|source| ClassifyError::Rules { rules: self.rules_name(), source })?;
        Ok(LineClassifier::new(admission, class_names, has_rules))
    }

    fn rules_name(&self) -> String {
        self.rules.as_deref().map_or_else(|| "the rules".to_string(), |path| path.display().to_string())
    }
}
