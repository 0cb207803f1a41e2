//! Peers that send without a pause, and a client beside them that measures how long the router keeps it
//! waiting.

use super::{BUSY_MACHINE_SLACK, write_request};
use comethitch_testkit::{Client, Protocol, Reply};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// How long a peer sends without a pause. It exceeds the longest permitted wait of other clients, so that a
/// router that serves only this peer fails the test.
pub(crate) const FLOOD_TIME: Duration = Duration::from_millis(1_500);
/// Timeout of the requests of the other client.
const TIMEOUT_MS: u32 = 500;
/// Delay between the requests of the other client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum number of requests of the other client that must have been served.
const MIN_SERVED: usize = 10;

/// Sends copies of a message until [`FLOOD_TIME`] has passed or the connection breaks, and reads and discards
/// what comes back. Returns the number of bytes sent.
pub(crate) fn flood(stream: &TcpStream, message: &[u8]) -> usize {
    let block = message.repeat(1 + 8 * 1024 / message.len());
    let reader = stream.try_clone().expect("the socket can be duplicated");
    let started = Instant::now();
    let draining = spawn(move || io::copy(&mut &reader, &mut io::sink()));
    let mut sent = 0;
    let _ = stream.set_write_timeout(Some(FLOOD_TIME));
    while started.elapsed() < FLOOD_TIME && (&*stream).write_all(&block).is_ok() {
        sent += block.len();
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = draining.join();
    sent
}

/// A client that sends usual requests until it is stopped.
pub(crate) struct UsualClient {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<Vec<(Reply, Duration)>>,
}

impl UsualClient {
    /// Starts sending sequential writes on one connection.
    pub(crate) fn start(protocol: Protocol, router: SocketAddr) -> UsualClient {
        let stopped = Arc::new(AtomicBool::new(false));
        let stopping = stopped.clone();
        let mut client = Client::connect(protocol, router);
        let thread = spawn(move || {
            let mut replies = Vec::new();
            for id in 10_000.. {
                if stopping.load(Ordering::SeqCst) {
                    break;
                }
                let sent = Instant::now();
                let reply = client.execute(&write_request(id, TIMEOUT_MS));
                replies.push((reply, sent.elapsed()));
                sleep(REQUEST_INTERVAL);
            }
            replies
        });
        UsualClient { stopped, thread }
    }

    /// Stops the client.
    ///
    /// # Panics
    ///
    /// If a request has not got its final answer in time, or hardly any was served.
    pub(crate) fn assert_served(self, beside: &str) {
        self.stopped.store(true, Ordering::SeqCst);
        let replies = self.thread.join().expect("the client does not panic");
        let longest = replies.iter().map(|(_, took)| *took).max().expect("requests were sent");
        let allowed = Duration::from_millis(TIMEOUT_MS.into()) + BUSY_MACHINE_SLACK;
        assert!(longest < allowed, "beside {beside}, a request must be answered in time: {longest:?}");
        let is_served = |reply: &Reply| matches!(reply, Reply::Answered(_));
        let served = replies.iter().filter(|(reply, _)| is_served(reply)).count();
        assert!(served >= MIN_SERVED, "beside {beside}, requests must be served: {served} of {replies:?}");
        assert!(!replies.iter().any(|(reply, _)| *reply == Reply::Closed), "no request may be lost");
    }
}
