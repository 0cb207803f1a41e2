//! The library in C that injects faults of system calls into a process.

use super::SystemCallFaults;
use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Source of the library.
const SOURCE: &str = include_str!("../../shim/system_calls.c");
/// Environment variable with the settings of the library.
const SETTINGS_VARIABLE: &str = "COMETHITCH_FAULTS";
/// Environment variable with the libraries that the dynamic linker loads first.
const PRELOAD_VARIABLE: &str = "LD_PRELOAD";

/// The compiled library, for tests and tools only.
///
/// System calls that the async layer makes without the C library do not pass through it, unless the program
/// is built with `--cfg rustix_use_libc`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultLibrary {
    path: PathBuf,
}

impl FaultLibrary {
    /// Compiles the library into an existing folder, with the C compiler that links Rust programs.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is not writable, or if the C compiler is missing or fails.
    pub fn compile(folder: &Path) -> io::Result<FaultLibrary> {
        // The process id keeps the files of processes apart that compile into one folder at the same time.
        let path = folder.join(format!("system_calls-{}.so", std::process::id()));
        let source = path.with_extension("c");
        std::fs::write(&source, SOURCE)?;
        let compiler = std::env::var_os("CC").unwrap_or_else(|| OsString::from("cc"));
        let status = Command::new(compiler)
            .args(["-O1", "-shared", "-fPIC", "-Wall", "-Werror", "-o"])
            .args([&path, &source])
            .status()?;
        if !status.success() {
            return Err(io::Error::other(format!("the C compiler failed with {status}")));
        }
        Ok(FaultLibrary { path })
    }

    /// Returns the environment variables, names and values, of a process with these faults.
    pub fn environment(&self, faults: &SystemCallFaults) -> [(&'static str, OsString); 2] {
        let settings = faults.to_string();
        [(PRELOAD_VARIABLE, self.path.clone().into()), (SETTINGS_VARIABLE, settings.into())]
    }
}
