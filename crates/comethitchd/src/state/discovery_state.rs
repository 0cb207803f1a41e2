//! Which discovery service is followed, and whether its watch is alive.

use crate::state::signals::OneShotEvent;
use comethitch_policy::time::{Duration, Timestamp};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration as StdDuration;

/// Discovery usually answers at once: a connection, or a response, that takes longer is abandoned at first.
pub const MIN_RESPONSE_TIMEOUT: StdDuration = StdDuration::from_millis(750);

/// The discovery service that is followed.
#[derive(Clone)]
pub struct DiscoveryService {
    /// Its address.
    pub address: SocketAddr,
    /// Set once another one is followed in its place.
    pub replaced: OneShotEvent,
}

/// The discovery service that is followed, and when its watch last sent something.
pub struct DiscoveryState {
    service: RefCell<DiscoveryService>,
    last_watch_event: Cell<Timestamp>,
    /// How long a response may take.
    response_timeout: Cell<StdDuration>,
    ready: OneShotEvent,
}

impl DiscoveryState {
    /// Follows the service at `address`.
    pub fn new(address: SocketAddr, now: Timestamp) -> DiscoveryState {
        let service = DiscoveryService { address, replaced: OneShotEvent::default() };
        DiscoveryState {
            service: RefCell::new(service),
            last_watch_event: Cell::new(now),
            response_timeout: Cell::new(MIN_RESPONSE_TIMEOUT),
            ready: OneShotEvent::default(),
        }
    }

    /// The service that is followed now.
    pub fn service(&self) -> DiscoveryService {
        self.service.borrow().clone()
    }

    /// Follows the service at `address` in place of the one before.
    pub fn replace(&self, address: SocketAddr) {
        let service = DiscoveryService { address, replaced: OneShotEvent::default() };
        self.service.replace(service).replaced.set();
    }

    /// Lets clients be served, as there is an endpoint list or none is waited for any longer.
    pub fn set_ready(&self) {
        self.ready.set();
    }

    /// Waits until clients may be served.
    pub async fn wait_until_ready(&self) {
        self.ready.wait().await;
    }

    /// How long a response may take.
    pub fn response_timeout(&self) -> StdDuration {
        self.response_timeout.get()
    }

    /// Sets how long a response may take from now on.
    pub fn set_response_timeout(&self, timeout: StdDuration) {
        self.response_timeout.set(timeout);
    }

    /// Records that the watch sent something, were it an empty line.
    pub fn record_watch_event(&self, now: Timestamp) {
        self.last_watch_event.set(now);
    }

    /// For how long the watch has sent nothing.
    pub fn watch_silence(&self, now: Timestamp) -> Duration {
        now - self.last_watch_event.get()
    }
}
