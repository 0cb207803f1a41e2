//! The protocol-independent part of a scripted host, which executes requests as scripted and records them in
//! the ledger.

use crate::behavior::HostBehavior;
use crate::ledger::{Entry, Ledger};
use crate::request::{is_write, request_key};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::time::{Duration, SystemTime};

/// Chooses the behavior for a request, given the number of earlier requests and the text.
type Script = Box<dyn Fn(usize, &str) -> HostBehavior + Send + Sync>;

/// How a connection responds to a request.
pub(crate) enum Response {
    /// Responds as scripted. An answer holds the key of the request.
    Scripted {
        /// The behavior that the script chose.
        behavior: HostBehavior,
        /// The request's key.
        key: String,
    },
    /// Responds with an error, since the request is a write and the host a replica.
    ReadOnly,
    /// Closes the connection, since the host is down.
    Close,
}

/// State of a host, shared by its connections and the handle of the test.
pub(crate) struct Engine {
    name: String,
    primary: AtomicBool,
    replication_lag_ms: AtomicU64,
    /// Whether the host closes new connections, and open ones at their next request.
    down: AtomicBool,
    /// Whether the next message on any connection is preceded by a second copy of an earlier answer.
    second_copy_armed: AtomicBool,
    /// Whether the connection falls silent on which a write is rejected next.
    silence_armed: AtomicBool,
    script: Mutex<Script>,
    request_count: AtomicUsize,
    ledger: Ledger,
    /// Sends the text of each request to the test.
    requests: Mutex<Sender<String>>,
}

impl Engine {
    /// Returns an engine that answers every request.
    pub(crate) fn new(name: &str, primary: bool, ledger: &Ledger, requests: Sender<String>) -> Engine {
        Engine {
            name: name.into(),
            primary: AtomicBool::new(primary),
            replication_lag_ms: AtomicU64::new(0),
            down: AtomicBool::new(false),
            second_copy_armed: AtomicBool::new(false),
            silence_armed: AtomicBool::new(false),
            script: Mutex::new(Box::new(|_, _| HostBehavior::Answer)),
            request_count: AtomicUsize::new(0),
            ledger: ledger.clone(),
            requests: Mutex::new(requests),
        }
    }

    /// Returns the replication position: the Unix time in milliseconds up to which all writes are applied.
    pub(crate) fn position_ms(&self) -> u64 {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        (now.as_millis() as u64).saturating_sub(self.replication_lag_ms.load(Ordering::SeqCst))
    }

    /// Returns whether the host is a primary.
    pub(crate) fn is_primary(&self) -> bool {
        self.primary.load(Ordering::SeqCst)
    }

    /// Returns whether the host closes every connection.
    pub(crate) fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Sets the role of the host.
    pub(crate) fn set_primary(&self, primary: bool) {
        self.primary.store(primary, Ordering::SeqCst);
    }

    /// Sets the replication lag of the host.
    pub(crate) fn set_lag(&self, lag: Duration) {
        self.replication_lag_ms.store(lag.as_millis() as u64, Ordering::SeqCst);
    }

    /// Sets whether the host closes every connection.
    pub(crate) fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Sets whether the next message on any connection is preceded by a second copy of an earlier answer.
    pub(crate) fn arm_second_copy(&self, armed: bool) {
        self.second_copy_armed.store(armed, Ordering::SeqCst);
    }

    /// Returns whether a second copy is still to be sent.
    pub(crate) fn second_copy_is_armed(&self) -> bool {
        self.second_copy_armed.load(Ordering::SeqCst)
    }

    /// Returns whether a second copy is to be sent, and sends no other one.
    pub(crate) fn take_second_copy(&self) -> bool {
        self.second_copy_armed.swap(false, Ordering::SeqCst)
    }

    /// Makes the connection fall silent on which a write is rejected next.
    pub(crate) fn arm_silence(&self) {
        self.silence_armed.store(true, Ordering::SeqCst);
    }

    /// Returns whether the connection on which a write was just rejected falls silent, and lets no other one.
    pub(crate) fn take_silence(&self) -> bool {
        self.silence_armed.swap(false, Ordering::SeqCst)
    }

    /// Sets the script, which chooses the behavior for each request given the number of earlier requests and
    /// the text.
    pub(crate) fn set_script(&self, script: impl Fn(usize, &str) -> HostBehavior + Send + Sync + 'static) {
        *self.script.lock().expect("scripts do not panic") = Box::new(script);
    }

    /// Executes a request that has arrived completely, and records it in the ledger before it is answered.
    pub(crate) fn execute(&self, text: &str) -> Response {
        if self.is_down() {
            return Response::Close;
        }
        self.ledger.record(Entry::Arrived { host: self.name.clone(), text: text.into() });
        let behavior = self.next_behavior(text);
        if is_write(text) && !self.is_primary() {
            self.notify_test(text);
            return Response::ReadOnly;
        }
        if let HostBehavior::AnswerAfter(delay) = behavior {
            std::thread::sleep(delay);
        }
        if behavior.executes() {
            let primary = self.is_primary();
            self.ledger.record(Entry::Executed { host: self.name.clone(), text: text.into(), primary });
        }
        self.notify_test(text);
        Response::Scripted { behavior, key: request_key(text).to_string() }
    }

    /// Records that a request arrived on a connection on which another request had left a transaction open.
    pub(crate) fn record_interleaved(&self, text: &str) {
        self.ledger.record(Entry::Interleaved { host: self.name.clone(), text: text.into() });
    }

    fn next_behavior(&self, text: &str) -> HostBehavior {
        let nth = self.request_count.fetch_add(1, Ordering::SeqCst);
        self.script.lock().expect("scripts do not panic")(nth, text)
    }

    fn notify_test(&self, text: &str) {
        // Fails if the test has dropped its handle of the host, and then no longer waits for requests.
        let _ = self.requests.lock().expect("sending does not panic").send(text.into());
    }
}
