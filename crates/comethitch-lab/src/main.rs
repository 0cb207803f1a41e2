//! `comethitch-lab`: runs trials of router fleets, in simulated time or with real processes, and prints the
//! results.

mod arguments;
mod commands;
mod output;

use commands::Verdict;
use std::process::ExitCode;

/// Exit code of a subcommand that failed. A violated rule results in exit code 1.
const EXIT_ERROR: u8 = 2;

fn main() -> ExitCode {
    match commands::run(argh::from_env()) {
        Ok(Verdict::NoViolation) => ExitCode::SUCCESS,
        Ok(Verdict::RulesViolated) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("comethitch-lab: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}
