//! The command line of the operator's tool: the commands `classify`, `schema` and `trail`, which need no
//! running router.

use argh::FromArgs;
use comethitch_statement::Rules;
use comethitchd::protocols::tds::settings::TdsSettings;
use comethitchd::service::classify::{Classify, ClassifyError};
use comethitchd::service::command_line::exit_code;
use comethitchd::service::trail::{TrailCommand, TrailError};
use std::process::ExitCode;

/// Tools for operators of the query router.
#[derive(FromArgs)]
struct CommandLine {
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

/// Print the JSON schema of a file that operators write.
#[derive(FromArgs)]
#[argh(subcommand, name = "schema")]
struct Schema {
    /// the kind of file: statements (statement rules) or tds (TDS settings)
    #[argh(positional)]
    file: String,
}

/// Why a schema can't be printed.
#[derive(Debug, thiserror::Error)]
enum SchemaError {
    #[error("unknown file {file:?}: must be statements or tds")]
    UnknownFile { file: String },
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Classify(#[from] ClassifyError),
    #[error(transparent)]
    Schema(#[from] SchemaError),
    #[error(transparent)]
    Trail(#[from] TrailError),
}

impl Schema {
    fn run(self) -> Result<(), SchemaError> {
        let schema = match self.file.as_str() {
            "statements" => schemars::schema_for!(Rules),
            "tds" => schemars::schema_for!(TdsSettings),
            _ => return Err(SchemaError::UnknownFile { file: self.file }),
        };
        println!("{}", serde_json::to_string_pretty(&schema)?);
        Ok(())
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Classify(classify) => Ok(classify.run()?),
        Command::Schema(schema) => Ok(schema.run()?),
        Command::Trail(trail) => Ok(trail.run()?),
    }
}

fn main() -> ExitCode {
    exit_code("comethitch", run(argh::from_env::<CommandLine>().command))
}
