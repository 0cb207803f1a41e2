//! A discovery service whose responses the test writes.

use super::TEST_TIMEOUT;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;

/// Status line and headers of a chunked response.
pub(crate) const CHUNKED_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Handle of a discovery service.
pub(crate) struct Discovery {
    /// Address that the service listens on.
    pub address: SocketAddr,
    /// The request line of each request with its connection, on which the head of a chunked response has been
    /// sent.
    pub requests: Receiver<(String, TcpStream)>,
}

impl Discovery {
    /// Starts a discovery service.
    pub(crate) fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let (sender, requests) = channel();
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let request_line = read_http_request(&stream);
                let _ = stream.write_all(CHUNKED_RESPONSE_HEAD);
                let _ = sender.send((request_line, stream));
            }
        });
        Discovery { address, requests }
    }

    /// Waits for the next request.
    pub(crate) fn next_request(&self) -> (String, TcpStream) {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("a request arrives at the discovery service")
    }
}

/// Reads an HTTP request up to the empty line after its headers, and returns its request line.
pub(crate) fn read_http_request(stream: &TcpStream) -> String {
    let mut lines = BufReader::new(stream.try_clone().expect("the socket can be duplicated")).lines();
    let request_line = lines.next().and_then(Result::ok).unwrap_or_default();
    while lines.next().and_then(Result::ok).is_some_and(|line| !line.is_empty()) {}
    request_line
}

/// Sends text as one chunk.
pub(crate) fn send_chunk(stream: &mut TcpStream, text: &str) {
    try_send_chunk(stream, text).expect("the chunk is sent");
}

/// Sends text as one chunk to a peer that may close the connection.
pub(crate) fn try_send_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len())
}
