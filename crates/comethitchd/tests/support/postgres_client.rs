//! A PostgreSQL client that gives a test control over the bytes that it sends.
//!
//! `comethitch_testkit::Client` speaks both protocols and classifies errors. This client returns SQLSTATEs
//! unchanged, and can connect without sending a startup message.

use super::{TEST_TIMEOUT, query, startup_message};
use comethitch_testkit::postgres::{Message, read_message};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// The reply to a query or to the startup message.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ClientReply {
    /// The value of the last row.
    Value(Vec<u8>),
    /// An error, by its SQLSTATE.
    Error(String),
    /// The reply to an empty query.
    Empty,
    /// The command tag of a reply without a row, or `welcome` for a completed login.
    Done(String),
    /// The connection was closed without a reply.
    Closed,
}

impl ClientReply {
    /// Returns a reply with one value.
    pub(crate) fn value(text: &str) -> ClientReply {
        ClientReply::Value(text.as_bytes().to_vec())
    }

    /// Returns an error with this SQLSTATE.
    pub(crate) fn error(sqlstate: &str) -> ClientReply {
        ClientReply::Error(sqlstate.to_string())
    }
}

/// A connection to a router.
pub(crate) struct PostgresClient {
    /// The socket, for tests that send or read arbitrary bytes.
    pub stream: TcpStream,
}

impl PostgresClient {
    /// Connects and logs in.
    pub(crate) fn connect(address: SocketAddr) -> PostgresClient {
        let mut client = PostgresClient::connect_without_startup(address);
        client.stream.write_all(&startup_message()).expect("the startup message is sent");
        assert_eq!(client.receive(), ClientReply::Done("welcome".into()), "the login must succeed");
        client
    }

    /// Connects without sending a startup message.
    pub(crate) fn connect_without_startup(address: SocketAddr) -> PostgresClient {
        let stream = TcpStream::connect(address).expect("the router accepts connections");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is not zero");
        PostgresClient { stream }
    }

    /// Sends a query.
    pub(crate) fn send(&mut self, text: &str) {
        self.stream.write_all(&query(text)).expect("the query is sent");
    }

    /// Sends a query and waits for its reply.
    pub(crate) fn execute(&mut self, text: &str) -> ClientReply {
        self.send(text);
        self.receive()
    }

    /// Reads the next reply, up to `ReadyForQuery` or the end of the connection.
    pub(crate) fn receive(&mut self) -> ClientReply {
        let mut reply = ClientReply::Closed;
        while let Ok(Message { message_type, body }) = read_message(&mut self.stream) {
            match message_type {
                b'Z' => return reply,
                b'R' => reply = ClientReply::Done("welcome".into()),
                b'D' => reply = ClientReply::Value(body[6..].to_vec()),
                b'I' => reply = ClientReply::Empty,
                b'C' if reply == ClientReply::Closed => reply = ClientReply::Done(text_of(&body)),
                b'E' => {
                    let code = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&b'C'));
                    reply = ClientReply::Error(text_of(&code.expect("the error holds an SQLSTATE")[1..]));
                }
                _ => {}
            }
        }
        reply
    }
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).trim_end_matches('\0').to_string()
}
