//! The command line of `comethitch-lab`: its subcommands and their options.

use argh::FromArgs;
use std::path::PathBuf;

/// Plays fleets of routers in simulated time and tells how evenly hosts were loaded, and whether every rule held.
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

/// Plays one trial, beside the baseline with perfect knowledge; ends with 1 if a rule was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub(crate) struct Run {
    /// the trial's file
    #[argh(positional)]
    pub file: String,
    /// another seed than the file's
    #[argh(option)]
    pub seed: Option<u64>,
}

/// Plays one trial with real processes, in real time; ends with 1 if a rule was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "live")]
pub(crate) struct LiveRun {
    /// the trial's file
    #[argh(positional)]
    pub file: String,
    /// another seed than the file's
    #[argh(option)]
    pub seed: Option<u64>,
    /// the router's program; without it, the one beside this
    #[argh(option)]
    pub daemon: Option<PathBuf>,
    /// where to write what each second came to, as CSV
    #[argh(option)]
    pub seconds: Option<PathBuf>,
    /// where to draw it, as SVG
    #[argh(option)]
    pub chart: Option<PathBuf>,
    /// a folder in which to keep the routers' files and logs
    #[argh(option)]
    pub logs: Option<PathBuf>,
}

/// Plays two trials over the same seeds, in simulated time or with real processes, and tells by how much the second
/// differs from the first, with the standard error over the pairs.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub(crate) struct Compare {
    /// the first trial's file
    #[argh(positional)]
    pub one: String,
    /// the second's
    #[argh(positional)]
    pub other: String,
    /// seeds, parted by commas
    #[argh(option, default = "String::from(\"1,2,3,4\")")]
    pub seeds: String,
    /// play with real processes of this program instead
    #[argh(option)]
    pub daemon: Option<PathBuf>,
}

/// Plays one trial with 30, 100, 300 and 1,000 routers under the same load: a table as CSV.
#[derive(FromArgs)]
#[argh(subcommand, name = "sizes")]
pub(crate) struct Sizes {
    /// the trial's file
    #[argh(positional)]
    pub file: String,
    /// where to draw the hosts' evenness by the number of routers, as SVG
    #[argh(option)]
    pub chart: Option<PathBuf>,
}

/// Plays random trials with real processes, a seed each; ends with 1 if a rule was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub(crate) struct Soak {
    /// seeds, parted by commas, or the first and the last one, parted by two dots
    #[argh(option, default = "String::from(\"1..5\")")]
    pub seeds: String,
    /// how many seconds clients send in each
    #[argh(option, default = "8")]
    pub seconds: u64,
    /// the router's program; without it, the one beside this
    #[argh(option)]
    pub daemon: Option<PathBuf>,
    /// a folder in which to keep the routers' files and logs, by seed
    #[argh(option)]
    pub logs: Option<PathBuf>,
    /// print the trials as files for `live`, and play none
    #[argh(switch)]
    pub print: bool,
}

/// Prints the schema of a trial's file.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
pub(crate) struct Schema {}
