//! The discovery service in use, when its watch last sent something, and whether clients may be served.

use crate::state::signals::OneShotEvent;
use comethitch_policy::time::{Duration, Timestamp};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration as StdDuration;

/// Initial and minimum timeout of connections to discovery and of its responses. Discovery usually answers at
/// once, so a connection or a first response that takes longer is abandoned.
pub const MIN_RESPONSE_TIMEOUT: StdDuration = StdDuration::from_millis(750);

/// A discovery service that the router gets endpoint lists from.
#[derive(Clone)]
pub struct DiscoveryService {
    /// The address of the service.
    pub address: SocketAddr,
    /// Set when the router switches to another service.
    pub replaced: OneShotEvent,
}

/// The state of the connection to discovery.
pub struct DiscoveryState {
    service: RefCell<DiscoveryService>,
    last_watch_event: Cell<Timestamp>,
    response_timeout: Cell<StdDuration>,
    ready: OneShotEvent,
}

impl DiscoveryState {
    /// Starts with the service at `address`.
    pub fn new(address: SocketAddr, now: Timestamp) -> DiscoveryState {
        let service = DiscoveryService { address, replaced: OneShotEvent::default() };
        DiscoveryState {
            service: RefCell::new(service),
            last_watch_event: Cell::new(now),
            response_timeout: Cell::new(MIN_RESPONSE_TIMEOUT),
            ready: OneShotEvent::default(),
        }
    }

    /// Returns the service in use.
    pub fn service(&self) -> DiscoveryService {
        self.service.borrow().clone()
    }

    /// Switches to the service at `address`.
    pub fn replace(&self, address: SocketAddr) {
        let service = DiscoveryService { address, replaced: OneShotEvent::default() };
        self.service.replace(service).replaced.set();
    }

    /// Allows clients to be served, because an endpoint list was received or the wait for the first one has
    /// ended.
    pub fn set_ready(&self) {
        self.ready.set();
    }

    /// Waits until clients may be served.
    pub async fn wait_until_ready(&self) {
        self.ready.wait().await;
    }

    /// Returns the timeout of a response.
    pub fn response_timeout(&self) -> StdDuration {
        self.response_timeout.get()
    }

    /// Sets the timeout of later responses.
    pub fn set_response_timeout(&self, timeout: StdDuration) {
        self.response_timeout.set(timeout);
    }

    /// Records that the watch sent a line. Empty lines, which are keep-alives, count.
    pub fn record_watch_event(&self, now: Timestamp) {
        self.last_watch_event.set(now);
    }

    /// Returns the time since the watch last sent a line.
    pub fn watch_silence(&self, now: Timestamp) -> Duration {
        now - self.last_watch_event.get()
    }
}
