//! The errors of `trail`.

use std::io;
use std::path::PathBuf;

/// Why logs can't be summarized, or no lines can be printed for an id.
#[derive(Debug, thiserror::Error)]
pub enum TrailError {
    /// No path is given, or the given folders contain no files.
    #[error("no log files found: pass log files, or folders that contain them")]
    NoLogs,
    /// A file or a folder can't be read.
    #[error("{} can't be read: {source}", path.display())]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// No line contains the id.
    #[error("no line contains id={id}")]
    UnknownId {
        /// The id.
        id: String,
    },
}
