//! Every request that a router has read gets its answer before its connection closes or the process ends, with
//! both protocols.
//!
//! Guards against connections that close, and processes that end, while requests are unanswered that were read
//! behind others, read in part, or sent on an open connection during a shutdown.

mod support;

use comethitch_testkit::ledger::Entry;
use comethitch_testkit::postgres::query;
use comethitch_testkit::tds::attention;
use comethitch_testkit::{Client, HostBehavior, Protocol, Reply, request_key};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use support::{
    ClientReply, PostgresClient, PrimaryAndReplica, Router, TEST_TIMEOUT, configuration, read_request,
    set_class_timeouts, statement_rules,
};

/// Timeout of all request classes. The router rejects what is left 450 ms after it at a shutdown.
const CLASS_TIMEOUT_MS: u64 = 300;
/// Earliest time of SIGKILL after SIGTERM: 0.7 s after the longest timeout of a request class.
const EARLIEST_KILL: Duration = Duration::from_millis(CLASS_TIMEOUT_MS + 700);
/// Timeout of the requests, which no test reaches.
const REQUEST_TIMEOUT_MS: u32 = 10_000;

fn write(key: &str) -> String {
    format!("/* id={key},c=write,d={REQUEST_TIMEOUT_MS},cluster=0 */ INSERT INTO t VALUES ('{key}')")
}

fn read(key: &str) -> String {
    format!("/* id={key},c=read,d={REQUEST_TIMEOUT_MS},cluster=0 */ SELECT a FROM t WHERE k = '{key}'")
}

/// Encodes requests as one piece.
fn encode(protocol: Protocol, requests: &[String]) -> Vec<u8> {
    requests.iter().flat_map(|text| protocol.encode_request(text)).collect()
}

/// A router whose hosts execute requests as scripted, and a client with an answered request, whose connection
/// the router closes as soon as a shutdown closes idle connections.
struct Fixture {
    protocol: Protocol,
    hosts: PrimaryAndReplica,
    idle: Client,
}

impl Fixture {
    fn start(protocol: Protocol, behavior: HostBehavior) -> Fixture {
        let dialect = if protocol == Protocol::Tds { "tsql" } else { "postgres" };
        let hosts = PrimaryAndReplica::start_with(protocol, statement_rules(dialect, 1_200), |config| {
            set_class_timeouts(config, CLASS_TIMEOUT_MS);
        });
        let mut idle = Client::connect(protocol, hosts.router.address);
        assert_eq!(idle.execute(&write("idle")), Reply::Answered("idle".into()));
        for host in [&hosts.primary, &hosts.replica] {
            host.script(move |_, _| behavior);
        }
        Fixture { protocol, hosts, idle }
    }

    fn connect(&self) -> Client {
        Client::connect(self.protocol, self.hosts.router.address)
    }

    /// Sends requests in one piece, and waits until the first one has arrived at a host.
    fn send_until_first_arrives(&self, client: &mut Client, requests: &[String]) {
        client.stream.write_all(&encode(self.protocol, requests)).expect("the bytes are sent");
        self.wait_for_arrival(&requests[0]);
    }

    fn wait_for_arrival(&self, text: &str) {
        let started = Instant::now();
        while !self.has_arrived(text) {
            assert!(started.elapsed() < TEST_TIMEOUT, "the request must arrive at a host: {text}");
            sleep(Duration::from_millis(1));
        }
    }

    fn has_arrived(&self, text: &str) -> bool {
        let key = request_key(text);
        let is_same =
            |entry: &Entry| matches!(entry, Entry::Arrived { text, .. } if request_key(text) == key);
        self.hosts.ledger.entries().iter().any(is_same)
    }

    /// Begins a shutdown, and waits until the router closes idle connections. Returns the time of the beginning.
    fn begin_shutdown(&mut self) -> Instant {
        let began = Instant::now();
        self.hosts.router.begin_shutdown();
        assert_eq!(self.idle.receive(), Reply::Closed, "the idle connection must be closed");
        began
    }

    /// Waits for the end of the router, which must come before SIGKILL could.
    fn wait_for_end(self, began: Instant) {
        self.hosts.router.shut_down();
        let took = began.elapsed();
        assert!(took < EARLIEST_KILL, "the router must end before SIGKILL may come: {took:?}");
    }
}

/// Reads the end of a connection. Returns what was received as text, without its zero bytes.
fn read_to_end(client: &mut Client) -> String {
    let mut bytes = Vec::new();
    client.stream.read_to_end(&mut bytes).expect("the connection is closed without a reset");
    bytes.retain(|byte| *byte != 0);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against a shutdown that rejects the request in progress of each connection and routes the next one.
#[test]
fn requests_behind_others_are_answered_when_hosts_hang_through_a_shutdown() {
    for protocol in Protocol::BOTH {
        let mut fixture = Fixture::start(protocol, HostBehavior::HangBeforeExecution);
        let writes_first = ["w0", "w1", "w2"].map(write).to_vec();
        let reads_behind = vec![write("x0"), read("x1"), read("x2")];
        let read_first = vec![read("r0"), write("r1"), read("r2")];
        let mut clients = [writes_first, reads_behind, read_first].map(|requests| {
            let mut client = fixture.connect();
            fixture.send_until_first_arrives(&mut client, &requests);
            (client, requests)
        });
        let began = fixture.begin_shutdown();
        for (client, requests) in &mut clients {
            let first = client.receive();
            let is_expected = match requests[0].contains("INSERT") {
                true => matches!(first, Reply::Failed(_)),
                false => first == Reply::Throttled,
            };
            assert!(is_expected, "{protocol:?}: {} got {first:?}", requests[0]);
            for text in &requests[1..] {
                assert_eq!(client.receive(), Reply::Throttled, "{protocol:?}: {text}");
            }
            assert_eq!(client.receive(), Reply::Closed);
        }
        for text in clients[..2].iter().flat_map(|(_, requests)| &requests[1..]) {
            assert!(
                !fixture.has_arrived(text),
                "{protocol:?}: nothing may be sent after the rejection: {text}"
            );
        }
        fixture.wait_for_end(began);
    }
}

/// Guards against a limit on the number of requests that are answered at the end: 400 are sent in one piece,
/// most of which the router reads only after it has rejected the first.
#[test]
fn any_number_of_requests_behind_another_is_answered_at_a_shutdown() {
    for protocol in Protocol::BOTH {
        let mut fixture = Fixture::start(protocol, HostBehavior::HangBeforeExecution);
        let requests: Vec<String> = (0..400).map(|nth| write(&format!("k{nth}"))).collect();
        let mut client = fixture.connect();
        fixture.send_until_first_arrives(&mut client, &requests);
        let began = fixture.begin_shutdown();
        assert!(
            matches!(client.receive(), Reply::Failed(_)),
            "{protocol:?}: the first may have been executed"
        );
        for text in &requests[1..] {
            assert_eq!(client.receive(), Reply::Throttled, "{protocol:?}: {text}");
        }
        assert_eq!(client.receive(), Reply::Closed);
        assert!(!requests[1..].iter().any(|text| fixture.has_arrived(text)), "{protocol:?}");
        fixture.wait_for_end(began);
    }
}

/// Guards against a request that is sent while the shutdown waits for the one before it, and that is left in
/// the socket when the connection closes.
#[test]
fn request_sent_during_a_shutdown_behind_another_is_answered() {
    for protocol in Protocol::BOTH {
        let mut fixture = Fixture::start(protocol, HostBehavior::HangBeforeExecution);
        let mut client = fixture.connect();
        fixture.send_until_first_arrives(&mut client, &[write("a")]);
        let began = fixture.begin_shutdown();
        client.send(&write("b"));
        assert!(matches!(client.receive(), Reply::Failed(_)), "{protocol:?}: it may have been executed");
        assert_eq!(client.receive(), Reply::Throttled, "{protocol:?}: the connection was still open");
        assert_eq!(client.receive(), Reply::Closed);
        fixture.wait_for_end(began);
    }
}

/// Guards against a request of which a half was read behind another when the shutdown began: its other half
/// arrives while the shutdown waits for the first request.
#[test]
fn half_read_request_is_answered_at_a_shutdown_once_its_rest_arrives() {
    for protocol in Protocol::BOTH {
        let mut fixture = Fixture::start(protocol, HostBehavior::HangBeforeExecution);
        let mut client = fixture.connect();
        let (first, second) = (encode(protocol, &[write("a")]), encode(protocol, &[write("b")]));
        let (half, rest) = second.split_at(second.len() / 2);
        client.stream.write_all(&[&first[..], half].concat()).expect("the bytes are sent");
        fixture.wait_for_arrival(&write("a"));
        let began = fixture.begin_shutdown();
        client.stream.write_all(rest).expect("the bytes are sent");
        assert!(matches!(client.receive(), Reply::Failed(_)), "{protocol:?}: it may have been executed");
        assert_eq!(client.receive(), Reply::Throttled, "{protocol:?}: the request was complete");
        assert_eq!(client.receive(), Reply::Closed);
        assert!(!fixture.has_arrived(&write("b")), "{protocol:?}: nothing may be sent after the rejection");
        fixture.wait_for_end(began);
    }
}

/// Guards against a process that ends without an error to a client whose request has no end.
#[test]
fn half_read_request_without_a_rest_gets_an_error_at_a_shutdown() {
    for protocol in Protocol::BOTH {
        let mut fixture = Fixture::start(protocol, HostBehavior::HangBeforeExecution);
        let mut client = fixture.connect();
        let wire = encode(protocol, &["a", "b", "c"].map(write));
        client.stream.write_all(&wire[..wire.len() - 20]).expect("the bytes are sent");
        fixture.wait_for_arrival(&write("a"));
        let began = fixture.begin_shutdown();
        assert!(matches!(client.receive(), Reply::Failed(_)), "{protocol:?}: it may have been executed");
        assert_eq!(client.receive(), Reply::Throttled, "{protocol:?}");
        let end = read_to_end(&mut client);
        assert!(end.contains("the rest of a message did not come"), "{protocol:?}: {end}");
        fixture.wait_for_end(began);
    }
}

/// Guards against a streamed answer that ends before its last row, and takes the request behind it along.
#[test]
fn request_behind_a_truncated_streamed_answer_is_answered() {
    for protocol in Protocol::BOTH {
        let fixture = Fixture::start(protocol, HostBehavior::TruncateLargeAnswer);
        let mut client = fixture.connect();
        let requests = ["a", "b"].map(write);
        client.stream.write_all(&encode(protocol, &requests)).expect("the bytes are sent");
        assert!(matches!(client.receive(), Reply::Failed(_)), "{protocol:?}: the answer has no end");
        // The second request reaches a host. Its answer is truncated as well, and nothing follows it.
        fixture.wait_for_arrival(&requests[1]);
        assert_eq!(client.receive(), Reply::Closed, "{protocol:?}");
        drop(fixture.idle);
        fixture.hosts.router.shut_down();
    }
}

/// Guards against a streamed answer whose host hangs until the shutdown ends, and takes the request behind it
/// along.
#[test]
fn request_behind_a_hung_streamed_answer_is_answered_at_a_shutdown() {
    for protocol in Protocol::BOTH {
        let mut fixture = Fixture::start(protocol, HostBehavior::HangInLargeAnswer);
        let mut client = fixture.connect();
        fixture.send_until_first_arrives(&mut client, &["a", "b"].map(write));
        // The client reads all the time, as the router waits for it otherwise.
        let replies = spawn(move || [client.receive(), client.receive(), client.receive()]);
        let began = fixture.begin_shutdown();
        fixture.wait_for_end(began);
        let [first, second, end] = replies.join().expect("the replies can be read");
        assert!(matches!(first, Reply::Failed(_)), "{protocol:?}: the answer has no end: {first:?}");
        assert_eq!([second, end], [Reply::Throttled, Reply::Closed], "{protocol:?}");
    }
}

/// Guards against the acknowledgement of an attention that overtakes answers which are written together at the
/// end of a shutdown: the client would take it for the answer to an earlier request.
#[test]
fn attention_behind_rejected_requests_is_acknowledged_last() {
    let mut fixture = Fixture::start(Protocol::Tds, HostBehavior::HangBeforeExecution);
    let mut client = fixture.connect();
    let wire = [encode(Protocol::Tds, &["a", "b"].map(write)), attention()].concat();
    client.stream.write_all(&wire).expect("the bytes are sent");
    fixture.wait_for_arrival(&write("a"));
    let began = fixture.begin_shutdown();
    assert!(matches!(client.receive(), Reply::Failed(_)), "it may have been executed");
    assert_eq!([client.receive(), client.receive()], [Reply::Throttled, Reply::Cancelled]);
    assert_eq!(client.receive(), Reply::Closed);
    fixture.wait_for_end(began);
}

/// Guards against an empty query, and requests behind it, that wait for the endpoint list of an unresponsive
/// discovery service until the process ends.
#[test]
fn requests_before_readiness_are_answered_at_a_shutdown() {
    // Connections are accepted by the system, and nothing is answered on them.
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let mut config = configuration(&[]);
    set_class_timeouts(&mut config, CLASS_TIMEOUT_MS);
    config["discovery"] = discovery.local_addr().expect("a bound listener has an address").to_string().into();
    let router = Router::start(config);
    let mut client = PostgresClient::connect(router.address);
    let pipelined = [query(""), query(&read_request(1, REQUEST_TIMEOUT_MS))].concat();
    client.stream.write_all(&pipelined).expect("the bytes are sent");
    let began = Instant::now();
    router.begin_shutdown();
    assert_eq!(client.receive(), ClientReply::error("53300"), "the router never became ready");
    assert_eq!(client.receive(), ClientReply::error("53300"), "there is no host");
    assert_eq!(client.receive(), ClientReply::Closed);
    router.shut_down();
    assert!(began.elapsed() < EARLIEST_KILL, "SIGKILL may come: {:?}", began.elapsed());
}
