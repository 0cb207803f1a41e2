//! Compares two trials in pairs of runs with the same seed.

use crate::error::RunError;
use crate::ledger::Report;
use crate::trial::Trial;

/// A figure of a report, by the name of its CSV column.
struct Column {
    name: &'static str,
    value: fn(&Report) -> f64,
}

/// The compared columns.
const COLUMNS: [Column; 7] = [
    Column { name: "in_time", value: |report| report.in_time },
    Column { name: "throttled", value: |report| report.throttled },
    Column { name: "p99_ms", value: |report| report.p99_ms },
    Column { name: "probes", value: |report| report.health_checks },
    Column { name: "connections", value: |report| report.connections },
    Column { name: "variation", value: |report| report.variation },
    Column { name: "breaks", value: |report| report.violation_count as f64 },
];

/// The comparison of one column.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// Name of the column.
    pub column: &'static str,
    /// Mean of the first trial.
    pub first: f64,
    /// Mean of the second trial.
    pub second: f64,
    /// Mean of the differences between the second and the first trial for each seed.
    pub difference: f64,
    /// Standard error of the mean difference.
    pub standard_error: f64,
}

/// Reports of both trials with one seed.
struct Pair {
    first: Report,
    second: Report,
}

/// Runs both trials with each seed using `run`, and compares their reports.
///
/// # Errors
///
/// Returns an error if there are fewer than two seeds, or if `run` fails.
pub fn compare(
    first: &Trial, second: &Trial, seeds: &[u64], run: &mut dyn FnMut(&Trial) -> Result<Report, RunError>,
) -> Result<Vec<Row>, RunError> {
    if seeds.len() < 2 {
        return Err(RunError::TooFewSeeds);
    }
    let mut pairs = Vec::with_capacity(seeds.len());
    for seed in seeds {
        let seeded = |trial: &Trial| Trial { seed: *seed, ..trial.clone() };
        pairs.push(Pair { first: run(&seeded(first))?, second: run(&seeded(second))? });
    }
    Ok(COLUMNS.iter().map(|column| row(column, &pairs)).collect())
}

fn row(column: &Column, pairs: &[Pair]) -> Row {
    let value = column.value;
    let first: Vec<f64> = pairs.iter().map(|pair| value(&pair.first)).collect();
    let second: Vec<f64> = pairs.iter().map(|pair| value(&pair.second)).collect();
    let differences: Vec<f64> = pairs.iter().map(|pair| value(&pair.second) - value(&pair.first)).collect();
    Row {
        column: column.name,
        first: mean(&first),
        second: mean(&second),
        difference: mean(&differences),
        standard_error: standard_error(&differences),
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Returns the standard error of the mean of at least two values.
fn standard_error(values: &[f64]) -> f64 {
    let count = values.len() as f64;
    let mean = mean(values);
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
    (variance / count).sqrt()
}

#[cfg(test)]
mod tests;
