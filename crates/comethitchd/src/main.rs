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

/// Serve clients until SIGTERM or SIGINT; SIGHUP reloads the configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration file; by default the file that the environment variable `RELAY_CONFIG` names
    #[argh(option)]
    configuration: Option<PathBuf>,
    /// the file of statement rules, in the format of deploy/statements.json; without it, statements need a
    /// comment
    #[argh(option)]
    statements: Option<PathBuf>,
    /// the file of TDS settings, in the format of deploy/tds.json; without it, the router speaks the
    /// PostgreSQL protocol
    #[argh(option)]
    tds: Option<PathBuf>,
    /// the log level: error, warn, info (default), debug or trace
    #[argh(option, default = "LevelFilter::Info")]
    log: LevelFilter,
    /// the log format: text (default) or json
    #[argh(option, default = "LogFormat::Text")]
    log_form: LogFormat,
}

/// Check the configuration files and report errors, without serving clients.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration file; by default the file that the environment variable `RELAY_CONFIG` names
    #[argh(option)]
    configuration: Option<PathBuf>,
    /// the file of statement rules to check
    #[argh(option)]
    statements: Option<PathBuf>,
    /// the file of TDS settings to check
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
        "configuration is valid: router {} at {}, {classes} request classes, {hosts} initial hosts",
        config.name, config.listen
    );
    if let Some(rules) = &config.statements {
        let class_rules = rules.classes.len();
        let key_rules = rules.keys.len();
        println!("statement rules are valid: {class_rules} rules for request classes, {key_rules} for keys");
    }
}

impl Version {
    fn print(&self) {
        println!("comethitchd {}", env!("CARGO_PKG_VERSION"));
    }
}

/// Returns TDS if the path of its settings is given, and the PostgreSQL protocol otherwise.
fn choose_protocol(tds_settings: Option<&Path>, config: &Config) -> Result<Protocol, ProtocolError> {
    if let Some(path) = tds_settings {
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
