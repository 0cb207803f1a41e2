//! The registry of open client connections: their phases, their idle timeouts, and which one is evicted first as
//! descriptors run short.

use crate::state::signals::{CloseRequest, ConnectionSignal};
use comethitch_policy::time::{Duration, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;

/// With no descriptor left, a connection may be evicted before its first request after this part of the shortened
/// timeout.
const LAST_RESORT_DIVISOR: u64 = 8;

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPhase {
    /// It was sent an error that ends it; what it still sends is discarded.
    Closing,
    /// Its first request, or the rest of a request that has begun, is awaited.
    Reading,
    /// Its last request was answered, and no other has begun.
    Idle,
    /// A request of its own is in progress.
    Busy,
}

impl ConnectionPhase {
    /// Whether the client has to send something next, or has something to discard sent.
    fn awaits_input(self) -> bool {
        matches!(self, ConnectionPhase::Reading | ConnectionPhase::Closing)
    }
}

struct OpenConnection {
    phase: ConnectionPhase,
    since: Timestamp,
    signal: Rc<ConnectionSignal>,
}

/// The open connections, and their order: who is to be closed next is found without looking at all.
#[derive(Default)]
struct OpenConnections {
    by_number: BTreeMap<u32, OpenConnection>,
    /// Those that were not asked to close at once, by phase and by the time since which they are in it.
    by_phase: BTreeSet<(ConnectionPhase, Timestamp, u32)>,
    /// How many await input, also of those that were asked to close.
    awaiting_input: usize,
}

impl OpenConnections {
    fn insert(&mut self, number: u32, connection: OpenConnection) {
        self.awaiting_input += usize::from(connection.phase.awaits_input());
        self.by_phase.insert((connection.phase, connection.since, number));
        self.by_number.insert(number, connection);
    }

    fn remove(&mut self, number: u32) {
        if let Some(connection) = self.by_number.remove(&number) {
            self.awaiting_input -= usize::from(connection.phase.awaits_input());
            self.by_phase.remove(&(connection.phase, connection.since, number));
        }
    }

    fn set_phase(&mut self, number: u32, phase: ConnectionPhase, now: Timestamp) {
        let Some(connection) = self.by_number.get_mut(&number) else { return };
        if connection.phase == phase {
            return;
        }
        let may_be_closed = self.by_phase.remove(&(connection.phase, connection.since, number));
        self.awaiting_input -= usize::from(connection.phase.awaits_input());
        self.awaiting_input += usize::from(phase.awaits_input());
        connection.phase = phase;
        connection.since = now;
        if may_be_closed {
            self.by_phase.insert((phase, now, number));
        }
    }

    /// The connection that has been in a phase the longest, and since when.
    fn longest_in(&self, phase: ConnectionPhase) -> Option<(Timestamp, u32)> {
        let (found, since, number) = self.by_phase.range((phase, Timestamp::ZERO, 0)..).next()?;
        (*found == phase).then_some((*since, *number))
    }

    /// Asks a connection to close at once.
    fn close_now(&mut self, number: u32) {
        if let Some(connection) = self.by_number.get(&number) {
            connection.signal.request_close(CloseRequest::Now);
            self.by_phase.remove(&(connection.phase, connection.since, number));
        }
    }
}

/// How long a connection may stay in a phase.
pub struct IdleTimeouts {
    /// For reading a complete request, and for discarding what is sent after an error. A connection that is idle for
    /// as long may be evicted.
    pub request: Duration,
    /// Until an idle connection is closed in any case.
    pub idle: Duration,
    /// In place of `request` while descriptors are short or the router stops.
    pub shortened: Duration,
}

/// The clients' open connections.
pub struct ClientRegistry {
    timeouts: IdleTimeouts,
    next_number: Cell<u32>,
    stopping: Cell<bool>,
    open: RefCell<OpenConnections>,
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

    /// Cancels the request in progress on a connection, if the caller knows its cancel key.
    pub fn cancel_request(&self, number: u32, cancel_key: u32) {
        let open = self.open.borrow();
        if let Some(connection) =
            open.by_number.get(&number).filter(|open| open.signal.cancel_key == cancel_key)
        {
            connection.signal.cancel();
        }
    }

    /// Removes a connection that has ended.
    pub fn unregister(&self, number: u32) {
        self.open.borrow_mut().remove(number);
    }

    /// Sets what a connection is doing; setting the same phase again does not restart its timeout.
    pub fn set_phase(&self, number: u32, phase: ConnectionPhase, now: Timestamp) {
        self.open.borrow_mut().set_phase(number, phase, now);
    }

    /// Asks one connection to close, to free its descriptor: one that was sent an error, or has sent no request for a
    /// while, or has long been idle. With no descriptor left (`exhausted`), also one that hardly had the time to send
    /// a request; and any idle one only if no connection is new.
    pub fn evict_idle(&self, now: Timestamp, exhausted: bool) {
        let mut open = self.open.borrow_mut();
        if let Some(number) = self.next_to_evict(&open, now, exhausted) {
            open.close_now(number);
        }
    }

    /// The connection that is evicted first; none if no connection may be evicted.
    fn next_to_evict(&self, open: &OpenConnections, now: Timestamp, exhausted: bool) -> Option<u32> {
        let IdleTimeouts { request, shortened, .. } = self.timeouts;
        let longest_in = |phase, at_least: Duration| {
            let (since, number) = open.longest_in(phase)?;
            (now - since >= at_least).then_some(number)
        };
        let closing = longest_in(ConnectionPhase::Closing, shortened);
        let reading = || longest_in(ConnectionPhase::Reading, shortened);
        let idle = || longest_in(ConnectionPhase::Idle, request);
        let usual = closing.or_else(reading).or_else(idle);
        if usual.is_some() || !exhausted {
            return usual;
        }
        let last_resort = longest_in(ConnectionPhase::Reading, shortened / LAST_RESORT_DIVISOR);
        let any_idle = || longest_in(ConnectionPhase::Idle, Duration::ZERO);
        last_resort.or_else(|| if open.awaiting_input > 0 { None } else { any_idle() })
    }

    /// Asks connections to close that have been in one phase for too long.
    pub fn close_expired(&self, now: Timestamp) {
        let IdleTimeouts { request, idle, shortened } = self.timeouts;
        let reading = if self.stopping.get() { shortened } else { request };
        let limits = [
            (ConnectionPhase::Closing, reading),
            (ConnectionPhase::Reading, reading),
            (ConnectionPhase::Idle, idle),
        ];
        let mut open = self.open.borrow_mut();
        for (phase, limit) in limits {
            while let Some((_, number)) = open.longest_in(phase).filter(|(since, _)| now - *since >= limit) {
                open.close_now(number);
            }
        }
    }

    /// Asks every connection to close once it has no request in progress.
    pub fn close_all(&self) {
        self.stopping.set(true);
        let open = self.open.borrow();
        let connections = open.by_number.values();
        connections.for_each(|connection| connection.signal.request_close(CloseRequest::WhenIdle));
    }

    /// How many connections are open.
    pub fn len(&self) -> usize {
        self.open.borrow().by_number.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
