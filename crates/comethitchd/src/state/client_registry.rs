//! The registry of open client connections: their phases, their idle timeouts, the descriptors that they use, and which
//! one is evicted first when descriptors run short.

use crate::state::descriptors::{DescriptorLimit, DescriptorPermit};
use crate::state::signals::{CloseRequest, ConnectionSignal};
use comethitch_policy::time::{Duration, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;

/// Timeout for reading a complete request, and for discarding input after an error. A connection that is idle for as
/// long may be evicted. With the interval of the sweep, incomplete requests end their connections within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_micros(REQUEST_TIMEOUT.as_micros() * 5);
/// Replaces [`REQUEST_TIMEOUT`] while descriptors run short or the router shuts down.
const SHORTENED_REQUEST_TIMEOUT: Duration = Duration::from_micros(REQUEST_TIMEOUT.as_micros() / 32);
/// Minimum age of a connection that is evicted before its first request, while no descriptor is free.
const LAST_RESORT_TIMEOUT: Duration = Duration::from_micros(SHORTENED_REQUEST_TIMEOUT.as_micros() / 8);
/// Fraction of the descriptors whose connections may have a request in progress.
const BUSY_DESCRIPTORS_PART: (usize, usize) = (4, 5);
/// Idle connections are evicted while fewer than one in this many descriptors is free.
const FREE_DESCRIPTORS_DIVISOR: usize = 8;
/// Bytes of discarded input that are read at once.
const DISCARD_BUFFER_BYTES: usize = 64 * 1024;

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPhase {
    /// It was sent an error that ends it, and its further input is discarded.
    Closing,
    /// It is expected to send its first request, or the rest of a request.
    Reading,
    /// Its last request was answered, and no other has begun.
    Idle,
    /// A request of the client is in progress.
    Busy,
}

impl ConnectionPhase {
    fn awaits_input(self) -> bool {
        matches!(self, ConnectionPhase::Reading | ConnectionPhase::Closing)
    }
}

struct OpenConnection {
    phase: ConnectionPhase,
    since: Timestamp,
    signal: Rc<ConnectionSignal>,
}

/// The open connections, indexed so that the next one to close is found without a scan.
#[derive(Default)]
struct OpenConnections {
    by_number: BTreeMap<u32, OpenConnection>,
    /// Connections that were not asked to close at once, by phase and by when the phase began.
    by_phase: BTreeSet<(ConnectionPhase, Timestamp, u32)>,
    /// Number of connections that await input, including those that were asked to close.
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

    /// Returns the connection that has been in a phase the longest, and since when.
    fn longest_in(&self, phase: ConnectionPhase) -> Option<(Timestamp, u32)> {
        let (found, since, number) = self.by_phase.range((phase, Timestamp::ZERO, 0)..).next()?;
        (*found == phase).then_some((*since, *number))
    }

    fn close_now(&mut self, number: u32) {
        if let Some(connection) = self.by_number.get(&number) {
            connection.signal.request_close(CloseRequest::Now);
            self.by_phase.remove(&(connection.phase, connection.since, number));
        }
    }
}

/// The open connections of clients.
pub struct ClientRegistry {
    descriptors: DescriptorLimit,
    next_number: Cell<u32>,
    shutting_down: Cell<bool>,
    open: RefCell<OpenConnections>,
    discard_buffer: RefCell<Vec<u8>>,
}

impl ClientRegistry {
    /// Creates an empty registry.
    pub fn new(descriptors: DescriptorLimit) -> ClientRegistry {
        ClientRegistry {
            descriptors,
            next_number: Cell::default(),
            shutting_down: Cell::default(),
            open: RefCell::default(),
            discard_buffer: RefCell::new(vec![0; DISCARD_BUFFER_BYTES]),
        }
    }

    /// Acquires a descriptor for one more connection; none at the limit. When few descriptors are left, a connection
    /// that has been idle for long is evicted first.
    pub fn acquire_descriptor(&self, now: Timestamp) -> Option<DescriptorPermit> {
        let limit = self.descriptors.limit();
        if self.descriptors.in_use() >= limit - limit / FREE_DESCRIPTORS_DIVISOR {
            self.evict_one(now, false);
        }
        self.descriptors.acquire()
    }

    /// Evicts one connection for a client that waits to be accepted, if no descriptor is free.
    pub fn make_room_for_waiting_client(&self, now: Timestamp) {
        if self.descriptors.is_exhausted() {
            self.evict_one(now, true);
        }
    }

    /// Returns the maximum number of requests in progress.
    pub fn max_requests(&self) -> usize {
        self.descriptors.limit() * BUSY_DESCRIPTORS_PART.0 / BUSY_DESCRIPTORS_PART.1
    }

    /// Returns the buffer that all connections read discarded input to. Its contents have no meaning.
    pub fn discard_buffer(&self) -> &RefCell<Vec<u8>> {
        &self.discard_buffer
    }

    /// Registers a connection; returns its number, and the signal that asks it to close.
    pub fn register(&self, now: Timestamp) -> (u32, Rc<ConnectionSignal>) {
        // The hasher's seed comes from the operating system's random numbers: no other client can guess the key.
        let cancel_key = RandomState::new().build_hasher().finish() as u32;
        let signal = Rc::new(ConnectionSignal::new(cancel_key));
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let connection =
            OpenConnection { phase: ConnectionPhase::Reading, since: now, signal: signal.clone() };
        self.open.borrow_mut().insert(number, connection);
        (number, signal)
    }

    /// Cancels the request in progress on a connection, if `cancel_key` is the connection's.
    pub fn cancel_request(&self, number: u32, cancel_key: u32) {
        let open = self.open.borrow();
        let connection = open.by_number.get(&number);
        if let Some(connection) = connection.filter(|open| open.signal.cancel_key == cancel_key) {
            connection.signal.cancel();
        }
    }

    /// Removes a connection that has ended.
    pub fn unregister(&self, number: u32) {
        self.open.borrow_mut().remove(number);
    }

    /// Sets what a connection is doing. Setting the same phase again does not restart its timeout.
    pub fn set_phase(&self, number: u32, phase: ConnectionPhase, now: Timestamp) {
        self.open.borrow_mut().set_phase(number, phase, now);
    }

    fn evict_one(&self, now: Timestamp, exhausted: bool) {
        let mut open = self.open.borrow_mut();
        if let Some(number) = next_to_evict(&open, now, exhausted) {
            open.close_now(number);
        }
    }

    /// Asks connections to close that have exceeded the timeout of their phase.
    pub fn close_expired(&self, now: Timestamp) {
        let request_timeout =
            if self.shutting_down.get() { SHORTENED_REQUEST_TIMEOUT } else { REQUEST_TIMEOUT };
        let timeouts = [
            (ConnectionPhase::Closing, request_timeout),
            (ConnectionPhase::Reading, request_timeout),
            (ConnectionPhase::Idle, IDLE_TIMEOUT),
        ];
        let mut open = self.open.borrow_mut();
        for (phase, timeout) in timeouts {
            while let Some((_, number)) = open.longest_in(phase).filter(|(since, _)| now - *since >= timeout)
            {
                open.close_now(number);
            }
        }
    }

    /// Asks every connection to close once it has no request in progress, as the router shuts down.
    pub fn close_all(&self) {
        self.shutting_down.set(true);
        let open = self.open.borrow();
        let connections = open.by_number.values();
        connections.for_each(|connection| connection.signal.request_close(CloseRequest::WhenIdle));
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.borrow().by_number.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Returns the connection to evict first; none if no connection may be evicted.
///
/// Candidates are connections that were sent an error, that have sent no complete request for a while, or that have
/// been idle for long. If descriptors are `exhausted`, connections that had little time to send a request follow, and
/// then any idle one, unless a connection still awaits input.
fn next_to_evict(open: &OpenConnections, now: Timestamp, exhausted: bool) -> Option<u32> {
    let longest_in = |phase, min_duration: Duration| {
        let (since, number) = open.longest_in(phase)?;
        (now - since >= min_duration).then_some(number)
    };
    let candidate = longest_in(ConnectionPhase::Closing, SHORTENED_REQUEST_TIMEOUT)
        .or_else(|| longest_in(ConnectionPhase::Reading, SHORTENED_REQUEST_TIMEOUT))
        .or_else(|| longest_in(ConnectionPhase::Idle, REQUEST_TIMEOUT));
    if candidate.is_some() || !exhausted {
        return candidate;
    }
    let last_resort = longest_in(ConnectionPhase::Reading, LAST_RESORT_TIMEOUT);
    let any_idle = || longest_in(ConnectionPhase::Idle, Duration::ZERO);
    last_resort.or_else(|| if open.awaiting_input > 0 { None } else { any_idle() })
}
