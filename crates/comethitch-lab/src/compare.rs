//! Two trials held against one another over the same seeds, in pairs.

use crate::ledger::Report;
use crate::trial::Trial;

/// A column's name and how a report tells it.
type Column = (&'static str, fn(&Report) -> f64);

/// What is compared.
const COLUMNS: [Column; 7] = [
    ("in_time", |r| r.in_time),
    ("throttled", |r| r.throttled),
    ("p99_ms", |r| r.p99_ms),
    ("probes", |r| r.probes),
    ("connections", |r| r.connections),
    ("variation", |r| r.variation),
    ("breaks", |r| r.breaks as f64),
];

/// One column: the means of both, and the mean of the differences with its standard error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    pub column: &'static str,
    pub one: f64,
    pub other: f64,
    pub difference: f64,
    pub error: f64,
}

/// Plays both trials on each seed with `play`, and pairs them seed by seed.
///
/// # Errors
/// Fewer than two seeds, or what a trial's play says.
pub fn compare(
    one: &Trial, other: &Trial, seeds: &[u64], play: &mut dyn FnMut(&Trial) -> Result<Report, String>,
) -> Result<Vec<Row>, String> {
    if seeds.len() < 2 {
        return Err("at least two seeds are needed to tell a difference from chance".into());
    }
    let mut pairs = Vec::with_capacity(seeds.len());
    for seed in seeds {
        let seeded = |trial: &Trial| Trial { seed: *seed, ..trial.clone() };
        pairs.push((play(&seeded(one))?, play(&seeded(other))?));
    }
    let count = pairs.len() as f64;
    let row = |(column, of): Column| {
        let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / count;
        let one = mean(&mut pairs.iter().map(|(one, _)| of(one)));
        let other = mean(&mut pairs.iter().map(|(_, other)| of(other)));
        let by_pair = || pairs.iter().map(|(one, other)| of(other) - of(one));
        let difference = mean(&mut by_pair());
        let variance = by_pair().map(|d| (d - difference).powi(2)).sum::<f64>() / (count - 1.0);
        Row { column, one, other, difference, error: (variance / count).sqrt() }
    };
    Ok(COLUMNS.into_iter().map(row).collect())
}

#[cfg(test)]
mod tests;
