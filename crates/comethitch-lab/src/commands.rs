//! The subcommands of `comethitch-lab`.

use crate::arguments::{Arguments, Compare, LiveRun, Run, Sizes, Soak, Subcommand};
use crate::output::{chart_by_second, print_header, print_recoveries, print_row, print_violations};
use comethitch_lab::chart::{self, ChartError, Labels};
use comethitch_lab::compare::{Row, compare};
use comethitch_lab::error::RunError;
use comethitch_lab::fleet;
use comethitch_lab::ledger::Report;
use comethitch_lab::live;
use comethitch_lab::soak;
use comethitch_lab::trial::{Routing, Trial, TrialError};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// File name of the router program, which is in the folder of this program.
const DAEMON: &str = "comethitchd";
/// Numbers of routers for which `sizes` runs the trial.
const SIZES: [u16; 4] = [30, 100, 300, 1000];
/// Name of routing by the policy, in CSV rows and charts.
const POLICY_LABEL: &str = "module";
/// Name of routing by the baseline, in CSV rows and charts.
const BASELINE_LABEL: &str = "perfect";

/// Why a subcommand failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    #[error("{path}: {source}")]
    File { path: String, source: io::Error },
    #[error("{path}: {source}")]
    Trial { path: String, source: TrialError },
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    Chart(#[from] ChartError),
    #[error("seeds: {text:?} is not a number")]
    Seed { text: String },
    #[error("cannot find the path of this program: {0}")]
    OwnPath(#[source] io::Error),
    #[error(transparent)]
    Schema(#[from] serde_json::Error),
}

/// Whether the routers violated a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    NoViolation,
    RulesViolated,
}

impl Verdict {
    fn of(report: &Report) -> Verdict {
        if report.violations.is_empty() { Verdict::NoViolation } else { Verdict::RulesViolated }
    }
}

/// Reports of a trial in simulated time, with the policy and with the baseline.
struct SimulatedReports {
    policy: Report,
    baseline: Report,
}

impl SimulatedReports {
    fn run(trial: &Trial) -> Result<SimulatedReports, RunError> {
        let baseline = Trial { routing: Routing::Perfect, ..trial.clone() };
        Ok(SimulatedReports { policy: fleet::run_trial(trial)?, baseline: fleet::run_trial(&baseline)? })
    }

    fn print_rows(&self, trial: &Trial) {
        print_row(POLICY_LABEL, trial, &self.policy);
        print_row(BASELINE_LABEL, trial, &self.baseline);
    }
}

/// Runs a subcommand.
pub(crate) fn run(arguments: Arguments) -> Result<Verdict, CommandError> {
    match arguments.subcommand {
        Subcommand::Run(arguments) => run_trial(arguments),
        Subcommand::Live(arguments) => run_live(arguments),
        Subcommand::Compare(arguments) => run_compare(arguments),
        Subcommand::Sizes(arguments) => run_sizes(arguments),
        Subcommand::Schema(_) => print_schema(),
        Subcommand::Soak(arguments) => run_soak(arguments),
    }
}

fn run_trial(arguments: Run) -> Result<Verdict, CommandError> {
    let trial = read_trial(&arguments.file, arguments.seed)?;
    let reports = SimulatedReports::run(&trial)?;
    print_header();
    reports.print_rows(&trial);
    print_violations(&reports.policy);
    Ok(Verdict::of(&reports.policy))
}

fn run_live(arguments: LiveRun) -> Result<Verdict, CommandError> {
    let trial = read_trial(&arguments.file, arguments.seed)?;
    let daemon = daemon_path(arguments.daemon)?;
    let report = live::run_trial(&trial, &daemon, arguments.logs.as_deref())?;
    print_header();
    print_row("live", &trial, &report);
    print_recoveries(&trial, &report);
    print_violations(&report);
    if let Some(path) = arguments.seconds {
        write_file(&path, &report.csv_by_second())?;
    }
    if let Some(path) = arguments.chart {
        write_file(&path, &chart_by_second(&trial, &report)?)?;
    }
    Ok(Verdict::of(&report))
}

fn run_soak(arguments: Soak) -> Result<Verdict, CommandError> {
    let daemon = daemon_path(arguments.daemon)?;
    let mut verdict = Verdict::NoViolation;
    if !arguments.print {
        print_header();
    }
    for seed in parse_seeds(&arguments.seeds)? {
        let trial = soak::trial(seed, arguments.seconds);
        if arguments.print {
            println!("{}", serde_json::to_string(&trial)?);
            continue;
        }
        let logs = arguments.logs.as_ref().map(|logs| logs.join(format!("seed-{seed}")));
        let report = live::run_trial(&trial, &daemon, logs.as_deref())?;
        print_row("soak", &trial, &report);
        print_violations(&report);
        if Verdict::of(&report) == Verdict::RulesViolated {
            verdict = Verdict::RulesViolated;
        }
    }
    Ok(verdict)
}

fn run_compare(arguments: Compare) -> Result<Verdict, CommandError> {
    let Compare { one, other, seeds, daemon } = arguments;
    let seeds = parse_seeds(&seeds)?;
    let mut run = |trial: &Trial| match &daemon {
        Some(daemon) => live::run_trial(trial, daemon, None),
        None => fleet::run_trial(trial),
    };
    let rows = compare(&read_trial(&one, None)?, &read_trial(&other, None)?, &seeds, &mut run)?;
    println!("column,{one},{other},difference,standard_error");
    for Row { column, first, second, difference, standard_error } in rows {
        println!("{column},{first:.4},{second:.4},{difference:+.4},{standard_error:.4}");
    }
    Ok(Verdict::NoViolation)
}

fn run_sizes(arguments: Sizes) -> Result<Verdict, CommandError> {
    let trial = read_trial(&arguments.file, None)?;
    let mut verdict = Verdict::NoViolation;
    let mut policy = chart::Line { name: POLICY_LABEL.into(), points: Vec::new() };
    let mut baseline = chart::Line { name: BASELINE_LABEL.into(), points: Vec::new() };
    print_header();
    for routers in SIZES {
        let trial = Trial { routers, ..trial.clone() };
        let reports = SimulatedReports::run(&trial)?;
        reports.print_rows(&trial);
        policy.points.push((f64::from(routers), reports.policy.variation));
        baseline.points.push((f64::from(routers), reports.baseline.variation));
        if Verdict::of(&reports.policy) == Verdict::RulesViolated {
            verdict = Verdict::RulesViolated;
        }
    }
    if let Some(path) = arguments.chart {
        let labels = Labels { title: "Evenness of hosts", x: "routers", y: "variation of load" };
        write_file(&path, &chart::svg(labels, &[policy, baseline])?)?;
    }
    Ok(verdict)
}

fn print_schema() -> Result<Verdict, CommandError> {
    println!("{}", serde_json::to_string_pretty(&schemars::schema_for!(Trial))?);
    Ok(Verdict::NoViolation)
}

fn read_trial(path: &str, seed: Option<u64>) -> Result<Trial, CommandError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| CommandError::File { path: path.into(), source })?;
    let mut trial = Trial::read(&text).map_err(|source| CommandError::Trial { path: path.into(), source })?;
    trial.seed = seed.unwrap_or(trial.seed);
    Ok(trial)
}

fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text)
        .map_err(|source| CommandError::File { path: path.display().to_string(), source })
}

/// Returns the given program, or the one in the folder of this program.
fn daemon_path(given: Option<PathBuf>) -> Result<PathBuf, CommandError> {
    match given {
        Some(daemon) => Ok(daemon),
        None => Ok(std::env::current_exe().map_err(CommandError::OwnPath)?.with_file_name(DAEMON)),
    }
}

/// Parses numbers separated by commas, or a range such as `1..5`, which includes its last number.
fn parse_seeds(text: &str) -> Result<Vec<u64>, CommandError> {
    let seed = |text: &str| text.trim().parse::<u64>().map_err(|_| CommandError::Seed { text: text.into() });
    if let Some((first, last)) = text.split_once("..") {
        return Ok((seed(first)?..=seed(last)?).collect());
    }
    text.split(',').map(seed).collect()
}
