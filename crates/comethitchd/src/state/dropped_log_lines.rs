//! Counts the log lines that could not be written. The count is global because the logger is global.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Counts a log line that could not be written.
pub fn record_dropped_line() {
    DROPPED_LINES.fetch_add(1, Relaxed);
}

/// Returns the number of log lines that could not be written since the last call.
pub fn take_dropped_lines() -> u64 {
    DROPPED_LINES.swap(0, Relaxed)
}
