//! Case: a second copy of an answer that arrives just after the router has reused the connection.

use crate::common::{
    Answer, Client, HostBehaviour, HostQuery, Record, Router, endpoint_list, read_text, row_answer,
    start_discovery, start_host, unix_us, write_text,
};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, mpsc::channel};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const SETTINGS: &str = include_str!("lector.json");
/// Work of a request.
const WORK: Duration = Duration::from_millis(30);
/// One way between the two halls of the deployment, in microseconds.
const ONE_WAY_US: std::ops::Range<u64> = 420..780;
/// One answer in this many is followed by its second copy.
const COPY_EVERY: usize = 10;
/// Time between an answer and its second copy.
const COPY_AFTER: Duration = Duration::from_micros(200);
const CLIENTS: usize = 4;
const LENGTH: Duration = Duration::from_secs(20);

struct Host {
    name: &'static str,
    is_primary: bool,
    trouble: bool,
    answers: AtomicUsize,
    copies: Arc<AtomicUsize>,
    record: Record,
}

impl HostBehaviour for Host {
    fn query(&self, stream: &mut TcpStream, query: &HostQuery) -> io::Result<()> {
        if query.is_probe() {
            let now = unix_us();
            let (seconds, ms) = (now / 1_000_000, now / 1_000 % 1_000);
            let report = format!("x0={seconds}.{ms:03},x1={},queue=0", u8::from(self.is_primary));
            return stream.write_all(&row_answer(&report, "SHOW", self.is_primary, None));
        }
        sleep(WORK);
        let as_of = query.is_write.then(|| unix_us() / 1_000 + 1);
        let answer = row_answer(&value_for(&query.id), "SELECT 1", self.is_primary, as_of);
        stream.write_all(&answer)?;
        self.record.line(&format!("host {} answered id={}", self.name, query.id));
        if !self.trouble || self.answers.fetch_add(1, SeqCst) % COPY_EVERY != COPY_EVERY - 1 {
            return Ok(());
        }
        sleep_exactly(COPY_AFTER);
        // The copy is sent only if nothing else is waiting on the connection.
        stream.set_nonblocking(true)?;
        let nothing_waits = stream.peek(&mut [0]).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        stream.set_nonblocking(false)?;
        if nothing_waits {
            stream.write_all(&answer)?;
            self.copies.fetch_add(1, SeqCst);
            self.record.line(&format!("host {} sent a second copy of id={}, nothing was waiting", self.name, query.id));
        }
        Ok(())
    }
}

/// The value that a host makes for a request.
fn value_for(id: &str) -> String {
    format!("made-for-{id}")
}

fn sleep_exactly(length: Duration) {
    let begin = Instant::now();
    while begin.elapsed() < length {
        std::hint::spin_loop();
    }
}

/// A link to a host on which each piece takes a time of its own, in both directions; the order is kept.
fn start_link(host: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    spawn(move || {
        for near in listener.incoming().flatten() {
            if let Ok(far) = TcpStream::connect(host) {
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                if let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) {
                    delay_bytes(near, far);
                    delay_bytes(far_copy, near_copy);
                }
            }
        }
    });
    address
}

fn delay_bytes(mut from: TcpStream, mut to: TcpStream) {
    let (sender, receiver) = channel::<(Instant, Vec<u8>)>();
    spawn(move || {
        let mut random = unix_us() | 1;
        let mut buffer = [0; 65_536];
        while let Ok(length) = from.read(&mut buffer) {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            let one_way = ONE_WAY_US.start + random % (ONE_WAY_US.end - ONE_WAY_US.start);
            let due = Instant::now() + Duration::from_micros(one_way);
            if length == 0 || sender.send((due, buffer[..length].to_vec())).is_err() {
                return;
            }
        }
    });
    spawn(move || {
        for (due, bytes) in receiver {
            sleep_exactly(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
}

/// Returns whether the rule was kept.
pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let copies = Arc::new(AtomicUsize::new(0));
    let host = |name, is_primary| {
        let (record, copies) = (record.clone(), copies.clone());
        start_link(start_host(Arc::new(Host { name, is_primary, trouble, answers: AtomicUsize::new(0), copies, record })))
    };
    let list = endpoint_list(&[
        ("db-1", host("db-1", true), "south", true),
        ("db-2", host("db-2", false), "south", false),
        ("db-3", host("db-3", false), "south", false),
    ]);
    let discovery = start_discovery(list.clone());
    let router = Router::start("n1", discovery, &list, SETTINGS)?;
    let begin = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, address) = (record.clone(), router.address);
            spawn(move || serve_client(number, address, &record, begin))
        })
        .collect();
    let (mut served, mut foreign) = (0, 0);
    for client in clients {
        let (own_served, own_foreign) = client.join().map_err(|_| io::Error::other("a client failed"))??;
        served += own_served;
        foreign += own_foreign;
    }
    let copies = copies.load(SeqCst);
    record.say(&format!("{served} requests served, {copies} second copies sent, {foreign} requests served with a value made for another request"));
    if served < 100 || trouble && copies < 10 {
        return Err(io::Error::other("too little traffic for a verdict"));
    }
    Ok(foreign == 0)
}

fn serve_client(number: usize, router: SocketAddr, record: &Record, begin: Instant) -> io::Result<(usize, usize)> {
    let mut client = Client::connect(router)?;
    let (mut served, mut foreign) = (0, 0);
    for count in 0.. {
        if begin.elapsed() >= LENGTH {
            break;
        }
        let id = format!("c{number}n{count:05}");
        let text = match count % 10 {
            0 => write_text(&id, "write", 3000, &id),
            1 => read_text(&id, "fresh", 750, &id),
            _ => read_text(&id, "read", 600, &id),
        };
        record.line(&format!("client {number} sent id={id}"));
        let answer = client.request(&text);
        match &answer {
            Answer::Served(value) if *value == value_for(&id) => served += 1,
            Answer::Served(value) => {
                served += 1;
                foreign += 1;
                record.line(&format!("BROKEN: client {number}, id={id}: served with {value}"));
            }
            Answer::Error(code) => record.line(&format!("client {number}, id={id}: error {code}")),
            Answer::Nothing => {
                record.line(&format!("client {number}, id={id}: connection ended"));
                client = Client::connect(router)?;
            }
        }
    }
    Ok((served, foreign))
}
