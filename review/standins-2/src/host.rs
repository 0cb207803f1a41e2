//! A database host: a listener with a thread for each connection.

use crate::record::Record;
use crate::wire;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The time of all machines but those whose clock was stepped, in milliseconds of Unix time.
pub fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

/// One connection of a host.
pub struct HostConnection {
    pub stream: TcpStream,
    /// Number of statements that this connection has carried before, without probes and empty queries.
    pub served: u64,
    /// When the last byte of the latest statement was read, in milliseconds of the record.
    pub arrived: f64,
}

/// What happens to a connection after a statement.
pub enum Next {
    /// It goes on.
    Continue,
    /// It falls silent: nothing is said on it any more, and it stays open.
    Silent,
    /// The host closes it.
    Close,
}

/// How a host answers a statement.
pub type Handler = dyn Fn(&HostState, &mut HostConnection, &str) -> io::Result<Next> + Send + Sync;

pub struct HostState {
    pub name: String,
    pub record: Record,
    pub is_primary: AtomicBool,
    /// The position at which the host stands still, in milliseconds of Unix time; 0 if it follows the clock.
    pub frozen_at: AtomicI64,
    /// How far the position of a host that follows is behind, in milliseconds.
    pub lag_ms: AtomicI64,
    /// How far the clock of the hosts is ahead of the router's.
    pub clock_ahead_ms: i64,
    /// While set, the host takes what comes and answers nothing.
    pub hangs: AtomicBool,
    /// Whether answers hold load reports.
    pub reports_inline: AtomicBool,
    pub probes: AtomicU64,
    pub statements: AtomicU64,
}

impl HostState {
    pub fn new(name: &str, record: &Record, is_primary: bool, clock_ahead_ms: i64) -> Arc<HostState> {
        Arc::new(HostState {
            name: name.into(),
            record: record.clone(),
            is_primary: AtomicBool::new(is_primary),
            frozen_at: AtomicI64::new(0),
            lag_ms: AtomicI64::new(if is_primary { 0 } else { 8 }),
            clock_ahead_ms,
            hangs: AtomicBool::new(false),
            reports_inline: AtomicBool::new(false),
            probes: AtomicU64::new(0),
            statements: AtomicU64::new(0),
        })
    }

    /// The hosts' time.
    pub fn time(&self) -> i64 {
        unix_ms() + self.clock_ahead_ms
    }

    /// The position up to which the host has applied all commits.
    pub fn position(&self) -> i64 {
        match self.frozen_at.load(Ordering::SeqCst) {
            0 => self.time() - self.lag_ms.load(Ordering::SeqCst),
            frozen => frozen,
        }
    }

    pub fn rank(&self) -> &'static str {
        if self.is_primary.load(Ordering::SeqCst) { "source" } else { "copy" }
    }

    fn vitals(&self) -> String {
        let position = self.position();
        let is_primary = u8::from(self.is_primary.load(Ordering::SeqCst));
        format!("x0={}.{:03},x1={is_primary},util=0.10,queue=0", position / 1000, position % 1000)
    }

    /// Appends the end of an answer: role and `ReadyForQuery`.
    pub fn put_end(&self, out: &mut Vec<u8>, position: Option<i64>) {
        wire::put_parameter(out, "rank", self.rank());
        if let Some(position) = position {
            wire::put_parameter(out, "as_of", &position.to_string());
        }
        if self.reports_inline.load(Ordering::SeqCst) {
            wire::put_parameter(out, "vitals", &self.vitals());
        }
        wire::put_ready(out);
    }

    /// A whole answer with a value.
    pub fn value(&self, value: &[u8], tag: &str, position: Option<i64>) -> Vec<u8> {
        let mut out = Vec::new();
        wire::put_row(&mut out, value);
        wire::put_complete(&mut out, tag);
        self.put_end(&mut out, position);
        out
    }

    /// A whole answer with an error.
    pub fn error(&self, code: &str, text: &str) -> Vec<u8> {
        let mut out = Vec::new();
        wire::put_error(&mut out, code, text);
        self.put_end(&mut out, None);
        out
    }

    fn wait_while_hanging(&self) {
        while self.hangs.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Starts a host; returns its address.
pub fn start(state: Arc<HostState>, handler: Arc<Handler>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (state, handler) = (state.clone(), handler.clone());
            std::thread::spawn(move || {
                let _ = serve(&state, stream, &*handler);
            });
        }
    });
    Ok(address)
}

fn serve(state: &HostState, mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    wire::read_startup(&mut stream)?;
    state.wait_while_hanging();
    let mut out = Vec::new();
    wire::put(&mut out, b'R', &[0; 4]);
    wire::put_parameter(&mut out, "server_version", "15.0");
    wire::put(&mut out, b'K', &[0, 0, 0, 1, 0, 0, 0, 2]);
    wire::put_ready(&mut out);
    stream.write_all(&out)?;
    let mut connection = HostConnection { stream, served: 0, arrived: 0.0 };
    loop {
        let (kind, body) = wire::read_message(&mut connection.stream)?;
        if kind == b'X' {
            return Ok(());
        }
        connection.arrived = state.record.now();
        let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
        state.wait_while_hanging();
        let mut out = Vec::new();
        match text.trim() {
            "" => {
                wire::put(&mut out, b'I', b"");
                wire::put_ready(&mut out);
            }
            "SHOW vitals" => {
                state.probes.fetch_add(1, Ordering::SeqCst);
                let vitals = state.vitals();
                state.record.line(format!("{} probed: {vitals}", state.name));
                wire::put_row(&mut out, vitals.as_bytes());
                wire::put_complete(&mut out, "SHOW");
                wire::put_ready(&mut out);
            }
            "SELECT 1" => {
                wire::put_row(&mut out, b"1");
                wire::put_complete(&mut out, "SELECT 1");
                wire::put_ready(&mut out);
            }
            set if ["SET", "RESET", "DISCARD"].iter().any(|word| set.starts_with(word)) => {
                wire::put_complete(&mut out, set.split(' ').next().unwrap());
                wire::put_ready(&mut out);
            }
            _ => {
                state.statements.fetch_add(1, Ordering::SeqCst);
                let next = handler(state, &mut connection, &text)?;
                connection.served += 1;
                match next {
                    Next::Continue => {}
                    Next::Close => return Ok(()),
                    Next::Silent => loop {
                        // What comes is read and not answered; the end of the connection is seen.
                        wire::read_message(&mut connection.stream)?;
                    },
                }
            }
        }
        connection.stream.write_all(&out)?;
    }
}
