//! The command line.

use argh::FromArgs;
use comethitch_statement::Dialect;
use comethitchd::protocols::tds::settings::TdsSettings;
use comethitchd::service::classify::Classify;
use comethitchd::service::listen::{self, Protocol};
use comethitchd::service::logger::{self, LogForm};
use comethitchd::state::clock::Clock;
use comethitchd::state::config::{Config, ConfigError};
use log::LevelFilter;
use std::path::PathBuf;
use std::process::ExitCode;

/// A query router for sharded, replicated databases.
#[derive(FromArgs)]
struct Line {
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

/// Serve clients until SIGTERM; SIGHUP reads the configuration again.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration; without it, the file that RELAY_CONFIG names
    #[argh(option)]
    configuration: Option<PathBuf>,
    /// the rules by which statements are judged by their text; without it, comments alone count
    #[argh(option)]
    statements: Option<PathBuf>,
    /// the ways of TDS, as in deploy/tds.json; without it, PostgreSQL's protocol is spoken
    #[argh(option)]
    tds: Option<PathBuf>,
    /// what to log: error, warn, info, debug or trace; info if not given
    #[argh(option, default = "LevelFilter::Info")]
    log: LevelFilter,
    /// how to write the log: text or json; text if not given
    #[argh(option, default = "LogForm::Text")]
    log_form: LogForm,
}

/// Read the configuration, say what is wrong with it, and serve nothing.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration; without it, the file that RELAY_CONFIG names
    #[argh(option)]
    configuration: Option<PathBuf>,
    /// the rules by which statements are judged by their text, to be checked too
    #[argh(option)]
    statements: Option<PathBuf>,
    /// the ways of TDS, to be checked too
    #[argh(option)]
    tds: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn load(configuration: &Option<PathBuf>, statements: &Option<PathBuf>) -> Result<Config, ConfigError> {
    let named = configuration.clone().or_else(|| std::env::var_os("RELAY_CONFIG").map(PathBuf::from));
    let path = named.ok_or(ConfigError::NoFile)?;
    let site = Config::load(&path, |name| std::env::var(name).ok())?;
    match statements {
        Some(path) => site.with_statement_rules_file(path),
        None => Ok(site),
    }
}

fn protocol(tds: &Option<PathBuf>, site: &Config) -> Result<Protocol, String> {
    match tds {
        Some(path) => Protocol::tds(TdsSettings::load(path).map_err(|e| e.to_string())?, site),
        None if site.statements.as_ref().is_some_and(|rules| rules.dialect != Dialect::Postgres) => {
            Err("the rules for statements are not of the dialect postgres".into())
        }
        None => Ok(Protocol::postgres()),
    }
}

fn carry_out(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(serve) => {
            let clock = Clock::start();
            logger::start(serve.log, serve.log_form);
            let (path, rules) = (serve.configuration, serve.statements);
            let site = load(&path, &rules).map_err(|e| e.to_string())?;
            let protocol = protocol(&serve.tds, &site)?;
            listen::run(site, clock, protocol, move || load(&path, &rules))
        }
        Command::Check(check) => {
            let site = load(&check.configuration, &check.statements).map_err(|e| e.to_string())?;
            protocol(&check.tds, &site)?;
            let (groups, hosts) = (site.groups.len(), site.known.entries.len());
            println!(
                "{} would listen on {}: {groups} command groups, {hosts} hosts known",
                site.name, site.listen
            );
            if let Some(rules) = &site.statements {
                let (groups, keys) = (rules.groups.len(), rules.keys.len());
                println!(
                    "statements would be judged by {groups} rules for command groups and {keys} for keys"
                );
            }
            Ok(())
        }
        Command::Classify(classify) => classify.run(),
        Command::Version(_) => {
            println!("comethitchd {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match carry_out(argh::from_env::<Line>().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("comethitchd: {message}");
            ExitCode::FAILURE
        }
    }
}
