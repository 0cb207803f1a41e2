//! The signals that the process has received, as flags: no system call is made between a signal and its flag, so that
//! none can fail and lose it.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

/// Which signals have come.
#[derive(Debug, Default)]
pub struct ReceivedSignals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl ReceivedSignals {
    /// Takes over SIGTERM, SIGINT and SIGHUP from their default actions.
    ///
    /// # Errors
    /// If the system does not allow it.
    pub fn register() -> io::Result<ReceivedSignals> {
        let signals = ReceivedSignals::default();
        flag::register(SIGTERM, signals.stop.clone())?;
        flag::register(SIGINT, signals.stop.clone())?;
        flag::register(SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }

    /// Whether the router was asked to stop, by SIGTERM or SIGINT.
    pub fn stop_requested(&self) -> bool {
        self.stop.load(SeqCst)
    }

    /// Whether the router was asked to reload its configuration (SIGHUP) since the last call. Signals that come
    /// together count once: the configuration is read after the flag is taken.
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, SeqCst)
    }
}
