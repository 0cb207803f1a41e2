//! A database host: one engine, whatever is spoken with it.

use crate::ledger::{Entry, Ledger};
use crate::{LONG, Protocol, writes};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

/// What a host does with a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostBehavior {
    /// Runs it, and answers with its key.
    Answer,
    /// The same, once this has passed.
    AnswerAfter(Duration),
    /// The same, the answer byte by byte.
    Trickle,
    /// The same, with a surplus behind the answer.
    AnswerTwice,
    /// Closes the connection before it runs.
    ResetBefore,
    /// Runs it, and closes the connection without a word.
    ResetAfter,
    /// Runs it, sends half of the answer, and closes the connection.
    Truncate,
    /// Runs it, and answers nonsense.
    Malformed,
    /// Says nothing, and never runs it.
    Hang,
    /// Runs it, and says nothing.
    HangAfter,
    /// Turns it away: no room.
    Overloaded,
    /// Answers with an error of its own, without an effect.
    Error,
    /// An error on which drivers try again, once it ran.
    TransientError,
    /// Runs it, and answers with two megabytes in rows of which the last is its key.
    LargeAnswer,
    /// The same, and closes the connection after three quarters of it.
    TruncateLargeAnswer,
    /// Runs it, and leaves a transaction open.
    LeaveTransactionOpen,
    /// Runs it, and answers with a row of every type, where the protocol has types.
    AllTypes,
}

type Script = Box<dyn Fn(usize, &str) -> HostBehavior + Send + Sync>;

pub(crate) struct Engine {
    pub name: String,
    primary: AtomicBool,
    /// Its data are this many milliseconds old.
    lag_ms: AtomicU64,
    /// Connections are refused, and those that are open end at their next command.
    down: AtomicBool,
    script: Mutex<Script>,
    /// Commands that have come.
    nth: AtomicUsize,
    ledger: Ledger,
    told: Mutex<Sender<String>>,
    pub connections: AtomicUsize,
    /// Those that are open, to be broken when it dies.
    open: Mutex<Vec<TcpStream>>,
}

/// What is to be answered.
pub(crate) enum Act {
    HostBehavior(HostBehavior, String),
    /// It is no primary, and the command writes.
    Miss,
    Close,
}

impl Engine {
    /// A probe's answer: milliseconds of Unix time up to which all is applied here.
    pub fn position_ms(&self) -> u64 {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        (now.as_millis() as u64).saturating_sub(self.lag_ms.load(Ordering::SeqCst))
    }

    pub fn is_primary(&self) -> bool {
        self.primary.load(Ordering::SeqCst)
    }

    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// A command has come whole: what happens with it. What runs is in the ledger before anything is answered.
    pub fn met(&self, text: &str) -> Act {
        if self.is_down() {
            return Act::Close;
        }
        self.ledger.record(Entry::Arrived { host: self.name.clone(), text: text.into() });
        let nth = self.nth.fetch_add(1, Ordering::SeqCst);
        let step = self.script.lock().expect("no panic while it is held")(nth, text);
        if writes(text) && !self.is_primary() {
            self.tell(text);
            return Act::Miss;
        }
        if let HostBehavior::AnswerAfter(span) = step {
            std::thread::sleep(span);
        }
        let runs = !matches!(
            step,
            HostBehavior::ResetBefore | HostBehavior::Hang | HostBehavior::Overloaded | HostBehavior::Error
        );
        if runs {
            let (host, primary) = (self.name.clone(), self.is_primary());
            self.ledger.record(Entry::Executed { host, text: text.into(), primary });
        }
        self.tell(text);
        Act::HostBehavior(step, crate::key(text).to_string())
    }

    /// Something came on a connection on which a transaction was left open.
    pub fn mixed(&self, text: &str) {
        self.ledger.record(Entry::Interleaved { host: self.name.clone(), text: text.into() });
    }

    fn tell(&self, text: &str) {
        let _ = self.told.lock().expect("no panic while it is held").send(text.into());
    }
}

/// A host on loopback.
pub struct Host {
    pub address: SocketAddr,
    engine: Arc<Engine>,
    came: Receiver<String>,
}

impl Host {
    /// Starts one. It answers each command until it is told otherwise.
    pub fn start(name: &str, protocol: Protocol, primary: bool, ledger: &Ledger) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, came) = channel();
        let engine = Arc::new(Engine {
            name: name.into(),
            primary: AtomicBool::new(primary),
            lag_ms: AtomicU64::new(0),
            down: AtomicBool::new(false),
            script: Mutex::new(Box::new(|_, _| HostBehavior::Answer)),
            nth: AtomicUsize::new(0),
            ledger: ledger.clone(),
            told: Mutex::new(tell),
            connections: AtomicUsize::new(0),
            open: Mutex::new(Vec::new()),
        });
        let held = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = held.clone();
                if engine.is_down() {
                    continue;
                }
                engine.connections.fetch_add(1, Ordering::SeqCst);
                let copy = stream.try_clone();
                engine.open.lock().expect("no panic while it is held").extend(copy);
                std::thread::spawn(move || serve(protocol, stream, &engine));
            }
        });
        Host { address, engine, came }
    }

    /// What it does from now on; `nth` counts commands from the start.
    pub fn script(&self, script: impl Fn(usize, &str) -> HostBehavior + Send + Sync + 'static) {
        *self.engine.script.lock().expect("no panic while it is held") = Box::new(script);
    }

    pub fn set_primary(&self, primary: bool) {
        self.engine.primary.store(primary, Ordering::SeqCst);
    }

    pub fn set_lag(&self, lag: Duration) {
        self.engine.lag_ms.store(lag.as_millis() as u64, Ordering::SeqCst);
    }

    /// It dies: its connections break, and what comes finds nobody.
    pub fn set_down(&self, down: bool) {
        self.engine.down.store(down, Ordering::SeqCst);
        self.break_connections();
    }

    /// Breaks all connections; new ones may come.
    pub fn break_connections(&self) {
        for stream in self.engine.open.lock().expect("no panic while it is held").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Waits for the next command.
    pub fn next_command(&self) -> String {
        self.came.recv_timeout(LONG).expect("a command at the host")
    }

    /// How many connections it has had.
    pub fn connections(&self) -> usize {
        self.engine.connections.load(Ordering::SeqCst)
    }
}

fn serve(protocol: Protocol, stream: TcpStream, engine: &Engine) {
    let _ = stream.set_nodelay(true);
    let copy = stream.try_clone();
    // A connection that breaks is the router's own doing, or was asked for.
    let _: io::Result<()> = match protocol {
        Protocol::Postgres => crate::postgres::serve(stream, engine),
        Protocol::Tds => crate::tds::serve(stream, engine),
    };
    // Its copies stay open by themselves.
    if let Ok(copy) = copy {
        let _ = copy.shutdown(std::net::Shutdown::Both);
    }
}
