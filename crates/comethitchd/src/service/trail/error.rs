//! The errors of `trail`.

use std::io;
use std::path::PathBuf;

/// Why logs can't be summed, or an id can't be followed.
#[derive(Debug, thiserror::Error)]
pub enum TrailError {
    /// No file is given, or the folders contain none.
    #[error("no logs given: name files or folders of them")]
    NoLogs,
    /// A file or a folder can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// No line contains the id to follow.
    #[error("no line names id={id}")]
    UnknownId {
        /// The id.
        id: String,
    },
}
