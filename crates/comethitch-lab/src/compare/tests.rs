//! Tests of `compare`.

use super::*;

#[test]
fn differences_between_seeds_cancel_out_in_pairs() {
    let (first, second) = (Trial::default(), Trial { load: 0.7, ..Trial::default() });
    let mut run = |trial: &Trial| {
        let in_time = 0.9 - trial.seed as f64 * 0.1 - if trial.load > 0.6 { 0.05 } else { 0.0 };
        Ok(Report { in_time, ..Report::default() })
    };
    let rows = compare(&first, &second, &[1, 2, 3], &mut run).unwrap();
    let row = rows.iter().find(|row| row.column == "in_time").unwrap();
    assert!((row.difference + 0.05).abs() < 1e-9 && row.standard_error < 1e-9, "{row:?}");
    assert!(compare(&first, &second, &[1], &mut run).unwrap_err().to_string().contains("two seeds"));
}
