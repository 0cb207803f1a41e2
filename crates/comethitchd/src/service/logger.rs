//! The log: one line each on standard error.

use crate::service::clock::Clock;
use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;

struct Logger(Clock);

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("comethitch")
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let now = self.0.now().0;
            let (seconds, part) = (now / 1_000_000, now % 1_000_000 / 1_000);
            let line = format!("{seconds}.{part:03} {:5} {}\n", record.level(), record.args());
            // A log that can't be written is no reason to stop serving.
            let _ = std::io::stderr().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

/// Starts the log; a second call changes nothing.
pub fn start(clock: Clock, level: LevelFilter) {
    if log::set_boxed_logger(Box::new(Logger(clock))).is_ok() {
        log::set_max_level(level);
    }
}
