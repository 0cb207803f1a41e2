//! What the command lines of the daemon and of the operator's tool share: where a configuration is loaded from, and
//! how a failed command ends the program.

use crate::state::config::{Config, ConfigError};
use crate::state::socket::is_local_shortage;
use rustix::io::Errno;
use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// The environment variable that names the configuration if the command line does not.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";

/// How often a configuration that can't be read is tried again as a program starts, and the wait between two tries.
const START_TRIES: u32 = 20;
const START_RETRY_WAIT: Duration = Duration::from_millis(50);

/// Whether a file that can't be read for this reason may be readable a moment later.
fn may_pass(error: &io::Error) -> bool {
    is_local_shortage(error) || Errno::from_io_error(error) == Some(Errno::IO)
}

/// The files of a configuration, as the command line names them.
pub struct ConfigFiles {
    /// The configuration; without it, the environment names the file.
    pub configuration: Option<PathBuf>,
    /// The rules for statements, if there are any.
    pub statements: Option<PathBuf>,
}

impl ConfigFiles {
    /// Loads the configuration as a program starts: while this machine is short of something, or the disk fails, it is
    /// tried again for a second.
    ///
    /// # Errors
    ///
    /// As [`ConfigFiles::load`].
    pub fn load_at_start(&self) -> Result<Config, ConfigError> {
        for _ in 0..START_TRIES {
            match self.load() {
                Err(ConfigError::UnreadableFile { source, .. }) if may_pass(&source) => {
                    std::thread::sleep(START_RETRY_WAIT);
                }
                result => return result,
            }
        }
        self.load()
    }

    /// Loads the configuration, with the rules for statements.
    ///
    /// # Errors
    ///
    /// If no configuration is named, or a file can't be read or has a fault.
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

/// Loads a configuration; environment variables replace names and addresses that it lacks.
///
/// # Errors
///
/// If the file can't be read or has a fault.
pub fn load_config(path: &Path) -> Result<Config, ConfigError> {
    Config::load(path, |name| std::env::var(name).ok())
}

/// The exit code of a command; an error is printed behind the name of the program.
pub fn exit_code<E: Display>(program: &str, result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::FAILURE
        }
    }
}
