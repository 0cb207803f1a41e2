//! `comethitch-lab`: plays trials of fleets, in simulated time or with real processes.

use argh::FromArgs;
use comethitch_lab::chart;
use comethitch_lab::compare::{Row, compare};
use comethitch_lab::fleet;
use comethitch_lab::ledger::{Report, Second};
use comethitch_lab::live;
use comethitch_lab::trial::{Routing, Trial};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// How near the share answered in time must come to what it was before a fault.
const BACK_BY: f64 = 0.02;

/// Plays fleets of routers in simulated time and tells how evenly hosts were loaded, and whether every rule held.
#[derive(FromArgs)]
struct Line {
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Run(Run),
    Sizes(Sizes),
    Live(LiveRun),
    Compare(Compare),
    Schema(Schema),
}

/// Plays one trial, beside the baseline with perfect knowledge; ends with 1 if a rule was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// the trial's file
    #[argh(positional)]
    file: String,
    /// another seed than the file's
    #[argh(option)]
    seed: Option<u64>,
}

/// Plays one trial with real processes, in real time; ends with 1 if a rule was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "live")]
struct LiveRun {
    /// the trial's file
    #[argh(positional)]
    file: String,
    /// another seed than the file's
    #[argh(option)]
    seed: Option<u64>,
    /// the router's program; without it, the one beside this
    #[argh(option)]
    daemon: Option<PathBuf>,
    /// where to write what each second came to, as CSV
    #[argh(option)]
    seconds: Option<PathBuf>,
    /// where to draw it, as SVG
    #[argh(option)]
    chart: Option<PathBuf>,
    /// a folder in which to keep the routers' files and logs
    #[argh(option)]
    logs: Option<PathBuf>,
}

/// Plays two trials over the same seeds, in simulated time or with real processes, and tells by how much the second
/// differs from the first, with the standard error over the pairs.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct Compare {
    /// the first trial's file
    #[argh(positional)]
    one: String,
    /// the second's
    #[argh(positional)]
    other: String,
    /// seeds, parted by commas
    #[argh(option, default = "String::from(\"1,2,3,4\")")]
    seeds: String,
    /// play with real processes of this program instead
    #[argh(option)]
    daemon: Option<PathBuf>,
}

/// Plays one trial with 30, 100, 300 and 1,000 routers under the same load: a table as CSV.
#[derive(FromArgs)]
#[argh(subcommand, name = "sizes")]
struct Sizes {
    /// the trial's file
    #[argh(positional)]
    file: String,
    /// where to draw the hosts' evenness by the number of routers, as SVG
    #[argh(option)]
    chart: Option<PathBuf>,
}

/// Prints the schema of a trial's file.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
struct Schema {}

fn read(file: &str) -> Result<Trial, String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?;
    Trial::read(&text).map_err(|error| format!("{file}: {error}"))
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

fn both(trial: &Trial) -> Result<[(&'static str, Report); 2], String> {
    let perfect = Trial { routing: Routing::Perfect, ..trial.clone() };
    Ok([("module", fleet::play(trial)?), ("perfect", fleet::play(&perfect)?)])
}

fn run(line: Line) -> Result<bool, String> {
    match line.what {
        What::Run(Run { file, seed }) => {
            let mut trial = read(&file)?;
            trial.seed = seed.unwrap_or(trial.seed);
            let plays = both(&trial)?;
            println!("routing,seed,routers,{}", Report::HEAD);
            for (name, report) in &plays {
                println!("{name},{},{},{}", trial.seed, trial.routers, report.row());
            }
            let broken = &plays[0].1.broken;
            broken.iter().for_each(|what| println!("BROKEN {what}"));
            Ok(broken.is_empty())
        }
        What::Live(LiveRun { file, seed, daemon, seconds, chart, logs }) => {
            let mut trial = read(&file)?;
            trial.seed = seed.unwrap_or(trial.seed);
            let beside = || Ok::<_, std::io::Error>(std::env::current_exe()?.with_file_name("comethitchd"));
            let daemon = daemon.map_or_else(beside, Ok).map_err(|error| error.to_string())?;
            let report = live::play(&trial, &daemon, logs.as_deref())?;
            println!("routing,seed,routers,{}", Report::HEAD);
            println!("live,{},{},{}", trial.seed, trial.routers, report.row());
            for fault in &trial.faults {
                let back = report.back_after(fault.at_ms / 1000, BACK_BY);
                let back = back.map_or("not within the trial".into(), |s| format!("after {s} s"));
                println!("# fault at {} ms: in-time share back {back}", fault.at_ms);
            }
            report.broken.iter().for_each(|what| println!("BROKEN {what}"));
            if let Some(path) = seconds {
                write(&path, &report.by_second())?;
            }
            if let Some(path) = chart {
                let share =
                    |(nth, s): &(u64, Second)| (*nth as f64, s.in_time as f64 / s.asked.max(1) as f64);
                let uneven = |(nth, s): &(u64, Second)| (*nth as f64, s.variation);
                let lines = [
                    ("answered in time".to_string(), report.seconds.iter().map(share).collect()),
                    ("variation of load".to_string(), report.seconds.iter().map(uneven).collect()),
                ];
                let title = format!("{} routers, seed {}", trial.routers, trial.seed);
                write(&path, &chart::svg(&title, "second", "share", &lines)?)?;
            }
            Ok(report.broken.is_empty())
        }
        What::Compare(Compare { one, other, seeds, daemon }) => {
            let seed = |text: &str| text.trim().parse().map_err(|_| format!("seeds: {text:?} is no number"));
            let seeds = seeds.split(',').map(seed).collect::<Result<Vec<u64>, _>>()?;
            let mut play = |trial: &Trial| match &daemon {
                Some(daemon) => live::play(trial, daemon, None),
                None => fleet::play(trial),
            };
            let rows = compare(&read(&one)?, &read(&other)?, &seeds, &mut play)?;
            println!("column,{one},{other},difference,standard_error");
            for Row { column, one, other, difference, error } in rows {
                println!("{column},{one:.4},{other:.4},{difference:+.4},{error:.4}");
            }
            Ok(true)
        }
        What::Sizes(Sizes { file, chart }) => {
            let trial = read(&file)?;
            println!("routing,seed,routers,{}", Report::HEAD);
            let mut kept = true;
            let mut lines = [("module", Vec::new()), ("perfect", Vec::new())];
            for routers in [30, 100, 300, 1000] {
                for (name, report) in both(&Trial { routers, ..trial.clone() })? {
                    println!("{name},{},{routers},{}", trial.seed, report.row());
                    kept &= name != "module" || report.broken.is_empty();
                    let line = lines.iter_mut().find(|(of, _)| *of == name);
                    line.into_iter()
                        .for_each(|(_, points)| points.push((f64::from(routers), report.variation)));
                }
            }
            if let Some(path) = chart {
                let lines = lines.map(|(name, points)| (name.to_string(), points));
                write(&path, &chart::svg("Evenness of hosts", "routers", "variation of load", &lines)?)?;
            }
            Ok(kept)
        }
        What::Schema(_) => {
            let schema = serde_json::to_string_pretty(&schemars::schema_for!(Trial));
            println!("{}", schema.map_err(|error| error.to_string())?);
            Ok(true)
        }
    }
}

fn main() -> ExitCode {
    match run(argh::from_env()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("comethitch-lab: {error}");
            ExitCode::from(2)
        }
    }
}
