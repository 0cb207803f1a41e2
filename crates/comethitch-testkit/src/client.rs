//! A blocking client of either protocol, which sends one request at a time and reads its answer.

use crate::protocol::{Protocol, TEST_TIMEOUT};
use crate::reply::Reply;
use crate::{postgres, tds};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A logged-in connection to a router.
pub struct Client {
    protocol: Protocol,
    /// The socket, for tests that send or read arbitrary bytes.
    pub stream: TcpStream,
}

impl Client {
    /// Connects and logs in.
    ///
    /// # Panics
    ///
    /// Panics if the connection or the login fails.
    pub fn connect(protocol: Protocol, address: SocketAddr) -> Client {
        let mut stream = TcpStream::connect(address).expect("the router accepts connections");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is not zero");
        let _ = stream.set_nodelay(true);
        match protocol {
            Protocol::Postgres => postgres::client::log_in(&mut stream),
            Protocol::Tds => tds::client::log_in(&mut stream),
        }
        .expect("the login succeeds");
        Client { protocol, stream }
    }

    /// Sends a request. If the router has closed the connection, this is no error, and the next
    /// [`Client::receive`] returns [`Reply::Closed`].
    ///
    /// # Panics
    ///
    /// Panics if the socket fails in any other way.
    pub fn send(&mut self, text: &str) {
        if let Err(error) = self.stream.write_all(&self.protocol.encode_request(text)) {
            let is_closed = matches!(error.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset);
            assert!(is_closed, "failed to send the request: {error}");
        }
    }

    /// Reads the next answer.
    pub fn receive(&mut self) -> Reply {
        match self.protocol {
            Protocol::Postgres => postgres::client::receive(&mut self.stream),
            Protocol::Tds => tds::client::receive(&mut self.stream),
        }
    }

    /// Sends a request and reads its answer.
    pub fn execute(&mut self, text: &str) -> Reply {
        self.send(text);
        self.receive()
    }

    /// Returns whether the connection is open and nothing has arrived after the answers read so far, such as
    /// a second answer to one request.
    ///
    /// # Panics
    ///
    /// Panics if the socket cannot be switched to non-blocking mode and back.
    pub fn has_no_unread_bytes(&mut self) -> bool {
        self.stream.set_nonblocking(true).expect("an open socket can change its mode");
        let nothing_arrived =
            self.stream.read(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).expect("an open socket can change its mode");
        nothing_arrived
    }
}
