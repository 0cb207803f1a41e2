//! Endings while an answer is still owed: clients that disconnect, routers that shut down,
//! connections that close. `docs/endings.md` lists them, each with its test.

mod support;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use support::*;

/// After this long nothing may begin any more for a client that has disconnected.
const EXIT_GRACE: Duration = Duration::from_millis(100);
/// How much later than it should something may happen on a busy machine.
const BUSY_MACHINE_SLACK: Duration = Duration::from_millis(400);

fn queries(host: &Host) -> usize {
    host.met.try_iter().filter(|met| matches!(met, HostEvent::Query(_))).count()
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
enum ClientExit {
    Closes,
    /// It ends its sending, and would go on reading.
    HalfCloses,
    Resets,
}

impl ClientExit {
    const ALL: [ClientExit; 3] = [ClientExit::Closes, ClientExit::HalfCloses, ClientExit::Resets];

    /// The client that is returned keeps a half closed connection open.
    fn apply(self, client: Client) -> Option<Client> {
        match self {
            ClientExit::Closes => None,
            ClientExit::HalfCloses => {
                client.0.shutdown(Shutdown::Write).expect("half closed");
                Some(client)
            }
            ClientExit::Resets => {
                rustix::net::sockopt::set_socket_linger(&client.0, Some(Duration::ZERO)).expect("an option");
                None
            }
        }
    }
}

/// Enough requests that the router stops reading before the end of the connection can be read.
fn pipelined_requests(from: u32) -> Vec<u8> {
    (from..from + 400).flat_map(|id| query(&write(id, 5_000))).collect()
}

#[test]
fn a_client_that_goes_behind_pipelined_commands_has_gone() {
    for exit in ClientExit::ALL {
        let primary = host(true, |_, _| HostAction::Silence);
        let router = router_with_one_host(&primary);
        let mut client = Client::connect(router.address);
        client.0.write_all(&query(&write(1, 5_000))).expect("sent");
        assert!(matches!(primary.next(), HostEvent::Query(_)), "the first is out");
        client.0.write_all(&pipelined_requests(2)).expect("sent");
        let (gone, _held) = (Instant::now(), exit.apply(client));
        assert_eq!(primary.next(), HostEvent::Ended, "{exit:?}: the first is called off");
        let took = gone.elapsed();
        assert!(took < EXIT_GRACE + BUSY_MACHINE_SLACK, "{exit:?}: only after {took:?}");
        // Whoever comes next is served at once: none of the four hundred was begun.
        router.wait();
        assert_eq!(queries(&primary), 0, "{exit:?}");
    }
}

#[test]
fn a_command_read_after_its_client_has_gone_is_not_begun() {
    for exit in ClientExit::ALL {
        let primary = host(true, |_, _| answer("value"));
        let all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
        let program = Program::start(&format!("read-late-{exit:?}"), &all);
        let mut first = Client::connect(program.address);
        assert_eq!(first.ask(&write(1, 5_000)), ClientReply::Value(b"value".to_vec()));
        let mut open = Client::connect(program.address);
        // All of it waits in the system until the router goes on.
        program.signal("STOP");
        let mut new = Client::raw(program.address);
        new.0.write_all(&[startup(), query(&write(2, 5_000))].concat()).expect("sent");
        open.0.write_all(&query(&write(3, 5_000))).expect("sent");
        let _held = [exit.apply(new), exit.apply(open)];
        sleep(EXIT_GRACE);
        program.signal("CONT");
        assert_eq!(first.ask(&write(4, 5_000)), ClientReply::Value(b"value".to_vec()));
        program.signal("TERM");
        program.ends();
        let met: Vec<HostEvent> = primary.met.try_iter().collect();
        let begun = |id: u32| {
            met.iter().any(|met| matches!(met, HostEvent::Query(text) if text.contains(&format!("id={id},"))))
        };
        assert!(begun(1) && begun(4) && !begun(2) && !begun(3), "{exit:?}: {met:?}");
    }
}

/// A host that accepts connections and completes no startup before it is signalled to; what it is sent after that.
fn host_with_late_greeting()
-> (std::net::SocketAddr, std::sync::mpsc::Sender<()>, std::sync::mpsc::Receiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (greet, greeted) = channel::<()>();
    let (tell, told) = channel();
    spawn(move || {
        let mut held: Vec<TcpStream> = Vec::new();
        listener.set_nonblocking(true).expect("an option");
        while greeted.try_recv().is_err() {
            held.extend(listener.accept().ok().map(|(stream, _)| stream));
            sleep(Duration::from_millis(2));
        }
        for mut stream in held {
            stream.set_nonblocking(false).expect("an option");
            stream.set_read_timeout(Some(Duration::from_millis(300))).expect("a limit");
            let _ = stream.write_all(&[message(b'R', &[0; 4]), ready()].concat());
            let (mut all, mut some) = (Vec::new(), [0; 4096]);
            while let Ok(length @ 1..) = stream.read(&mut some) {
                all.extend(&some[..length]);
            }
            let _ = tell.send(all);
        }
    });
    (address, greet, told)
}

#[test]
fn a_connection_that_comes_up_after_its_client_has_gone_carries_no_command() {
    for (exit, cancel) in ClientExit::ALL.into_iter().flat_map(|exit| [(exit, true), (exit, false)]) {
        let (address, greet, told) = host_with_late_greeting();
        let mut all = configuration(&[entry("p", address, true, "ready")], None, 1024);
        all["settings"]["permissions"]["cancel"] = cancel.into();
        all["settings"]["permissions"]["connect_timeout_us"] = 3_000_000.into();
        let router = Router::start(all);
        let mut client = Client::connect(router.address);
        client.0.write_all(&query(&write(1, 5_000))).expect("sent");
        // The router attempts a connection for the request, and probes: both have their startup message out before it goes.
        sleep(EXIT_GRACE);
        let _held = exit.apply(client);
        sleep(EXIT_GRACE * 2);
        greet.send(()).expect("told");
        let sent: Vec<Vec<u8>> = told.iter().collect();
        assert!(!sent.is_empty(), "a connection was attempted");
        let begun = sent.iter().any(|bytes| String::from_utf8_lossy(bytes).contains("id=1,"));
        assert!(!begun, "{exit:?}, cancel {cancel}");
        router.wait();
    }
}

/// Waits until the peer has shut its sending half down, and reads nothing.
fn wait_for_end_of_stream(stream: &TcpStream) {
    let mut asked = [PollFd::new(stream, PollFlags::RDHUP)];
    let limit = Timespec { tv_sec: TEST_TIMEOUT.as_secs() as i64, tv_nsec: 0 };
    assert_eq!(poll(&mut asked, Some(&limit)), Ok(1), "the router closes");
}

#[test]
fn bytes_that_cross_the_close_of_a_resting_connection_reset_nothing_and_are_not_carried_out() {
    let primary = host(true, |nth, _| answer(&format!("value {nth}")));
    let router = router_with_one_host(&primary);
    let mut client = Client::connect(router.address);
    // Its last answer waits unread, and the next request comes in the moment in which it is closed.
    client.0.write_all(&query(&write(1, 5_000))).expect("sent");
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    router.ask_to_stop();
    wait_for_end_of_stream(&client.0);
    client.0.write_all(&query(&write(2, 5_000))).expect("sent");
    assert_eq!(client.receive(), ClientReply::Value(b"value 0".to_vec()));
    let end = client.0.read(&mut [0]);
    assert!(matches!(end, Ok(0)), "an end and no reset: {end:?}");
    router.wait();
    assert_eq!(queries(&primary), 0, "what crossed the close is the client's to send again");
}

#[test]
fn a_client_that_sends_on_and_on_holds_no_router_up_and_loses_no_answer() {
    let primary = host(true, |nth, _| answer(&format!("value {nth}")));
    let all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
    let program = Program::start("on-and-on", &all);
    let mut client = Client::connect(program.address);
    // Sixteen are always ahead of their answers, until the connection ends.
    let mut sent = 0;
    let mut send = |stream: &mut TcpStream| {
        sent += 1;
        stream.write_all(&query(&write(sent, 5_000))).is_ok()
    };
    (0..16).for_each(|_| assert!(send(&mut client.0)));
    let (mut answered, mut asked) = (0, None);
    loop {
        match client.receive() {
            ClientReply::Value(value) => assert_eq!(value, format!("value {answered}").into_bytes()),
            ClientReply::Closed => break,
            other => panic!("{other:?}"),
        }
        answered += 1;
        if answered == 50 {
            program.signal("TERM");
            asked = Some(Instant::now());
        }
        send(&mut client.0);
    }
    let took = asked.expect("a signal").elapsed();
    program.ends();
    assert!(took < Duration::from_secs(2), "the connection ended only {took:?} after the signal");
    assert_eq!(queries(&primary), answered, "each that was sent on was answered");
}

#[test]
fn a_router_that_stops_before_a_host_that_hangs_answers_within_the_short_time_left() {
    let primary = host(true, |_, _| HostAction::Silence);
    let all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
    let program = Program::start("hangs", &all);
    let mut clients: Vec<Client> = (0..3).map(|_| Client::connect(program.address)).collect();
    let began = Instant::now();
    for (id, client) in clients.iter_mut().enumerate() {
        let text = if id == 0 { read(1, 300) } else { write(1 + id as u32, 300) };
        client.0.write_all(&query(&text)).expect("sent");
    }
    // A write's last byte is just written, and more are on their way.
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    program.signal("TERM");
    for client in &mut clients {
        let got = client.receive();
        assert!(matches!(got, ClientReply::Error(_)), "{got:?}");
        assert!(began.elapsed() < Duration::from_millis(300) + BUSY_MACHINE_SLACK, "{:?}", began.elapsed());
    }
    program.ends();
}

#[test]
fn a_client_that_never_reads_holds_no_router_up() {
    let primary = host(true, |_, _| HostAction::Answer(row(&[b'x'; 60_000])));
    let all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
    let program = Program::start("never-reads", &all);
    let mut client = Client::connect(program.address);
    let mut sends = client.0.try_clone().expect("a copy");
    // Until the system takes no more: both directions are full.
    sends.set_write_timeout(Some(Duration::from_millis(300))).expect("a limit");
    let mut sent = 0;
    while sends.write_all(&query(&write(sent, 5_000))).is_ok() && sent < 10_000 {
        sent += 1;
    }
    let mut other = Client::connect(program.address);
    assert!(matches!(other.ask(&write(50_000, 5_000)), ClientReply::Value(_)), "another one is served");
    program.signal("TERM");
    program.ends();
    assert!(matches!(client.receive(), ClientReply::Value(_)));
}

/// Whatever a configuration that is read again does to the request classes, a request ends under what it came in under.
#[test]
fn a_reload_that_reorders_command_groups_changes_nothing_for_commands_in_hand() {
    let (tell, go) = channel::<()>();
    let go = std::sync::Mutex::new(go);
    let primary = host(true, move |nth, _| {
        if nth < 2 {
            go.lock().expect("a turn").recv().expect("told to go on");
            return HostAction::Close;
        }
        answer("again")
    });
    let mut all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
    let mut program = Program::start("reorders", &all);
    let (mut writer, mut reader) = (Client::connect(program.address), Client::connect(program.address));
    writer.0.write_all(&query(&write(1, 5_000))).expect("sent");
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    let fresh = read(2, 5_000);
    reader.0.write_all(&query(&fresh)).expect("sent");
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    let settings = &mut all["settings"];
    settings["classes"].as_array_mut().expect("groups").reverse();
    for key in ["class_read", "oldest_data_us"] {
        settings["domain"][key].as_array_mut().expect("a list").reverse();
    }
    std::fs::write(&program.file, all.to_string()).expect("written");
    program.signal("HUP");
    program.logs("setting changed, effective after restart key=settings.classes");
    (0..2).for_each(|_| tell.send(()).expect("told"));
    assert_eq!(writer.receive(), ClientReply::Error("40003".into()), "it may have run: it is no read now");
    assert_eq!(
        reader.receive(),
        ClientReply::Value(b"again".to_vec()),
        "it is still a read that may run again"
    );
    assert_eq!(writer.ask(&write(3, 5_000)), ClientReply::Value(b"again".to_vec()));
    program.signal("TERM");
    program.ends();
}

/// Two routers of two deployments in one process: nothing of one is read by the other.
#[test]
fn two_deployments_in_one_process_keep_apart() {
    let hosts = [host(true, |_, _| answer("one")), host(true, |_, _| answer("two"))];
    let mut two = configuration(&[entry("p", hosts[1].address, true, "ready")], None, 1024);
    let settings = &mut two["settings"];
    let classes = settings["classes"].as_array_mut().expect("groups");
    classes.reverse();
    classes.iter_mut().for_each(|group| {
        let name = format!("{}-two", group["name"].as_str().expect("a name"));
        group["name"] = name.into();
    });
    for key in ["class_read", "oldest_data_us"] {
        settings["domain"][key].as_array_mut().expect("a list").reverse();
    }
    let routers = [router_with_one_host(&hosts[0]), Router::start(two)];
    let mut clients: Vec<Client> = routers.iter().map(|router| Client::connect(router.address)).collect();
    for id in 0..20 {
        let other = write(id, 5_000).replace("c=write", "c=write-two");
        assert_eq!(clients[0].ask(&write(id, 5_000)), ClientReply::Value(b"one".to_vec()));
        assert_eq!(clients[1].ask(&other), ClientReply::Value(b"two".to_vec()));
        assert_eq!(clients[0].ask(&other), ClientReply::Error("22023".into()), "no such group here");
    }
    routers.into_iter().for_each(Router::wait);
}

/// Idle clients take every descriptor meant for clients while discovery is down. Clients at work, hosts and discovery
/// still get theirs, and the list is fresh soon after the return.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_nobody_else_from_theirs() {
    let primary = host(true, |_, _| answer("value"));
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut all: Value = configuration(&[entry("p", primary.address, true, "ready")], None, 64);
    let address = taken.local_addr().expect("an address");
    all["discovery"] = address.to_string().into();
    drop(taken);
    let mut program = Program::start("filled", &all);
    let idle: Vec<Client> = (0..200)
        .map(|nth| {
            let mut client = Client::raw(program.address);
            if nth % 2 == 0 {
                let _ = client.0.write_all(&[startup(), query(&write(1_000 + nth, 9_000))].concat());
            }
            client
        })
        .collect();
    for id in 0..20 {
        let mut client = Client::connect(program.address);
        assert_eq!(client.ask(&write(id, 5_000)), ClientReply::Value(b"value".to_vec()));
    }
    let listener = TcpListener::bind(address).expect("the same address");
    let back = Instant::now();
    let hosts = [entry("p", primary.address, true, "ready")];
    let list = serde_json::json!({"seq": 9, "whole": true, "hosts": hosts}).to_string();
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let line = request(&stream);
            if line.contains("follow") {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
                spawn(move || (0..20).for_each(|_| sleep(Duration::from_secs(1))));
            } else {
                let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            }
        }
    });
    let limit = program.ends_after(TEST_TIMEOUT);
    program.logs("endpoint received version=9 ");
    limit.store(true, std::sync::atomic::Ordering::SeqCst);
    assert!(back.elapsed() < Duration::from_secs(6), "fresh only after {:?}", back.elapsed());
    drop(idle);
    program.signal("TERM");
    program.ends();
}

#[test]
fn a_router_that_stops_answers_also_whoever_would_wait_longer_than_it_runs() {
    let primary = host(true, |_, _| HostAction::Silence);
    let all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
    let program = Program::start("waits-long", &all);
    let mut client = Client::connect(program.address);
    client.0.write_all(&query(&write(1, 60_000))).expect("sent");
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    program.signal("TERM");
    assert_eq!(client.receive(), ClientReply::Error("40003".into()), "it may have run");
    program.ends();
}

/// SIGKILL may come so long after SIGTERM, however long clients may wait.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);

#[test]
fn a_router_whose_clients_may_wait_long_answers_all_before_it_can_be_killed() {
    let primary = host(true, |_, _| HostAction::Silence);
    let mut all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
    all["settings"]["classes"][2]["deadline_us"] = 10_000_000.into();
    let program = Program::start("long-deadline", &all);
    let mut client = Client::connect(program.address);
    client.0.write_all(&query(&write(1, 10_000))).expect("sent");
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    let told = Instant::now();
    program.signal("TERM");
    assert_eq!(client.receive(), ClientReply::Error("40003".into()), "it may have run");
    program.ends();
    assert!(told.elapsed() < EARLIEST_KILL, "{:?}", told.elapsed());
}

#[test]
fn a_command_in_hand_is_not_given_up_for_want_of_room_for_the_next() {
    let (tell, go) = channel::<()>();
    let go = std::sync::Mutex::new(go);
    let primary = host(true, move |_, _| {
        go.lock().expect("a turn").recv().expect("told to go on");
        answer("value")
    });
    let mut all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
    all["limits"]["memory_mb"] = 32.into();
    let router = Router::start(all);
    let mut client = Client::connect(router.address);
    client.0.write_all(&query(&write(1, 5_000))).expect("sent");
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    // Half messages, smaller and smaller, until the router has no room for the least read.
    let mut others: Vec<Client> = Vec::new();
    for (number, bytes) in [(100, 120_000), (6, 30_000), (8, 7_000), (10, 1_500), (10, 600)] {
        let half = [startup(), query(&"x".repeat(130_000))[..bytes].to_vec()].concat();
        for _ in 0..number {
            let mut other = Client::raw(router.address);
            let _ = other.0.write_all(&half);
            others.push(other);
        }
    }
    let last = others.last_mut().expect("clients");
    let turned_away = [last.receive(), last.receive()].contains(&ClientReply::Error("53300".into()));
    assert!(turned_away, "there is no room left");
    client.0.write_all(&pipelined_requests(2)[..6_000]).expect("sent");
    sleep(EXIT_GRACE);
    tell.send(()).expect("told");
    assert_eq!(client.receive(), ClientReply::Value(b"value".to_vec()));
    drop((client, others, tell));
    router.wait();
}

#[test]
fn a_pipelined_command_is_timed_by_its_own_last_byte_and_not_by_those_that_come_later() {
    let (tell, go) = channel::<()>();
    let go = std::sync::Mutex::new(go);
    let primary = host(true, move |nth, _| {
        if nth == 0 {
            go.lock().expect("a turn").recv().expect("told to go on");
        }
        answer("value")
    });
    let router = router_with_one_host(&primary);
    let mut client = Client::connect(router.address);
    client.0.write_all(&query(&write(1, 5_000))).expect("sent");
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    // The second comes while the first is in hand, and the third begins with it.
    let (second, third) = (query(&write(2, 300)), query(&write(3, 5_000)));
    client.0.write_all(&[&second[..], &third[..20]].concat()).expect("sent");
    sleep(Duration::from_millis(500));
    client.0.write_all(&third[20..]).expect("sent");
    // The second's time is over; reckoned from the third's last byte most of it would be left.
    sleep(Duration::from_millis(100));
    tell.send(()).expect("told");
    assert_eq!(client.receive(), ClientReply::Value(b"value".to_vec()));
    assert_eq!(client.receive(), ClientReply::Error("53300".into()), "nobody waits for it any more");
    assert_eq!(client.receive(), ClientReply::Value(b"value".to_vec()), "the third has its whole time");
    router.wait();
    let sent: Vec<HostEvent> =
        primary.met.try_iter().filter(|met| matches!(met, HostEvent::Query(_))).collect();
    let third = matches!(&sent[..], [HostEvent::Query(text)] if text.contains("id=3,"));
    assert!(third, "the third alone came after the first: {sent:?}");
}

/// The number and the key of a connection, as they are sent to a client.
fn cancel_key(client: &mut Client) -> [u8; 8] {
    client.0.write_all(&startup()).expect("sent");
    let mut all = Vec::new();
    let mut byte = [0];
    while !all.ends_with(&message(b'Z', b"I")) {
        client.0.read_exact(&mut byte).expect("a welcome");
        all.push(byte[0]);
    }
    let at = all.windows(5).rposition(|five| five == [b'K', 0, 0, 0, 12]).expect("a key");
    all[at + 5..at + 13].try_into().expect("eight bytes")
}

#[test]
fn a_cancel_request_ends_its_command_alone_and_only_for_who_knows_the_key() {
    let primary = host(true, |nth, _| if nth == 0 { HostAction::Silence } else { answer("value") });
    let router = router_with_one_host(&primary);
    let mut client = Client::raw(router.address);
    let key = cancel_key(&mut client);
    let cancel = |key: [u8; 8]| {
        let request = [&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &key].concat();
        let mut other = Client::raw(router.address);
        other.0.write_all(&request).expect("sent");
        assert_eq!(other.receive(), ClientReply::Closed, "whoever asks learns nothing");
    };
    // Between two requests there is nothing to cancel.
    cancel(key);
    client.0.write_all(&query(&write(1, 5_000))).expect("sent");
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    let mut wrong = key;
    wrong[7] ^= 1;
    cancel(wrong);
    assert!(primary.met.recv_timeout(EXIT_GRACE).is_err(), "a wrong key cancels nothing");
    let asked = Instant::now();
    cancel(key);
    assert_eq!(client.receive(), ClientReply::Error("57014".into()));
    assert_eq!(primary.next(), HostEvent::Ended, "its dispatch is called off");
    assert!(asked.elapsed() < EXIT_GRACE + BUSY_MACHINE_SLACK, "{:?}", asked.elapsed());
    assert_eq!(client.ask(&write(2, 5_000)), ClientReply::Value(b"value".to_vec()));
    router.wait();
    let sent: Vec<HostEvent> =
        primary.met.try_iter().filter(|met| matches!(met, HostEvent::Query(_))).collect();
    let second = matches!(&sent[..], [HostEvent::Query(text)] if text.contains("id=2,"));
    assert!(second, "the second alone came after, the first not again: {sent:?}");
}

#[test]
fn a_write_under_which_a_kept_connection_closes_may_have_run_and_a_read_goes_again() {
    let primary =
        host(true, |nth, _| if nth % 2 == 1 { HostAction::Close } else { answer(&format!("value {nth}")) });
    let router = router_with_one_host(&primary);
    let mut client = Client::connect(router.address);
    assert_eq!(client.ask(&write(1, 5_000)), ClientReply::Value(b"value 0".to_vec()));
    assert_eq!(client.ask(&write(2, 5_000)), ClientReply::Error("40003".into()), "on the connection kept");
    assert_eq!(client.ask(&write(3, 5_000)), ClientReply::Value(b"value 2".to_vec()));
    assert_eq!(
        client.ask(&read(4, 5_000)),
        ClientReply::Value(b"value 4".to_vec()),
        "lost on the one kept, and sent again"
    );
    router.wait();
    let sent: Vec<HostEvent> =
        primary.met.try_iter().filter(|met| matches!(met, HostEvent::Query(_))).collect();
    assert_eq!(sent.len(), 5, "{sent:?}");
}

#[test]
fn a_router_whose_clients_wait_a_moment_only_stops_without_a_panic() {
    let primary = host(true, |_, _| HostAction::Silence);
    let mut all = configuration(&[entry("p", primary.address, true, "ready")], None, 1024);
    for group in all["settings"]["classes"].as_array_mut().expect("groups") {
        (group["target_us"], group["deadline_us"]) = (10_000.into(), 20_000.into());
    }
    let program = Program::start("moment", &all);
    // A request in hand that would wait for longer keeps the router up to the end of its time.
    let mut client = Client::connect(program.address);
    client.0.write_all(&query(&write(1, 60_000))).expect("sent");
    assert!(matches!(primary.next(), HostEvent::Query(_)));
    program.signal("TERM");
    assert_eq!(client.receive(), ClientReply::Error("40003".into()));
    program.ends();
}
