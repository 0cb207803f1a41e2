//! A scripted database host: a listener on loopback whose connections share one engine.

use crate::behavior::HostBehavior;
use crate::engine::Engine;
use crate::error::ConnectionError;
use crate::ledger::Ledger;
use crate::protocol::{LONG, Protocol};
use crate::{postgres, tds};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A host on loopback, as the test that scripts it sees it.
pub struct Host {
    /// Where it listens.
    pub address: SocketAddr,
    engine: Arc<Engine>,
    connections: Arc<Connections>,
    requests: Receiver<String>,
}

/// The connections that a host has accepted.
#[derive(Default)]
struct Connections {
    accepted: AtomicUsize,
    /// Copies of the sockets, to close them when the host goes down.
    sockets: Mutex<Vec<TcpStream>>,
}

impl Host {
    /// Starts a host. Until [`Host::script`] says otherwise it answers every request.
    ///
    /// # Panics
    ///
    /// If no loopback port can be bound.
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

    /// Sets what the host does from now on, from the number of requests that arrived before (from the start of the
    /// host, not of the script) and the request's text.
    pub fn script(&self, script: impl Fn(usize, &str) -> HostBehavior + Send + Sync + 'static) {
        self.engine.set_script(script);
    }

    /// Makes the host a primary or a replica.
    pub fn set_primary(&self, primary: bool) {
        self.engine.set_primary(primary);
    }

    /// Sets the replication lag that health checks see.
    pub fn set_lag(&self, lag: Duration) {
        self.engine.set_lag(lag);
    }

    /// Takes the host down or up again. In both cases open connections break; while it is down, new ones are closed
    /// at once.
    pub fn set_down(&self, down: bool) {
        self.engine.set_down(down);
        self.break_connections();
    }

    /// Breaks all open connections; new ones are accepted.
    pub fn break_connections(&self) {
        self.connections.shut_down();
    }

    /// Waits for the next request and returns its text.
    ///
    /// # Panics
    ///
    /// If none arrives within [`LONG`].
    pub fn next_request(&self) -> String {
        self.requests.recv_timeout(LONG).expect("a command arrives at the host")
    }

    /// How many connections it has accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.accepted.load(Ordering::SeqCst)
    }
}

impl Connections {
    fn add(&self, stream: &TcpStream) {
        self.accepted.fetch_add(1, Ordering::SeqCst);
        let copy = stream.try_clone();
        self.sockets.lock().expect("no thread panics while it holds the lock").extend(copy);
    }

    fn shut_down(&self) {
        for stream in self.sockets.lock().expect("no thread panics while it holds the lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves each connection on a thread of its own.
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
    let copy = stream.try_clone();
    // A connection that breaks is either the router's decision or the script's: neither is an error here.
    let _: Result<(), ConnectionError> = match protocol {
        Protocol::Postgres => postgres::server::serve(stream, engine),
        Protocol::Tds => tds::server::serve(stream, engine),
    };
    // The copy kept for `break_connections` holds the socket open after the connection's end.
    if let Ok(copy) = copy {
        let _ = copy.shutdown(Shutdown::Both);
    }
}
