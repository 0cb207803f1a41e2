//! `comethitch-lab`: plays trials of fleets in simulated time.

use argh::FromArgs;
use comethitch_lab::fleet;
use comethitch_lab::ledger::Report;
use comethitch_lab::trial::{Routing, Trial};
use std::process::ExitCode;

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

/// Plays one trial with 30, 100, 300 and 1,000 routers under the same load: a table as CSV.
#[derive(FromArgs)]
#[argh(subcommand, name = "sizes")]
struct Sizes {
    /// the trial's file
    #[argh(positional)]
    file: String,
}

/// Prints the schema of a trial's file.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
struct Schema {}

fn read(file: &str) -> Result<Trial, String> {
    let text = std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?;
    Trial::read(&text).map_err(|error| format!("{file}: {error}"))
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
        What::Sizes(Sizes { file }) => {
            let trial = read(&file)?;
            println!("routing,seed,routers,{}", Report::HEAD);
            let mut kept = true;
            for routers in [30, 100, 300, 1000] {
                for (name, report) in both(&Trial { routers, ..trial.clone() })? {
                    println!("{name},{},{routers},{}", trial.seed, report.row());
                    kept &= name != "module" || report.broken.is_empty();
                }
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
