//! Flags for the signals that the process has received. The handlers only set a flag, which needs no system
//! call that could fail and lose the signal.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

/// The signals received so far.
#[derive(Debug, Default)]
pub(crate) struct ReceivedSignals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl ReceivedSignals {
    /// Registers handlers that replace the default actions of SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    ///
    /// If the system rejects a handler.
    pub(crate) fn register() -> io::Result<ReceivedSignals> {
        let signals = ReceivedSignals::default();
        flag::register(SIGTERM, signals.stop.clone())?;
        flag::register(SIGINT, signals.stop.clone())?;
        flag::register(SIGHUP, signals.reload.clone())?;
        Ok(signals)
    }

    /// Returns whether SIGTERM or SIGINT was received.
    pub(crate) fn stop_requested(&self) -> bool {
        self.stop.load(SeqCst)
    }

    /// Returns whether SIGHUP was received since the last call. Several signals in between count as one,
    /// because the caller loads the configuration after this call and so sees the changes of all of them.
    pub(crate) fn take_reload(&self) -> bool {
        self.reload.swap(false, SeqCst)
    }
}
