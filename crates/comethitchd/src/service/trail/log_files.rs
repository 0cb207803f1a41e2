//! Finds and reads log files.

use crate::service::trail::error::TrailError;
use crate::service::trail::summary::LogSummary;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Returns the given files, and the files in the given folders, sorted by name within each folder.
pub(super) fn find(paths: &[PathBuf]) -> Result<Vec<PathBuf>, TrailError> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let entries = std::fs::read_dir(path).map_err(|source| unreadable(path, source))?;
        let mut paths: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
        paths.sort();
        files.extend(paths.into_iter().filter(|path| path.is_file()));
    }
    if files.is_empty() {
        return Err(TrailError::NoLogs);
    }
    Ok(files)
}

/// Adds the lines of a file to the summary. The file name without its extension is used as the name of the
/// router.
pub(super) fn read(summary: &mut LogSummary, file: &Path) -> Result<(), TrailError> {
    let router = file.file_stem().unwrap_or_default().to_string_lossy();
    let opened = File::open(file).map_err(|source| unreadable(file, source))?;
    for line in BufReader::new(opened).lines().map_while(Result::ok) {
        summary.add_line(&router, &line);
    }
    Ok(())
}

fn unreadable(path: &Path, source: io::Error) -> TrailError {
    TrailError::Unreadable { path: path.to_path_buf(), source }
}
