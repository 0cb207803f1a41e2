//! The command line of `comethitch-lab`: its subcommands and their options.

use argh::FromArgs;
use std::path::PathBuf;

/// Runs trials of router fleets, and prints how evenly the hosts were loaded and which rules were violated.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    #[argh(subcommand)]
    pub subcommand: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Subcommand {
    Run(Run),
    Sizes(Sizes),
    Live(LiveRun),
    Compare(Compare),
    Schema(Schema),
    Soak(Soak),
}

/// Runs one trial in simulated time, with the policy and with a baseline that knows the hosts' capacities;
/// exits with 1 if a rule was violated.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub(crate) struct Run {
    /// file of the trial
    #[argh(positional)]
    pub file: String,
    /// seed to use instead of the file's
    #[argh(option)]
    pub seed: Option<u64>,
}

/// Runs one trial with real processes in real time; exits with 1 if a rule was violated.
#[derive(FromArgs)]
#[argh(subcommand, name = "live")]
pub(crate) struct LiveRun {
    /// file of the trial
    #[argh(positional)]
    pub file: String,
    /// seed to use instead of the file's
    #[argh(option)]
    pub seed: Option<u64>,
    /// program of the routers; by default comethitchd in the folder of this program
    #[argh(option)]
    pub daemon: Option<PathBuf>,
    /// file for the results of each second, as CSV
    #[argh(option)]
    pub seconds: Option<PathBuf>,
    /// file for a chart of the results of each second, as SVG
    #[argh(option)]
    pub chart: Option<PathBuf>,
    /// folder in which to keep the routers' files and logs
    #[argh(option)]
    pub logs: Option<PathBuf>,
}

/// Runs two trials with the same seeds, in simulated time or with real processes, and prints the mean
/// differences between the second and the first, with their standard errors.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub(crate) struct Compare {
    /// file of the first trial
    #[argh(positional)]
    pub one: String,
    /// file of the second trial
    #[argh(positional)]
    pub other: String,
    /// seeds separated by commas
    #[argh(option, default = "String::from(\"1,2,3,4\")")]
    pub seeds: String,
    /// run with real processes of this router program; by default in simulated time
    #[argh(option)]
    pub daemon: Option<PathBuf>,
}

/// Runs one trial in simulated time with 30, 100, 300 and 1,000 routers under the same total load, and prints
/// the results as CSV.
#[derive(FromArgs)]
#[argh(subcommand, name = "sizes")]
pub(crate) struct Sizes {
    /// file of the trial
    #[argh(positional)]
    pub file: String,
    /// file for a chart of the evenness of load by number of routers, as SVG
    #[argh(option)]
    pub chart: Option<PathBuf>,
}

/// Runs a random trial with real processes for each seed; exits with 1 if a rule was violated.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub(crate) struct Soak {
    /// seeds separated by commas, or the first and the last one separated by two dots
    #[argh(option, default = "String::from(\"1..5\")")]
    pub seeds: String,
    /// how long clients send requests in each trial, in seconds
    #[argh(option, default = "8")]
    pub seconds: u64,
    /// program of the routers; by default comethitchd in the folder of this program
    #[argh(option)]
    pub daemon: Option<PathBuf>,
    /// folder in which to keep the routers' files and logs, by seed
    #[argh(option)]
    pub logs: Option<PathBuf>,
    /// print the trials, one per line, as trial files for `live`, without running them
    #[argh(switch)]
    pub print: bool,
}

/// Prints the JSON schema of trial files.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
pub(crate) struct Schema {}
