//! The command `classify`: reads statements as JSON lines, and writes the verdict of each as a JSON line, in
//! the same order.

mod default_rules;
mod json_lines;
mod line_classifier;

use crate::service::command_line::load_config;
use crate::state::config::{ConfigError, parse_file, random_secret, read_rules};
use argh::FromArgs;
use comethitch_statement::Dialect;
use comethitch_statement::RulesError;
use comethitch_statement::admission::StatementAdmission;
use default_rules::{default_rules, request_classes};
use json_lines::classify_lines;
use line_classifier::LineClassifier;
use std::io::{self, BufReader, BufWriter};
use std::path::PathBuf;

/// Size of the buffer for standard input.
const INPUT_BUFFER_BYTES: usize = 64 << 10;

/// Classify statements: reads one JSON object with the key "sql" per line, and writes one verdict per line, in
/// the same order.
#[derive(FromArgs)]
#[argh(subcommand, name = "classify")]
pub struct Classify {
    /// the SQL dialect: postgres or tsql; by default the dialect of the rules, or postgres without rules
    #[argh(option, from_str_fn(parse_dialect))]
    dialect: Option<Dialect>,
    /// the file of statement rules, in the format of deploy/statements.json
    #[argh(option)]
    rules: Option<PathBuf>,
    /// the configuration file with the request classes that the rules are checked against
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
        /// The error, whose text begins with the key.
        source: RulesError,
    },
    /// Standard input can't be read, or standard output can't be written.
    #[error("reading statements or writing verdicts failed: {0}")]
    Io(#[source] io::Error),
}

/// Parses the option `--dialect`. The error is a `String` because `argh` requires it.
fn parse_dialect(name: &str) -> Result<Dialect, String> {
    match name {
        "postgres" => Ok(Dialect::Postgres),
        "tsql" => Ok(Dialect::Tsql),
        other => Err(format!("unknown dialect {other:?}: must be postgres or tsql")),
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
            // A reader such as `head` closes the pipe once it has read enough.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
            result => result.map_err(ClassifyError::Io),
        }
    }

    fn classifier(&self) -> Result<LineClassifier, ClassifyError> {
        let rules_from_file = self.rules.as_deref().map(|path| parse_file(path, read_rules)).transpose()?;
        let has_rules = rules_from_file.is_some();
        let mut rules =
            rules_from_file.unwrap_or_else(|| default_rules(self.dialect.unwrap_or(Dialect::Postgres)));
        rules.dialect = self.dialect.unwrap_or(rules.dialect);
        let (classes, class_names) = match &self.configuration {
            Some(path) => {
                let config = load_config(path)?;
                (config.deployment.classes, config.class_names)
            }
            None => request_classes(&rules),
        };
        let admission =
            StatementAdmission::without_parsing_budget(rules, &classes, &class_names, random_secret())
                .map_err(|source| ClassifyError::Rules { rules: self.rules_name(), source })?;
        Ok(LineClassifier::new(admission, class_names, has_rules))
    }

    fn rules_name(&self) -> String {
        self.rules.as_deref().map_or_else(|| "default rules".to_string(), |path| path.display().to_string())
    }
}
