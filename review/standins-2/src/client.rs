//! A client of a router: one session on one connection.

use crate::record::Record;
use crate::wire;
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// What a client sees of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A value.
    Value(Vec<u8>),
    /// An error with this SQLSTATE.
    Error(String),
    /// An empty query was answered.
    Empty,
    /// The connection ended without an answer.
    Closed,
    /// No answer came while the client waited.
    None,
}

impl Answer {
    /// A final answer: served, refused or failed.
    pub fn is_final(&self) -> bool {
        matches!(self, Answer::Value(_) | Answer::Error(_) | Answer::Empty)
    }

    pub fn text(&self) -> String {
        match self {
            Answer::Value(value) if value.len() > 40 => format!("value of {} bytes", value.len()),
            Answer::Value(value) => format!("value {:?}", String::from_utf8_lossy(value)),
            Answer::Error(code) if code == "53300" || code == "57P03" => format!("refused {code}"),
            Answer::Error(code) => format!("failed {code}"),
            Answer::Empty => "empty".into(),
            Answer::Closed => "closed without an answer".into(),
            Answer::None => "no answer".into(),
        }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of a request.
pub fn new_id() -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000 + NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// A read of a key.
pub fn read_text(id: &str, class: &str, d_ms: u64, key: &str) -> String {
    format!("/* id={id},c={class},d={d_ms},cluster=0 */ SELECT data FROM facts WHERE code = '{key}'")
}

/// A write of a value, in hexadecimal digits, to a key.
pub fn write_text(id: &str, class: &str, d_ms: u64, key: &str, hex: &str) -> String {
    format!(
        "/* id={id},c={class},d={d_ms},cluster=0 */ INSERT INTO facts (code, data) VALUES ('{key}', '\\x{hex}') RETURNING data"
    )
}

pub struct Client {
    pub stream: TcpStream,
    /// The number and the key of the session, for a request to cancel.
    pub key_data: Vec<u8>,
}

impl Client {
    /// Connects and starts a session.
    pub fn connect(router: SocketAddr, patience: Duration) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&router, patience)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_write_timeout(Some(patience))?;
        stream.write_all(&wire::startup())?;
        let mut key_data = Vec::new();
        loop {
            match wire::read_message(&mut stream)? {
                (b'Z', _) => return Ok(Client { stream, key_data }),
                (b'K', body) => key_data = body,
                (b'E', body) => return Err(io::Error::other(wire::error_code(&body))),
                _ => {}
            }
        }
    }

    /// Sends a statement and waits for its answer.
    pub fn ask(&mut self, text: &str, patience: Duration) -> Answer {
        if self.stream.write_all(&wire::query(text)).is_err() {
            return Answer::Closed;
        }
        self.answer(patience)
    }

    /// Waits for the answer to the oldest statement that has none.
    pub fn answer(&mut self, patience: Duration) -> Answer {
        let until = Instant::now() + patience;
        let mut answer = None;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.stream.set_read_timeout(Some(left)).is_err() {
                return Answer::None;
            }
            match wire::read_message(&mut self.stream) {
                Ok((b'D', body)) => answer = Some(Answer::Value(body.get(6..).unwrap_or_default().to_vec())),
                Ok((b'E', body)) => answer = Some(Answer::Error(wire::error_code(&body))),
                Ok((b'I', _)) => answer = Some(Answer::Empty),
                Ok((b'Z', _)) => return answer.unwrap_or(Answer::Closed),
                Ok(_) => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Answer::None;
                }
                // After a fatal error, no ReadyForQuery is needed.
                Err(_) => return answer.unwrap_or(Answer::Closed),
            }
        }
    }
}

/// Waits until a router has answered an empty query.
pub fn wait_until_ready(router: SocketAddr, record: &Record) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if let Ok(mut client) = Client::connect(router, Duration::from_secs(5))
            && client.ask("", Duration::from_secs(8)) == Answer::Empty
        {
            record.line("router is ready");
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
