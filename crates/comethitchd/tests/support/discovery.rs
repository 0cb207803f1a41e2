//! A discovery service whose responses are written by the test.

use super::TEST_TIMEOUT;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread::spawn;

/// Head of a chunked response.
pub(crate) const CHUNKED_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Handle of a discovery service.
pub(crate) struct Discovery {
    /// Address that the service listens on.
    pub address: SocketAddr,
    /// The first line of each request, with its connection, on which a chunked response has begun.
    pub requests: Receiver<(String, TcpStream)>,
}

impl Discovery {
    /// Starts a discovery service.
    pub(crate) fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
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
        self.requests.recv_timeout(TEST_TIMEOUT).expect("a request to discovery")
    }
}

/// Reads an HTTP request up to its empty line, and returns its first line.
pub(crate) fn read_http_request(stream: &TcpStream) -> String {
    let mut lines = BufReader::new(stream.try_clone().expect("a duplicate")).lines();
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
