//! The registry of open client connections: their phases, their idle timeouts, and which one is evicted first as
//! descriptors run short.

use crate::state::signals::{CloseRequest, ConnectionSignal};
use comethitch_policy::time::{Duration, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;

/// With no descriptor left, a connection may be evicted before its first command after this part of the shortened
/// timeout.
const LAST_RESORT_DIVISOR: u64 = 8;

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// It was sent an error that ends it; what it still sends is discarded.
    Closing,
    /// Its first command, or the rest of a command that has begun, is awaited.
    Reading,
    /// Its last command was answered, and no other has begun.
    Idle,
    /// A command of its own is in progress.
    Busy,
}

struct OpenConnection {
    phase: ConnectionPhase,
    since: Timestamp,
    signal: Rc<ConnectionSignal>,
}

/// How long a connection may stay in a phase.
pub struct IdleTimeouts {
    /// For reading a complete command, and for discarding what is sent after an error. A connection that is idle for
    /// as long may be evicted.
    pub command: Duration,
    /// Until an idle connection is closed in any case.
    pub idle: Duration,
    /// In place of `command` while descriptors are short or the router stops.
    pub shortened: Duration,
}

/// The clients' open connections.
pub struct ClientRegistry {
    timeouts: IdleTimeouts,
    next_number: Cell<u32>,
    stopping: Cell<bool>,
    open: RefCell<BTreeMap<u32, OpenConnection>>,
}

impl ClientRegistry {
    /// An empty registry.
    pub fn new(timeouts: IdleTimeouts) -> ClientRegistry {
        ClientRegistry {
            timeouts,
            next_number: Cell::default(),
            stopping: Cell::default(),
            open: RefCell::default(),
        }
    }

    /// Registers a connection; returns its number, and the signal that asks it to close.
    pub fn register(&self, now: Timestamp) -> (u32, Rc<ConnectionSignal>) {
        // From the operating system's random numbers: no other client may guess it.
        let cancel_key = RandomState::new().build_hasher().finish() as u32;
        let signal = Rc::new(ConnectionSignal::new(cancel_key));
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let connection =
            OpenConnection { phase: ConnectionPhase::Reading, since: now, signal: signal.clone() };
        self.open.borrow_mut().insert(number, connection);
        (number, signal)
    }

    /// Cancels the command in progress on a connection, if the caller knows its cancel key.
    pub fn cancel_command(&self, number: u32, cancel_key: u32) {
        let open = self.open.borrow();
        if let Some(connection) = open.get(&number).filter(|open| open.signal.cancel_key == cancel_key) {
            connection.signal.cancel();
        }
    }

    /// Removes a connection that has ended.
    pub fn unregister(&self, number: u32) {
        self.open.borrow_mut().remove(&number);
    }

    /// Sets what a connection is doing; setting the same phase again does not restart its timeout.
    pub fn set_phase(&self, number: u32, phase: ConnectionPhase, now: Timestamp) {
        let mut open = self.open.borrow_mut();
        if let Some(connection) = open.get_mut(&number).filter(|open| open.phase != phase) {
            connection.phase = phase;
            connection.since = now;
        }
    }

    /// Asks one connection to close, to free its descriptor: one that was sent an error, or has sent no command for a
    /// while, or has long been idle. With no descriptor left (`exhausted`), also one that hardly had the time to send
    /// a command; and any idle one only if no connection is new.
    pub fn evict_idle(&self, now: Timestamp, exhausted: bool) {
        let open = self.open.borrow();
        let awaits_input = |connection: &OpenConnection| {
            matches!(connection.phase, ConnectionPhase::Reading | ConnectionPhase::Closing)
        };
        let any_idle = exhausted && !open.values().any(awaits_input);
        let candidates =
            open.values().filter(|connection| connection.signal.close_requested() != CloseRequest::Now);
        let ranked = candidates.filter_map(|connection| {
            let rank = self.eviction_rank(connection, now, exhausted, any_idle)?;
            Some((rank, connection.since, &connection.signal))
        });
        if let Some((_, _, signal)) = ranked.min_by_key(|(rank, since, _)| (*rank, *since)) {
            signal.request_close(CloseRequest::Now);
        }
    }

    /// The lowest rank is evicted first; none may not be evicted.
    fn eviction_rank(
        &self, connection: &OpenConnection, now: Timestamp, exhausted: bool, any_idle: bool,
    ) -> Option<u8> {
        let IdleTimeouts { command, shortened, .. } = self.timeouts;
        let age = now - connection.since;
        match connection.phase {
            ConnectionPhase::Closing if age >= shortened => Some(0),
            ConnectionPhase::Reading if age >= shortened => Some(1),
            ConnectionPhase::Idle if age >= command => Some(2),
            ConnectionPhase::Reading if exhausted && age >= shortened / LAST_RESORT_DIVISOR => Some(3),
            ConnectionPhase::Idle if any_idle => Some(4),
            _ => None,
        }
    }

    /// Asks connections to close that have been in one phase for too long.
    pub fn close_expired(&self, now: Timestamp) {
        let IdleTimeouts { command, idle, shortened } = self.timeouts;
        for connection in self.open.borrow().values() {
            let limit = match connection.phase {
                ConnectionPhase::Busy => continue,
                ConnectionPhase::Idle => idle,
                _ if self.stopping.get() => shortened,
                _ => command,
            };
            if now - connection.since >= limit {
                connection.signal.request_close(CloseRequest::Now);
            }
        }
    }

    /// Asks every connection to close once it has no command in progress.
    pub fn close_all(&self) {
        self.stopping.set(true);
        let open = self.open.borrow();
        open.values().for_each(|connection| connection.signal.request_close(CloseRequest::WhenIdle));
    }

    /// How many connections are open.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
