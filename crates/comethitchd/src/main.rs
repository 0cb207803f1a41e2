//! The command line of the daemon: `serve`, `check`, `classify` and `version`.

use argh::FromArgs;
use comethitch_statement::Dialect;
use comethitchd::protocols::tds::settings::TdsSettings;
use comethitchd::service::classify::{Classify, ClassifyError};
use comethitchd::service::command_line::{ConfigFiles, exit_code};
use comethitchd::service::logger::{self, LogFormat};
use comethitchd::service::protocol::{Protocol, ProtocolError};
use comethitchd::service::server::{self, ServeError};
use comethitchd::state::clock::Clock;
use comethitchd::state::config::{Config, ConfigError};
use log::LevelFilter;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A query router for sharded, replicated databases.
#[derive(FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Classify(Classify),
    Version(Version),
}

/// Serve clients until SIGTERM; SIGHUP reloads the configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration; by default the file that `RELAY_CONFIG` names
    #[argh(option)]
    configuration: Option<PathBuf>,
    /// the statement rules, as in deploy/statements.json; without them statements need a comment
    #[argh(option)]
    statements: Option<PathBuf>,
    /// the TDS settings, as in deploy/tds.json; without them the router speaks PostgreSQL's protocol
    #[argh(option)]
    tds: Option<PathBuf>,
    /// the log level: error, warn, info (default), debug or trace
    #[argh(option, default = "LevelFilter::Info")]
    log: LevelFilter,
    /// the format of the log: text (default) or json
    #[argh(option, default = "LogFormat::Text")]
    log_form: LogFormat,
}

/// Check the configuration and report errors, without serving.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration; by default the file that `RELAY_CONFIG` names
    #[argh(option)]
    configuration: Option<PathBuf>,
    /// the statement rules, checked too
    #[argh(option)]
    statements: Option<PathBuf>,
    /// the TDS settings, checked too
    #[argh(option)]
    tds: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    #[error(transparent)]
    Serve(#[from] ServeError),
    #[error(transparent)]
    Classify(#[from] ClassifyError),
}

impl Serve {
    fn run(self) -> Result<(), CommandError> {
        let clock = Clock::start();
        logger::start(self.log, self.log_form);
        let files = ConfigFiles { configuration: self.configuration, statements: self.statements };
        let config = files.load_at_start()?;
        let protocol = choose_protocol(self.tds.as_deref(), &config)?;
        Ok(server::run(config, clock, protocol, move || files.load())?)
    }
}

impl Check {
    fn run(self) -> Result<(), CommandError> {
        let files = ConfigFiles { configuration: self.configuration, statements: self.statements };
        let config = files.load()?;
        choose_protocol(self.tds.as_deref(), &config)?;
        print_summary(&config);
        Ok(())
    }
}

fn print_summary(config: &Config) {
    let classes = config.class_names.len();
    let hosts = config.initial_endpoints.entries.len();
    println!(
        "{} would listen on {}: {classes} request classes, {hosts} known hosts",
        config.name, config.listen
    );
    if let Some(rules) = &config.statements {
        let classes = rules.classes.len();
        let keys = rules.keys.len();
        println!("statement rules: {classes} for request classes, {keys} for keys");
    }
}

impl Version {
    fn print(&self) {
        println!("comethitchd {}", env!("CARGO_PKG_VERSION"));
    }
}

/// Returns TDS if its settings are given, and PostgreSQL's protocol otherwise.
fn choose_protocol(tds: Option<&Path>, config: &Config) -> Result<Protocol, ProtocolError> {
    if let Some(path) = tds {
        let settings = TdsSettings::load(path)?;
        return Protocol::tds(settings, config);
    }
    if config.statements.as_ref().is_some_and(|rules| rules.dialect != Dialect::Postgres) {
        return Err(ProtocolError::WrongDialect { expected: "postgres" });
    }
    Ok(Protocol::postgres())
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve(serve) => serve.run(),
        Command::Check(check) => check.run(),
        Command::Classify(classify) => Ok(classify.run()?),
        Command::Version(version) => {
            version.print();
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    exit_code("comethitchd", run(argh::from_env::<CommandLine>().command))
}
