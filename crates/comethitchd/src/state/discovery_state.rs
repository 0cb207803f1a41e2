//! Which discovery service is followed, and whether its watch is alive.

use crate::state::signals::OneShotEvent;
use comethitch_policy::time::{Duration, Timestamp};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

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
}

impl DiscoveryState {
    /// Follows the service at `address`.
    pub fn new(address: SocketAddr, now: Timestamp) -> DiscoveryState {
        let service = DiscoveryService { address, replaced: OneShotEvent::default() };
        DiscoveryState { service: RefCell::new(service), last_watch_event: Cell::new(now) }
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

    /// Records that the watch sent something, were it an empty line.
    pub fn record_watch_event(&self, now: Timestamp) {
        self.last_watch_event.set(now);
    }

    /// For how long the watch has sent nothing.
    pub fn watch_silence(&self, now: Timestamp) -> Duration {
        now - self.last_watch_event.get()
    }
}
