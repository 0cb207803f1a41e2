//! Faults of the system's calls in a process under test: calls that are interrupted, short or fail for a moment, and a
//! wall clock that is wrong.
//!
//! They are made by a small library in C (`shim/system_calls.c`, which lists the settings) that is loaded in front of
//! the C library. It is compiled here, by the C compiler that links Rust programs on this machine, and belongs to
//! tests and tools alone. What the async layer asks of the kernel directly does not pass through it, unless the
//! program is built with `--cfg rustix_use_libc`.

use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The library's source.
const SOURCE: &str = include_str!("../shim/system_calls.c");
/// The environment variable that holds the library's settings.
const SETTINGS_VARIABLE: &str = "COMETHITCH_FAULTS";
/// The environment variable that names libraries to load first.
const PRELOAD_VARIABLE: &str = "LD_PRELOAD";

/// The compiled library.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SystemCallFaults {
    library: PathBuf,
}

impl SystemCallFaults {
    /// Compiles the library into a folder that exists.
    ///
    /// # Errors
    /// If the folder can't be written to, there is no C compiler, or it fails.
    pub fn compile(folder: &Path) -> io::Result<SystemCallFaults> {
        // A name of its own for each process: several may compile at once, and one may have it loaded.
        let library = folder.join(format!("system_calls-{}.so", std::process::id()));
        let source = library.with_extension("c");
        std::fs::write(&source, SOURCE)?;
        let compiler = std::env::var_os("CC").unwrap_or_else(|| OsString::from("cc"));
        let status = Command::new(compiler)
            .args(["-O1", "-shared", "-fPIC", "-Wall", "-Werror", "-o"])
            .args([&library, &source])
            .status()?;
        if !status.success() {
            return Err(io::Error::other(format!("the C compiler ended with {status}")));
        }
        Ok(SystemCallFaults { library })
    }

    /// The environment of a process whose calls fail by these settings: names and values.
    pub fn environment(&self, settings: &str) -> [(&'static str, OsString); 2] {
        [(PRELOAD_VARIABLE, self.library.clone().into()), (SETTINGS_VARIABLE, settings.into())]
    }
}
