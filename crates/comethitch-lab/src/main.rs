//! `comethitch-lab`: plays trials of fleets, in simulated time or with real processes, and prints what they came to.

mod arguments;

use arguments::{Arguments, Compare, LiveRun, Run, Sizes, Soak, Subcommand};
use comethitch_lab::chart::{self, ChartError, Labels};
use comethitch_lab::compare::{Row, compare};
use comethitch_lab::error::PlayError;
use comethitch_lab::fleet;
use comethitch_lab::ledger::{Report, Second};
use comethitch_lab::live;
use comethitch_lab::soak;
use comethitch_lab::trial::{Routing, Trial, TrialError};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// The exit code of a command that could not be carried out; a broken rule ends with 1.
const EXIT_ERROR: u8 = 2;
/// The program of the routers, beside this one.
const DAEMON: &str = "comethitchd";
/// The numbers of routers that `sizes` plays.
const SIZES: [u16; 4] = [30, 100, 300, 1000];
/// The names of the routings in tables.
const MODULE: &str = "module";
const PERFECT: &str = "perfect";
/// How near the share answered in time must come to what it was before a fault.
const RECOVERY_TOLERANCE: f64 = 0.02;

/// Why a subcommand could not be carried out.
#[derive(Debug, Error)]
enum CommandError {
    #[error("{path}: {source}")]
    File { path: String, source: io::Error },
    #[error("{path}: {source}")]
    Trial { path: String, source: TrialError },
    #[error(transparent)]
    Play(#[from] PlayError),
    #[error(transparent)]
    Chart(#[from] ChartError),
    #[error("seeds: {text:?} is no number")]
    Seed { text: String },
    #[error(transparent)]
    OwnPath(io::Error),
    #[error(transparent)]
    Schema(#[from] serde_json::Error),
}

/// Whether the decision module kept every rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    RulesKept,
    RulesBroken,
}

impl Verdict {
    fn of(report: &Report) -> Verdict {
        if report.broken.is_empty() { Verdict::RulesKept } else { Verdict::RulesBroken }
    }
}

/// A trial played in simulated time, with the decision module and with the baseline.
struct Plays {
    module: Report,
    perfect: Report,
}

impl Plays {
    fn of(trial: &Trial) -> Result<Plays, PlayError> {
        let perfect = Trial { routing: Routing::Perfect, ..trial.clone() };
        Ok(Plays { module: fleet::play(trial)?, perfect: fleet::play(&perfect)? })
    }

    fn print_rows(&self, trial: &Trial) {
        print_row(MODULE, trial, &self.module);
        print_row(PERFECT, trial, &self.perfect);
    }
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

fn print_header() {
    println!("routing,seed,routers,{}", Report::CSV_HEADER);
}

fn print_row(routing: &str, trial: &Trial, report: &Report) {
    println!("{routing},{},{},{}", trial.seed, trial.routers, report.csv_row());
}

fn print_violations(report: &Report) {
    for violation in &report.broken {
        println!("BROKEN {violation}");
    }
}

fn run_trial(arguments: Run) -> Result<Verdict, CommandError> {
    let trial = read_trial(&arguments.file, arguments.seed)?;
    let plays = Plays::of(&trial)?;
    print_header();
    plays.print_rows(&trial);
    print_violations(&plays.module);
    Ok(Verdict::of(&plays.module))
}

fn run_live(arguments: LiveRun) -> Result<Verdict, CommandError> {
    let trial = read_trial(&arguments.file, arguments.seed)?;
    let daemon = daemon_path(arguments.daemon)?;
    let report = live::play(&trial, &daemon, arguments.logs.as_deref())?;
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

/// The program given, or the one beside this.
fn daemon_path(given: Option<PathBuf>) -> Result<PathBuf, CommandError> {
    match given {
        Some(daemon) => Ok(daemon),
        None => Ok(std::env::current_exe().map_err(CommandError::OwnPath)?.with_file_name(DAEMON)),
    }
}

fn run_soak(arguments: Soak) -> Result<Verdict, CommandError> {
    let daemon = daemon_path(arguments.daemon)?;
    let mut verdict = Verdict::RulesKept;
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
        let report = live::play(&trial, &daemon, logs.as_deref())?;
        print_row("soak", &trial, &report);
        print_violations(&report);
        if Verdict::of(&report) == Verdict::RulesBroken {
            verdict = Verdict::RulesBroken;
        }
    }
    Ok(verdict)
}

fn print_recoveries(trial: &Trial, report: &Report) {
    for fault in &trial.faults {
        let recovery = match report.recovery_seconds(fault.at_ms / 1000, RECOVERY_TOLERANCE) {
            Some(seconds) => format!("after {seconds} s"),
            None => "not within the trial".into(),
        };
        println!("# fault at {} ms: in-time share back {recovery}", fault.at_ms);
    }
}

fn chart_by_second(trial: &Trial, report: &Report) -> Result<String, ChartError> {
    let line = |name: &str, value: fn(&Second) -> f64| chart::Line {
        name: name.into(),
        points: report.seconds.iter().map(|(index, second)| (*index as f64, value(second))).collect(),
    };
    let lines = [
        line("answered in time", |second| second.in_time as f64 / second.asked.max(1) as f64),
        line("variation of load", |second| second.variation),
    ];
    let title = format!("{} routers, seed {}", trial.routers, trial.seed);
    chart::svg(Labels { title: &title, x: "second", y: "share" }, &lines)
}

fn run_compare(arguments: Compare) -> Result<Verdict, CommandError> {
    let Compare { one, other, seeds, daemon } = arguments;
    let seeds = parse_seeds(&seeds)?;
    let mut play = |trial: &Trial| match &daemon {
        Some(daemon) => live::play(trial, daemon, None),
        None => fleet::play(trial),
    };
    let rows = compare(&read_trial(&one, None)?, &read_trial(&other, None)?, &seeds, &mut play)?;
    println!("column,{one},{other},difference,standard_error");
    for Row { column, one, other, difference, error } in rows {
        println!("{column},{one:.4},{other:.4},{difference:+.4},{error:.4}");
    }
    Ok(Verdict::RulesKept)
}

/// Reads numbers separated by commas, or a range such as `1..5`, whose last number belongs to it.
fn parse_seeds(text: &str) -> Result<Vec<u64>, CommandError> {
    let seed = |text: &str| text.trim().parse::<u64>().map_err(|_| CommandError::Seed { text: text.into() });
    if let Some((first, last)) = text.split_once("..") {
        return Ok((seed(first)?..=seed(last)?).collect());
    }
    text.split(',').map(seed).collect()
}

fn run_sizes(arguments: Sizes) -> Result<Verdict, CommandError> {
    let trial = read_trial(&arguments.file, None)?;
    let mut verdict = Verdict::RulesKept;
    let mut module = chart::Line { name: MODULE.into(), points: Vec::new() };
    let mut perfect = chart::Line { name: PERFECT.into(), points: Vec::new() };
    print_header();
    for routers in SIZES {
        let trial = Trial { routers, ..trial.clone() };
        let plays = Plays::of(&trial)?;
        plays.print_rows(&trial);
        module.points.push((f64::from(routers), plays.module.variation));
        perfect.points.push((f64::from(routers), plays.perfect.variation));
        if Verdict::of(&plays.module) == Verdict::RulesBroken {
            verdict = Verdict::RulesBroken;
        }
    }
    if let Some(path) = arguments.chart {
        let labels = Labels { title: "Evenness of hosts", x: "routers", y: "variation of load" };
        write_file(&path, &chart::svg(labels, &[module, perfect])?)?;
    }
    Ok(verdict)
}

fn print_schema() -> Result<Verdict, CommandError> {
    println!("{}", serde_json::to_string_pretty(&schemars::schema_for!(Trial))?);
    Ok(Verdict::RulesKept)
}

fn run(arguments: Arguments) -> Result<Verdict, CommandError> {
    match arguments.subcommand {
        Subcommand::Run(arguments) => run_trial(arguments),
        Subcommand::Live(arguments) => run_live(arguments),
        Subcommand::Compare(arguments) => run_compare(arguments),
        Subcommand::Sizes(arguments) => run_sizes(arguments),
        Subcommand::Schema(_) => print_schema(),
        Subcommand::Soak(arguments) => run_soak(arguments),
    }
}

fn main() -> ExitCode {
    match run(argh::from_env()) {
        Ok(Verdict::RulesKept) => ExitCode::SUCCESS,
        Ok(Verdict::RulesBroken) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("comethitch-lab: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}
