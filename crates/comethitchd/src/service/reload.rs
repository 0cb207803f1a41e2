//! Acts on signals: SIGTERM and SIGINT ask the router to stop, SIGHUP to read its configuration again.

use crate::service::received_signals::ReceivedSignals;
use crate::stages::updates;
use crate::state::config::{Config, ConfigError};
use crate::state::router_state::RouterState;
use crate::state::signals::OneShotEvent;
use async_io::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// For so long a configuration that can't be read or is faulty is read again: what it says counts four seconds after the
/// signal.
const RELOAD_PATIENCE: Duration = Duration::from_secs(3);
/// The wait between two of these tries.
const RELOAD_RETRY_WAIT: Duration = Duration::from_millis(100);
/// How often it is looked at whether a signal has come.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Handles signals up to the end: neither signal to stop may kill a router that is shutting down.
pub async fn handle_signals(
    state: Rc<RouterState>, signals: ReceivedSignals, stop: OneShotEvent,
    load_config: impl Fn() -> Result<Config, ConfigError>,
) {
    let mut pending = None;
    loop {
        Timer::after(SIGNAL_POLL_INTERVAL).await;
        if signals.take_reload() {
            pending = Some(PendingReload::new(Instant::now()));
        }
        pending = pending.and_then(|reload: PendingReload| reload.try_once(&state, &load_config));
        if signals.stop_requested() {
            stop.set();
        }
    }
}

/// A reload that was asked for. The file may still be being written, or be out of reach for a moment: it is read again for
/// a while.
#[derive(Clone, Copy)]
struct PendingReload {
    next_try: Instant,
    give_up_at: Instant,
    has_failed: bool,
}

impl PendingReload {
    fn new(now: Instant) -> PendingReload {
        PendingReload { next_try: now, give_up_at: now + RELOAD_PATIENCE, has_failed: false }
    }

    /// Reads the configuration if it is time to. Returns what is still pending.
    fn try_once(
        mut self, state: &RouterState, load_config: &impl Fn() -> Result<Config, ConfigError>,
    ) -> Option<PendingReload> {
        let now = Instant::now();
        if now < self.next_try {
            return Some(self);
        }
        let error = updates::reload(state, load_config()).err()?;
        if !self.has_failed {
            log::error!(
                "the configuration stays as it was: {error}; it is read again for {RELOAD_PATIENCE:?}"
            );
        }
        if now >= self.give_up_at {
            log::error!("the configuration stays as it was until the next SIGHUP: {error}");
            return None;
        }
        self.has_failed = true;
        self.next_try = now + RELOAD_RETRY_WAIT;
        Some(self)
    }
}
