//! A client of either protocol that sends requests one at a time and reads their answers, blocking.

use crate::protocol::{LONG, Protocol};
use crate::received::Received;
use crate::{postgres, tds};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A connection to a router, past its login.
pub struct Client {
    protocol: Protocol,
    /// The socket, for tests that send or read bytes of their own.
    pub stream: TcpStream,
}

impl Client {
    /// Connects and logs in.
    ///
    /// # Panics
    ///
    /// If the connection or the login fails.
    pub fn connect(protocol: Protocol, address: SocketAddr) -> Client {
        let mut stream = TcpStream::connect(address).expect("the router accepts connections");
        stream.set_read_timeout(Some(LONG)).expect("the timeout is not zero");
        let _ = stream.set_nodelay(true);
        match protocol {
            Protocol::Postgres => postgres::client::log_in(&mut stream),
            Protocol::Tds => tds::client::log_in(&mut stream),
        }
        .expect("the login succeeds");
        Client { protocol, stream }
    }

    /// Sends a request. If the router has closed the connection, the next [`Client::receive`] says so.
    ///
    /// # Panics
    ///
    /// If the socket fails in any other way.
    pub fn send(&mut self, text: &str) {
        let wire = match self.protocol {
            Protocol::Postgres => postgres::query(text),
            Protocol::Tds => tds::client::batch(text),
        };
        if let Err(error) = self.stream.write_all(&wire) {
            let closed = matches!(error.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset);
            assert!(closed, "a command not sent: {error}");
        }
    }

    /// Reads the next answer.
    pub fn receive(&mut self) -> Received {
        match self.protocol {
            Protocol::Postgres => postgres::client::receive(&mut self.stream),
            Protocol::Tds => tds::client::receive(&mut self.stream),
        }
    }

    /// Sends a request and reads its answer.
    pub fn execute(&mut self, text: &str) -> Received {
        self.send(text);
        self.receive()
    }

    /// Whether nothing has arrived after the answers read so far, such as a second answer to one request.
    ///
    /// # Panics
    ///
    /// If the socket cannot be switched to non-blocking reads and back.
    pub fn is_quiet(&mut self) -> bool {
        self.stream.set_nonblocking(true).expect("an open socket takes the mode");
        let nothing = self.stream.read(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).expect("an open socket takes the mode");
        nothing
    }
}
