//! The registry of open client connections: their phases, their idle timeouts, the descriptors that they use,
//! and which one is evicted first when descriptors run short.

use crate::state::descriptors::{DescriptorLimit, DescriptorPermit};
use crate::state::signals::{CloseRequest, ConnectionSignal};
use comethitch_policy::time::{Duration, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;

/// Timeout for receiving a complete request, and for discarding input after an error. A connection that has
/// been idle for as long may be evicted. Expired connections are closed by a periodic sweep, so that a
/// connection with an incomplete request ends within 3 s.
const INPUT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_micros(INPUT_TIMEOUT.as_micros() * 5);
/// Replaces [`INPUT_TIMEOUT`] while descriptors run short or the router shuts down.
const SHORTENED_INPUT_TIMEOUT: Duration = Duration::from_micros(INPUT_TIMEOUT.as_micros() / 32);
/// Minimum time that a connection gets to send a request before it may be evicted while no descriptor is
/// free.
const MIN_INPUT_TIMEOUT: Duration = Duration::from_micros(SHORTENED_INPUT_TIMEOUT.as_micros() / 8);
/// Maximum number of requests in progress as a fraction of the descriptors: numerator and denominator.
const MAX_BUSY_FRACTION: (usize, usize) = (4, 5);
/// Divisor of the descriptor limit: connections are evicted before the limit is reached, once at most an
/// eighth of the descriptors is free.
const FREE_DESCRIPTORS_DIVISOR: usize = 8;
/// Size of the buffer that discarded input is read into.
const DISCARD_BUFFER_BYTES: usize = 64 * 1024;

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPhase {
    /// The client was sent an error that ends the connection. Further input is discarded.
    Closing,
    /// The client is expected to send its first request, or the rest of a request.
    Reading,
    /// The last request was answered, and the next has not begun.
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
    /// Whether a write waits for the client to read.
    write_blocked: bool,
}

/// The open connections, with an index that finds the next one to close without a scan.
#[derive(Default)]
struct OpenConnections {
    by_number: BTreeMap<u32, OpenConnection>,
    /// The connections that were not asked to close immediately, ordered by phase and by the start of the
    /// phase.
    by_phase: BTreeSet<(ConnectionPhase, Timestamp, u32)>,
    /// The number of connections that await input, including those that were asked to close.
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
        let is_evictable = self.by_phase.remove(&(connection.phase, connection.since, number));
        self.awaiting_input -= usize::from(connection.phase.awaits_input());
        self.awaiting_input += usize::from(phase.awaits_input());
        connection.phase = phase;
        connection.since = now;
        if is_evictable {
            self.by_phase.insert((phase, now, number));
        }
    }

    /// Returns the connection that has been in a phase the longest, and when the phase began.
    fn longest_in(&self, phase: ConnectionPhase) -> Option<(Timestamp, u32)> {
        let (found, since, number) = self.by_phase.range((phase, Timestamp::ZERO, 0)..).next()?;
        (*found == phase).then_some((*since, *number))
    }

    /// Asks a connection to close immediately. It is not selected for eviction again.
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

    /// Acquires a descriptor for one more connection, or returns `None` at the limit. If few descriptors are
    /// free, a connection that has been idle, or has not sent a complete request, for too long is first asked
    /// to close.
    pub fn acquire_descriptor(&self, now: Timestamp) -> Option<DescriptorPermit> {
        let limit = self.descriptors.limit();
        if self.descriptors.in_use() >= limit - limit / FREE_DESCRIPTORS_DIVISOR {
            self.evict_one(now, false);
        }
        self.descriptors.acquire()
    }

    /// If no descriptor is free, evicts one connection for a client that waits to be accepted.
    pub fn make_room_for_waiting_client(&self, now: Timestamp) {
        if self.descriptors.is_exhausted() {
            self.evict_one(now, true);
        }
    }

    /// Returns the maximum number of requests in progress.
    pub fn max_requests(&self) -> usize {
        self.descriptors.limit() * MAX_BUSY_FRACTION.0 / MAX_BUSY_FRACTION.1
    }

    /// Returns the buffer that all connections read discarded input into. Its contents are never used.
    pub fn discard_buffer(&self) -> &RefCell<Vec<u8>> {
        &self.discard_buffer
    }

    /// Registers a connection. Returns its number, and the signal that requests to close or to cancel are
    /// sent through.
    pub fn register(&self, now: Timestamp) -> (u32, Rc<ConnectionSignal>) {
        // The hasher is seeded by the operating system's random numbers, so that no other client can guess
        // the key.
        let cancel_key = RandomState::new().build_hasher().finish() as u32;
        let signal = Rc::new(ConnectionSignal::new(cancel_key));
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let phase = ConnectionPhase::Reading;
        let connection = OpenConnection { phase, since: now, signal: signal.clone(), write_blocked: false };
        self.open.borrow_mut().insert(number, connection);
        (number, signal)
    }

    /// Cancels the request in progress on a connection if `cancel_key` is the connection's key.
    pub fn cancel_request(&self, number: u32, cancel_key: u32) {
        let open = self.open.borrow();
        let connection = open.by_number.get(&number);
        if let Some(connection) = connection.filter(|connection| connection.signal.cancel_key == cancel_key) {
            connection.signal.cancel();
        }
    }

    /// Removes a connection that has ended.
    pub fn unregister(&self, number: u32) {
        self.open.borrow_mut().remove(number);
    }

    /// Sets the phase of a connection. Setting the same phase again does not restart its timeout.
    pub fn set_phase(&self, number: u32, phase: ConnectionPhase, now: Timestamp) {
        self.open.borrow_mut().set_phase(number, phase, now);
    }

    fn evict_one(&self, now: Timestamp, exhausted: bool) {
        let mut open = self.open.borrow_mut();
        if let Some(number) = next_to_evict(&open, now, exhausted) {
            open.close_now(number);
        }
    }

    /// Asks all connections that have exceeded the timeout of their phase to close.
    pub fn close_expired(&self, now: Timestamp) {
        let input_timeout = if self.shutting_down.get() { SHORTENED_INPUT_TIMEOUT } else { INPUT_TIMEOUT };
        let timeouts = [
            (ConnectionPhase::Closing, input_timeout),
            (ConnectionPhase::Reading, input_timeout),
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

    /// Asks every connection to close once it has no request in progress, because the router is shutting
    /// down.
    pub fn close_all(&self) {
        self.shutting_down.set(true);
        let open = self.open.borrow();
        let connections = open.by_number.values();
        connections.for_each(|connection| connection.signal.request_close(CloseRequest::WhenIdle));
    }

    /// Records that a write on a connection waits for the client to read, until the returned guard is dropped.
    pub fn record_blocked_write(&self, number: u32) -> BlockedWrite<'_> {
        self.set_write_blocked(number, true);
        BlockedWrite { registry: self, number }
    }

    fn set_write_blocked(&self, number: u32, write_blocked: bool) {
        if let Some(connection) = self.open.borrow_mut().by_number.get_mut(&number) {
            connection.write_blocked = write_blocked;
        }
    }

    /// Returns the numbers of the connections with requests that were read and not answered yet, except those
    /// whose clients do not read their answers. Visits all connections.
    pub fn awaiting_answers(&self) -> Vec<u32> {
        let open = self.open.borrow();
        let awaits_answer = |connection: &OpenConnection| {
            connection.phase == ConnectionPhase::Busy && !connection.write_blocked
        };
        let awaiting = open.by_number.iter().filter(|(_, connection)| awaits_answer(connection));
        awaiting.map(|(number, _)| *number).collect()
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

/// Marks a connection whose client does not read what was written to it.
pub struct BlockedWrite<'a> {
    registry: &'a ClientRegistry,
    number: u32,
}

impl Drop for BlockedWrite<'_> {
    fn drop(&mut self) {
        self.registry.set_write_blocked(self.number, false);
    }
}

/// Returns the connection to evict, or `None` if no connection may be evicted.
///
/// The order is: connections that were sent an error, connections that have not sent a complete request
/// within the shortened timeout, and connections that have been idle for long. If descriptors are
/// `exhausted`, connections that had less time to send a request follow, and then any idle one, unless a
/// connection still awaits input.
fn next_to_evict(open: &OpenConnections, now: Timestamp, exhausted: bool) -> Option<u32> {
    let longest_in = |phase, min_duration: Duration| {
        let (since, number) = open.longest_in(phase)?;
        (now - since >= min_duration).then_some(number)
    };
    let candidate = longest_in(ConnectionPhase::Closing, SHORTENED_INPUT_TIMEOUT)
        .or_else(|| longest_in(ConnectionPhase::Reading, SHORTENED_INPUT_TIMEOUT))
        .or_else(|| longest_in(ConnectionPhase::Idle, INPUT_TIMEOUT));
    if candidate.is_some() || !exhausted {
        return candidate;
    }
    let reading = longest_in(ConnectionPhase::Reading, MIN_INPUT_TIMEOUT);
    let any_idle = || longest_in(ConnectionPhase::Idle, Duration::ZERO);
    reading.or_else(|| if open.awaiting_input > 0 { None } else { any_idle() })
}
