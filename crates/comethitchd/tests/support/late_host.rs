//! A host that accepts connections and completes their logins only when the test asks for it.

use super::messages::greeting;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Time without received bytes after which a connection reports what it has received.
const READ_PERIOD: Duration = Duration::from_millis(300);

/// Interval at which the host checks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// Handle of a host that completes logins late.
pub(crate) struct LateHost {
    /// Address that the host listens on.
    pub address: SocketAddr,
    /// Makes the host complete the login of all connections accepted so far, and accept no more.
    pub greet: Sender<()>,
    /// The bytes that each connection has received, once no more arrive. Ends after the last connection.
    pub received: Receiver<Vec<u8>>,
}

impl LateHost {
    /// Starts the host.
    pub(crate) fn start() -> LateHost {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let (greet, greeted) = channel();
        let (report, received) = channel();
        spawn(move || {
            for stream in accept_until_greeted(&listener, &greeted) {
                let report = report.clone();
                spawn(move || report.send(greet_and_read(stream)));
            }
        });
        LateHost { address, greet, received }
    }
}

fn accept_until_greeted(listener: &TcpListener, greeted: &Receiver<()>) -> Vec<TcpStream> {
    let mut accepted = Vec::new();
    listener.set_nonblocking(true).expect("the socket option can be set");
    while greeted.try_recv().is_err() {
        accepted.extend(listener.accept().ok().map(|(stream, _)| stream));
        sleep(ACCEPT_INTERVAL);
    }
    accepted
}

fn greet_and_read(mut stream: TcpStream) -> Vec<u8> {
    stream.set_nonblocking(false).expect("the socket option can be set");
    stream.set_read_timeout(Some(READ_PERIOD)).expect("the timeout is not zero");
    let _ = stream.write_all(&greeting());
    let (mut received, mut part) = (Vec::new(), [0; 4096]);
    while let Ok(length @ 1..) = stream.read(&mut part) {
        received.extend(&part[..length]);
    }
    received
}
