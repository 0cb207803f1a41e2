//! Code shared by the command lines of the daemon and the operator's tool: loads the configuration files, and
//! turns the result of a command into an exit code.

use crate::state::config::{Config, ConfigError};
use crate::state::socket::is_local_shortage;
use rustix::io::Errno;
use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Environment variable with the path of the configuration file, used if the command line does not set it.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Maximum number of retries at start if a configuration file can't be read.
const MAX_START_RETRIES: u32 = 20;
/// Delay between retries at start.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether reading the file may succeed a moment after this error.
fn is_transient(error: &io::Error) -> bool {
    is_local_shortage(error) || Errno::from_io_error(error) == Some(Errno::IO)
}

/// Paths of the configuration files, from the command line.
pub struct ConfigFiles {
    /// The configuration file; if `None`, the environment variable `RELAY_CONFIG` sets its path.
    pub configuration: Option<PathBuf>,
    /// The file of statement rules; `None` if there are none.
    pub statements: Option<PathBuf>,
}

impl ConfigFiles {
    /// Loads the configuration when the program starts, and retries for a second if a file can't be read
    /// because of an I/O error or a shortage of local resources.
    ///
    /// # Errors
    ///
    /// See [`ConfigFiles::load`].
    pub fn load_at_start(&self) -> Result<Config, ConfigError> {
        for _ in 0..MAX_START_RETRIES {
            match self.load() {
                Err(ConfigError::UnreadableFile { source, .. }) if is_transient(&source) => {
                    std::thread::sleep(START_RETRY_INTERVAL);
                }
                result => return result,
            }
        }
        self.load()
    }

    /// Loads the configuration and the statement rules.
    ///
    /// # Errors
    ///
    /// If the path of the configuration is not set, or a file can't be read or is invalid.
    pub fn load(&self) -> Result<Config, ConfigError> {
        let from_environment = || std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from);
        let path = self.configuration.clone().or_else(from_environment).ok_or(ConfigError::NoFile)?;
        let config = load_config(&path)?;
        match &self.statements {
            Some(path) => config.with_statement_rules_file(path),
            None => Ok(config),
        }
    }
}

/// Loads a configuration file. Environment variables supply the name and the addresses if the file does not
/// contain them.
///
/// # Errors
///
/// If the file can't be read or is invalid.
pub fn load_config(path: &Path) -> Result<Config, ConfigError> {
    Config::load(path, |name| std::env::var(name).ok())
}

/// Returns the exit code of a command. If the command failed, prints the program's name and the error to
/// standard error.
pub fn exit_code<E: Display>(program: &str, result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::FAILURE
        }
    }
}
