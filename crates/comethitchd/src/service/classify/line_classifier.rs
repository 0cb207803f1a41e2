//! Classifies the statement of one input line.

use comethitch_policy::time::Timestamp;
use comethitch_statement::admission::{StatementAdmission, StatementHints};
use serde::{Deserialize, Serialize};

/// The client id that all statements are attributed to. The parsing budget is unlimited here.
const CLIENT_ID: u64 = 0;

/// A line of the input.
#[derive(Deserialize)]
struct InputLine {
    sql: String,
}

/// A line of the output.
#[derive(Serialize)]
#[serde(untagged)]
pub(super) enum OutputLine {
    /// The verdict on a statement.
    Verdict {
        effect: &'static str,
        replica: bool,
        shape: String,
        #[serde(rename = "group")]
        class: Option<String>,
        #[serde(rename = "hosts")]
        shard: Option<u16>,
        cost: f64,
        why: String,
    },
    /// The reason why an input line has no verdict.
    Error { error: String },
}

/// Classifies the statements of input lines.
pub(super) struct LineClassifier {
    admission: StatementAdmission,
    class_names: Vec<String>,
    /// Whether the operator passed rules. If so, verdicts contain the request class and the shard.
    has_rules: bool,
}

impl LineClassifier {
    /// Creates a classifier. `has_rules` states whether the operator passed rules.
    pub(super) fn new(
        admission: StatementAdmission, class_names: Vec<String>, has_rules: bool,
    ) -> LineClassifier {
        LineClassifier { admission, class_names, has_rules }
    }

    /// Classifies the statement of a line.
    pub(super) fn classify(&mut self, line: &[u8]) -> OutputLine {
        let input: InputLine = match serde_json::from_slice(line) {
            Ok(input) => input,
            Err(error) => {
                return OutputLine::Error {
                    error: format!("line is not a JSON object with a string under the key sql: {error}"),
                };
            }
        };
        let text = input.sql.as_bytes();
        let Some(classified) = self.admission.classify(text, CLIENT_ID, &|| Timestamp::ZERO) else {
            return OutputLine::Error { error: "the budget for parsing is spent".into() };
        };
        let shape = classified.shape.clone();
        let key = classified.key;
        let admitted = self.admission.assign(classified, StatementHints::default(), text, &[]);
        let verdict = &shape.verdict;
        let (class, shard, why) = match admitted {
            Ok(admitted) if self.has_rules => {
                let class = self.class_names[admitted.assignment.class].clone();
                (Some(class), Some(admitted.assignment.shard), verdict.reason.to_string())
            }
            Err(error) if self.has_rules => (None, None, error.to_string()),
            _ => (None, None, verdict.reason.to_string()),
        };
        OutputLine::Verdict {
            effect: verdict.effect.name(),
            replica: verdict.effect.may_run_on_replica(),
            shape: key.to_string(),
            class,
            shard,
            cost: (verdict.features.estimated_lookups() * 100.0).round() / 100.0,
            why,
        }
    }
}
