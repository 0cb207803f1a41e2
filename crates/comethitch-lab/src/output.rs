//! Prints reports as CSV, and draws charts of them.

use comethitch_lab::chart::{self, ChartError, Labels};
use comethitch_lab::ledger::{Report, Second};
use comethitch_lab::trial::Trial;

/// Maximum decrease of the in-time fraction, compared with the time before a fault, at which a fleet counts
/// as recovered.
const RECOVERY_TOLERANCE: f64 = 0.02;

/// Prints the header of the CSV.
pub(crate) fn print_header() {
    println!("routing,seed,routers,{}", Report::CSV_HEADER);
}

/// Prints the results of a trial as a row of the CSV.
pub(crate) fn print_row(routing: &str, trial: &Trial, report: &Report) {
    println!("{routing},{},{},{}", trial.seed, trial.routers, report.csv_row());
}

/// Prints the descriptions of the first violations.
pub(crate) fn print_violations(report: &Report) {
    for violation in &report.violations {
        println!("BROKEN {violation}");
    }
}

/// Prints for each fault how long the in-time fraction took to recover.
pub(crate) fn print_recoveries(trial: &Trial, report: &Report) {
    for fault in &trial.faults {
        let recovery = match report.recovery_seconds(fault.at_ms / 1000, RECOVERY_TOLERANCE) {
            Some(seconds) => format!("after {seconds} s"),
            None => "not within the trial".into(),
        };
        println!("# fault at {} ms: in-time share back {recovery}", fault.at_ms);
    }
}

/// Returns an SVG chart of the results of each second.
pub(crate) fn chart_by_second(trial: &Trial, report: &Report) -> Result<String, ChartError> {
    let line = |name: &str, value: fn(&Second) -> f64| chart::Line {
        name: name.into(),
        points: report.seconds.iter().map(|(index, second)| (*index as f64, value(second))).collect(),
    };
    let lines = [
        line("answered in time", |second| second.in_time as f64 / second.operations.max(1) as f64),
        line("variation of load", |second| second.variation),
    ];
    let title = format!("{} routers, seed {}", trial.routers, trial.seed);
    chart::svg(Labels { title: &title, x: "second", y: "share" }, &lines)
}
