//! A client of either protocol.

use crate::{LONG, Protocol, postgres, tds};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// What a client got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// The first column of the last row; empty without one.
    Answered(String),
    Throttled,
    /// By its code or number.
    Failed(String),
    /// It became no command.
    Rejected(String),
    /// What was called off is off.
    Cancelled,
    /// An answer that could not be read to its end.
    Malformed,
    Closed,
}

pub struct Client {
    protocol: Protocol,
    pub stream: TcpStream,
}

impl Client {
    /// Connects and is let in.
    pub fn connect(protocol: Protocol, address: SocketAddr) -> Client {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a limit");
        let _ = stream.set_nodelay(true);
        match protocol {
            Protocol::Postgres => postgres::open(&mut stream),
            Protocol::Tds => tds::open(&mut stream),
        }
        .expect("let in");
        Client { protocol, stream }
    }

    /// Sends a command. That the connection is closed shows with the next answer.
    pub fn send(&mut self, text: &str) {
        let wire = match self.protocol {
            Protocol::Postgres => postgres::put(text),
            Protocol::Tds => tds::put(text),
        };
        if let Err(error) = self.stream.write_all(&wire) {
            let closed = matches!(error.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset);
            assert!(closed, "a command not sent: {error}");
        }
    }

    /// The next answer.
    pub fn receive(&mut self) -> Received {
        match self.protocol {
            Protocol::Postgres => postgres::got(&mut self.stream),
            Protocol::Tds => tds::got(&mut self.stream),
        }
    }

    pub fn execute(&mut self, text: &str) -> Received {
        self.send(text);
        self.receive()
    }

    /// Whether nothing has come beyond the answers read: a second answer would be here.
    pub fn is_quiet(&mut self) -> bool {
        self.stream.set_nonblocking(true).expect("set");
        let nothing = self.stream.read(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        self.stream.set_nonblocking(false).expect("set");
        nothing
    }
}
