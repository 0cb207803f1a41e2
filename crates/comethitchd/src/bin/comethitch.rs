//! The operator's tool: what can be done without a running router.

use argh::FromArgs;
use comethitch_statement::Rules;
use comethitchd::protocols::tds::settings::TdsSettings;
use comethitchd::service::classify::Classify;
use comethitchd::service::trail::TrailCommand;
use std::process::ExitCode;

/// Tools around the query router.
#[derive(FromArgs)]
struct Line {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Classify(Classify),
    Schema(Schema),
    Trail(TrailCommand),
}

/// Print the schema of an operator's file.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
struct Schema {
    /// which file: statements or tds
    #[argh(positional)]
    file: String,
}

impl Schema {
    fn run(self) -> Result<(), String> {
        let schema = match self.file.as_str() {
            "statements" => schemars::schema_for!(Rules),
            "tds" => schemars::schema_for!(TdsSettings),
            other => return Err(format!("there are schemas of statements and tds, none of {other:?}")),
        };
        let text = serde_json::to_string_pretty(&schema).map_err(|e| e.to_string())?;
        println!("{text}");
        Ok(())
    }
}

fn main() -> ExitCode {
    let done = match argh::from_env::<Line>().command {
        Command::Classify(classify) => classify.run(),
        Command::Schema(schema) => schema.run(),
        Command::Trail(trail) => trail.run(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("comethitch: {message}");
            ExitCode::FAILURE
        }
    }
}
