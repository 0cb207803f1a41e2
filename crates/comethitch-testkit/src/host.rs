//! A scripted database host on loopback, whose connections share one engine.

use crate::behavior::HostBehavior;
use crate::engine::Engine;
use crate::error::ConnectionError;
use crate::ledger::Ledger;
use crate::protocol::{Protocol, TEST_TIMEOUT};
use crate::{postgres, tds};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Handle of a scripted database host on loopback.
pub struct Host {
    /// Address that the host listens on.
    pub address: SocketAddr,
    engine: Arc<Engine>,
    connections: Arc<Connections>,
    requests: Receiver<String>,
}

/// Connections that a host has accepted.
#[derive(Default)]
struct Connections {
    accepted: AtomicUsize,
    /// Duplicated handles of the sockets, used to break the connections.
    sockets: Mutex<Vec<TcpStream>>,
}

impl Host {
    /// Starts a host that answers every request until [`Host::script`] is called.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port can be bound.
    pub fn start(name: &str, protocol: Protocol, primary: bool, ledger: &Ledger) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let (sender, requests) = channel();
        let engine = Arc::new(Engine::new(name, primary, ledger, sender));
        let connections = Arc::new(Connections::default());
        let accepting = (engine.clone(), connections.clone());
        std::thread::spawn(move || accept(&listener, protocol, &accepting.0, &accepting.1));
        Host { address, engine, connections, requests }
    }

    /// Sets the script that chooses the behavior for each request.
    ///
    /// The script is called with the number of earlier requests since the start of the host and with the text
    /// of the request. Health checks are neither counted nor passed to it.
    pub fn script(&self, script: impl Fn(usize, &str) -> HostBehavior + Send + Sync + 'static) {
        self.engine.set_script(script);
    }

    /// Changes the host's role to primary or replica.
    pub fn set_primary(&self, primary: bool) {
        self.engine.set_primary(primary);
    }

    /// Makes the host send a second copy of the last answer on a connection, once, as soon as the next message
    /// arrives on a connection that has carried an answer. At that moment the router has already written the
    /// message.
    pub fn send_second_copy(&self) {
        self.engine.arm_second_copy(true);
    }

    /// Makes the connection on which a write is rejected next fall silent right after the answer. The host and
    /// its other connections go on.
    pub fn fall_silent_after_rejected_write(&self) {
        self.engine.arm_silence();
    }

    /// Returns whether the second copy that was asked for is still to be sent.
    pub fn second_copy_is_pending(&self) -> bool {
        self.engine.second_copy_is_armed()
    }

    /// Sets the replication lag in the host's load reports.
    pub fn set_lag(&self, lag: Duration) {
        self.engine.set_lag(lag);
    }

    /// Takes the host down, or up again. Breaks all open connections in both cases. While the host is down,
    /// it closes new connections immediately.
    pub fn set_down(&self, down: bool) {
        self.engine.set_down(down);
        self.break_connections();
    }

    /// Breaks all open connections. The host still accepts new ones.
    pub fn break_connections(&self) {
        self.connections.shut_down();
    }

    /// Waits for the next request and returns its text.
    ///
    /// # Panics
    ///
    /// Panics if none arrives within [`TEST_TIMEOUT`].
    pub fn next_request(&self) -> String {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("a request arrives at the host")
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted_connections(&self) -> usize {
        self.connections.accepted.load(Ordering::SeqCst)
    }
}

impl Connections {
    fn add(&self, stream: &TcpStream) {
        self.accepted.fetch_add(1, Ordering::SeqCst);
        let duplicate = stream.try_clone();
        self.sockets.lock().expect("no thread panics while it holds the lock").extend(duplicate);
    }

    fn shut_down(&self) {
        for stream in self.sockets.lock().expect("no thread panics while it holds the lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Accepts connections and serves each on a thread of its own.
fn accept(listener: &TcpListener, protocol: Protocol, engine: &Arc<Engine>, connections: &Connections) {
    for stream in listener.incoming().flatten() {
        if engine.is_down() {
            continue;
        }
        connections.add(&stream);
        let engine = engine.clone();
        std::thread::spawn(move || serve(protocol, stream, &engine));
    }
}

fn serve(protocol: Protocol, stream: TcpStream, engine: &Engine) {
    let _ = stream.set_nodelay(true);
    let duplicate = stream.try_clone();
    // An error only shows that the router or the script has closed the connection, which is expected.
    let _: Result<(), ConnectionError> = match protocol {
        Protocol::Postgres => postgres::server::serve(stream, engine),
        Protocol::Tds => tds::server::serve(stream, engine),
    };
    // The duplicate kept for `break_connections` would keep the socket open after the end of the connection.
    if let Ok(duplicate) = duplicate {
        let _ = duplicate.shutdown(Shutdown::Both);
    }
}
