//! Handles signals: stops the router on SIGTERM and SIGINT, and reloads its configuration on SIGHUP.

use crate::service::received_signals::ReceivedSignals;
use crate::stages::updates;
use crate::state::config::{Config, ConfigError};
use crate::state::router_state::RouterState;
use crate::state::signals::OneShotEvent;
use async_io::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long to retry a reload after SIGHUP while the configuration can't be read or is invalid. A new
/// configuration must be in effect four seconds after the signal.
const RELOAD_RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between attempts to reload the configuration.
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which received signals are polled.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Handles signals; never completes. A repeated stop signal has no effect, because it must not kill a router
/// that is shutting down.
pub(crate) async fn handle_signals(
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

/// A requested reload. It is retried because the file may be temporarily unreadable or not yet completely
/// written.
#[derive(Clone, Copy)]
struct PendingReload {
    next_attempt_at: Instant,
    give_up_at: Instant,
    has_failed: bool,
}

impl PendingReload {
    fn new(now: Instant) -> PendingReload {
        PendingReload { next_attempt_at: now, give_up_at: now + RELOAD_RETRY_TIMEOUT, has_failed: false }
    }

    /// Reloads the configuration if an attempt is due. Returns the reload if it is still pending, `None` once
    /// it has succeeded or been given up.
    fn try_once(
        mut self, state: &RouterState, load_config: &impl Fn() -> Result<Config, ConfigError>,
    ) -> Option<PendingReload> {
        let now = Instant::now();
        if now < self.next_attempt_at {
            return Some(self);
        }
        let error = updates::reload(state, load_config()).err()?;
        if !self.has_failed {
            let retry_timeout_ms = RELOAD_RETRY_TIMEOUT.as_millis() as u64;
            log::error!(retry_timeout_ms, error:%; "configuration reload failed, retrying");
        }
        if now >= self.give_up_at {
            log::error!(error:%; "configuration reload failed, keeping the current configuration");
            return None;
        }
        self.has_failed = true;
        self.next_attempt_at = now + RELOAD_RETRY_INTERVAL;
        Some(self)
    }
}
