//! A paired comparison of two trials over the same seeds.

use crate::error::PlayError;
use crate::ledger::Report;
use crate::trial::Trial;

/// A figure of a report.
struct Column {
    name: &'static str,
    value: fn(&Report) -> f64,
}

/// What is compared.
const COLUMNS: [Column; 7] = [
    Column { name: "in_time", value: |report| report.in_time },
    Column { name: "throttled", value: |report| report.throttled },
    Column { name: "p99_ms", value: |report| report.p99_ms },
    Column { name: "probes", value: |report| report.probes },
    Column { name: "connections", value: |report| report.connections },
    Column { name: "variation", value: |report| report.variation },
    Column { name: "breaks", value: |report| report.breaks as f64 },
];

/// The comparison of one column.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// The column's name.
    pub column: &'static str,
    /// The mean over the first trial's plays.
    pub one: f64,
    /// The mean over the second trial's plays.
    pub other: f64,
    /// The mean of the second's value less the first's, seed by seed.
    pub difference: f64,
    /// The standard error of that mean.
    pub error: f64,
}

/// The reports of both trials on one seed.
struct Pair {
    one: Report,
    other: Report,
}

/// Plays both trials on each seed with `play`, and compares them seed by seed.
///
/// # Errors
/// Fewer than two seeds, or what `play` returns.
pub fn compare(
    one: &Trial, other: &Trial, seeds: &[u64], play: &mut dyn FnMut(&Trial) -> Result<Report, PlayError>,
) -> Result<Vec<Row>, PlayError> {
    if seeds.len() < 2 {
        return Err(PlayError::TooFewSeeds);
    }
    let mut pairs = Vec::with_capacity(seeds.len());
    for seed in seeds {
        let seeded = |trial: &Trial| Trial { seed: *seed, ..trial.clone() };
        pairs.push(Pair { one: play(&seeded(one))?, other: play(&seeded(other))? });
    }
    Ok(COLUMNS.iter().map(|column| row(column, &pairs)).collect())
}

fn row(column: &Column, pairs: &[Pair]) -> Row {
    let value = column.value;
    let ones: Vec<f64> = pairs.iter().map(|pair| value(&pair.one)).collect();
    let others: Vec<f64> = pairs.iter().map(|pair| value(&pair.other)).collect();
    let differences: Vec<f64> = pairs.iter().map(|pair| value(&pair.other) - value(&pair.one)).collect();
    Row {
        column: column.name,
        one: mean(&ones),
        other: mean(&others),
        difference: mean(&differences),
        error: standard_error(&differences),
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// The standard error of the mean of at least two values.
fn standard_error(values: &[f64]) -> f64 {
    let count = values.len() as f64;
    let mean = mean(values);
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
    (variance / count).sqrt()
}

#[cfg(test)]
mod tests;
