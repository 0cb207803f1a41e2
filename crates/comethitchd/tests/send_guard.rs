//! What must hold at the very moment in which an attempt leaves: it was decided on earlier, and connections, stalls and
//! hosts that read slowly come between.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime};
use support::*;

/// After this long nothing may begin any more for a client that has disconnected.
const EXIT_GRACE: Duration = Duration::from_millis(100);
/// How long a host that was greeted late reads before it reports what it was sent.
const READ_SPAN: Duration = Duration::from_millis(300);

/// A host that accepts connections and greets none before it is told to.
struct LateHost {
    address: SocketAddr,
    greet: Sender<()>,
    /// All bytes of each connection, once no more come.
    received: Receiver<Vec<u8>>,
}

fn late_host() -> LateHost {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (greet, greeted) = channel::<()>();
    let (report, received) = channel();
    spawn(move || {
        let mut held: Vec<TcpStream> = Vec::new();
        listener.set_nonblocking(true).expect("an option");
        while greeted.try_recv().is_err() {
            held.extend(listener.accept().ok().map(|(stream, _)| stream));
            sleep(Duration::from_millis(2));
        }
        for stream in held {
            let report = report.clone();
            spawn(move || report.send(greet_and_read(stream)));
        }
    });
    LateHost { address, greet, received }
}

fn greet_and_read(mut stream: TcpStream) -> Vec<u8> {
    stream.set_nonblocking(false).expect("an option");
    stream.set_read_timeout(Some(READ_SPAN)).expect("a limit");
    let _ = stream.write_all(&[message(b'R', &[0; 4]), ready()].concat());
    let (mut all, mut some) = (Vec::new(), [0; 4096]);
    while let Ok(length @ 1..) = stream.read(&mut some) {
        all.extend(&some[..length]);
    }
    all
}

/// The text of what was received, if the request with this id is in it.
fn request_in(received: &[Vec<u8>], id: u32) -> Option<String> {
    let texts = received.iter().map(|bytes| String::from_utf8_lossy(bytes).into_owned());
    texts.into_iter().find(|text| text.contains(&format!("id={id},")))
}

#[test]
fn a_host_is_told_no_more_time_than_its_client_has_left_when_the_connection_was_slow() {
    const WAIT_MS: u32 = 600;
    let host = late_host();
    let router = Router::start(configuration(&[entry("p", host.address, true, "ready")], None, 1024));
    let mut client = Client::connect(router.address);
    let sent_at = Instant::now();
    client.0.write_all(&query(&write(1, WAIT_MS))).expect("sent");
    sleep(Duration::from_millis(200));
    let passed_ms = sent_at.elapsed().as_millis() as u32;
    host.greet.send(()).expect("told");
    let received: Vec<Vec<u8>> = host.received.iter().collect();
    let text = request_in(&received, 1).expect("the command was sent");
    let told = text.split(",d=").nth(1).and_then(|rest| rest.split(',').next()).expect("d");
    let told_ms: u32 = told.parse().expect("a number");
    assert!(told_ms <= WAIT_MS - passed_ms, "told {told_ms} ms, {passed_ms} of {WAIT_MS} had passed");
    drop(client);
    router.wait();
}

#[test]
fn a_stall_in_which_a_client_goes_sends_nothing_for_it_although_its_host_is_heard_first() {
    let host = late_host();
    let mut all = configuration(&[entry("p", host.address, true, "ready")], None, 1024);
    all["settings"]["permissions"]["connect_timeout_us"] = 3_000_000.into();
    let program = Program::start("stalled", &all);
    let mut client = Client::connect(program.address);
    client.0.write_all(&query(&write(1, 5_000))).expect("sent");
    // The connection to the host is on its way; the router stands still as its greeting comes, and then its client goes.
    sleep(EXIT_GRACE);
    program.signal("STOP");
    host.greet.send(()).expect("told");
    sleep(EXIT_GRACE / 2);
    drop(client);
    sleep(EXIT_GRACE * 3 / 2);
    program.signal("CONT");
    let received: Vec<Vec<u8>> = host.received.iter().collect();
    assert!(!received.is_empty(), "a connection was attempted");
    assert_eq!(request_in(&received, 1), None, "nothing begins for a client that has gone");
    program.signal("TERM");
    program.ends();
}

/// A replica whose data stand still, and that takes in a long statement only after a while: when it had all of it.
fn slowly_reading_replica(stands_still: SystemTime, pause: Duration) -> (SocketAddr, Receiver<SystemTime>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    // Accepted connections inherit it.
    rustix::net::sockopt::set_socket_recv_buffer_size(&listener, 2048).expect("an option");
    let address = listener.local_addr().expect("an address");
    let (report, complete) = channel();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let report = report.clone();
            spawn(move || slowly_reading_connection(stream, stands_still, pause, &report));
        }
    });
    (address, complete)
}

fn slowly_reading_connection(
    mut stream: TcpStream, stands_still: SystemTime, pause: Duration, report: &Sender<SystemTime>,
) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).ok()?;
    stream.write_all(&[message(b'R', &[0; 4]), ready()].concat()).ok()?;
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4;
        let is_long = length > 10_000;
        if is_long {
            sleep(pause);
        }
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        if is_long {
            report.send(SystemTime::now()).ok()?;
        }
        let unix = stands_still.duration_since(SystemTime::UNIX_EPOCH).ok()?.as_millis();
        let vitals = format!("x0={}.{:03},x1=0", unix / 1000, unix % 1000);
        let value = if is_long { "stale".into() } else { vitals };
        stream
            .write_all(&[row(value.as_bytes()), parameter_status("rank", "copy"), ready()].concat())
            .ok()?;
    }
}

#[test]
fn a_bounded_read_that_a_host_takes_in_too_slowly_never_arrives_complete() {
    const BOUND: Duration = Duration::from_secs(3);
    let primary = host(true, |_, _| HostAction::Answer(row(b"new")));
    let stands_still = SystemTime::now() - BOUND + Duration::from_millis(600);
    let (replica, complete) = slowly_reading_replica(stands_still, Duration::from_millis(900));
    let hosts = [entry("p", primary.address, true, "ready"), entry("r", replica, false, "ready")];
    let router = Router::start(configuration(&hosts, None, 1024));
    let mut client = Client::connect(router.address);
    let from_replica = |reply| matches!(reply, ClientReply::Value(value) if value.starts_with(b"x0="));
    assert!((10..40).any(|id| from_replica(client.ask(&read(id, 600)))), "the replica is in use");
    let long = read(1, 2_500).replace("'k1'", &format!("'{}'", "k".repeat(100_000)));
    let got = client.ask(&long);
    let too_late = complete.try_iter().find(|at| *at > stands_still + BOUND);
    assert_eq!(too_late, None, "the replica had the read complete from data too old, and it got {got:?}");
    assert_eq!(got, ClientReply::Value(b"new".to_vec()), "the primary serves it");
    drop(client);
    router.wait();
}
