//! The discovery service that is followed, whether its watch is alive, and whether clients may be served.

use crate::state::signals::OneShotEvent;
use comethitch_policy::time::{Duration, Timestamp};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration as StdDuration;

/// Initial and minimum timeout of connections to discovery and of its responses.
pub const MIN_RESPONSE_TIMEOUT: StdDuration = StdDuration::from_millis(750);

/// The discovery service that is followed.
#[derive(Clone)]
pub struct DiscoveryService {
    /// The address of the service.
    pub address: SocketAddr,
    /// Set when another service is followed instead.
    pub replaced: OneShotEvent,
}

/// Owns what is known about the discovery service.
pub struct DiscoveryState {
    service: RefCell<DiscoveryService>,
    last_watch_event: Cell<Timestamp>,
    response_timeout: Cell<StdDuration>,
    ready: OneShotEvent,
}

impl DiscoveryState {
    /// Starts to follow the service at `address`.
    pub fn new(address: SocketAddr, now: Timestamp) -> DiscoveryState {
        let service = DiscoveryService { address, replaced: OneShotEvent::default() };
        DiscoveryState {
            service: RefCell::new(service),
            last_watch_event: Cell::new(now),
            response_timeout: Cell::new(MIN_RESPONSE_TIMEOUT),
            ready: OneShotEvent::default(),
        }
    }

    /// Returns the service that is followed now.
    pub fn service(&self) -> DiscoveryService {
        self.service.borrow().clone()
    }

    /// Follows the service at `address` instead of the current one.
    pub fn replace(&self, address: SocketAddr) {
        let service = DiscoveryService { address, replaced: OneShotEvent::default() };
        self.service.replace(service).replaced.set();
    }

    /// Lets clients be served: there is an endpoint list, or the wait for the first one has ended.
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

    /// Records that the watch sent a line; empty lines are keep-alives.
    pub fn record_watch_event(&self, now: Timestamp) {
        self.last_watch_event.set(now);
    }

    /// Returns how long the watch has sent nothing.
    pub fn watch_silence(&self, now: Timestamp) -> Duration {
        now - self.last_watch_event.get()
    }
}
