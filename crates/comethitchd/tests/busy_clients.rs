//! Clients that send messages of no use at full speed, and read all that they are sent. They must not delay
//! the requests and the timeouts of other clients.

mod support;

use comethitch_testkit::tds::{attention, batch};
use comethitch_testkit::{Client, Host, Ledger, Protocol};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::thread::{JoinHandle, spawn};
use std::time::{Duration, Instant};
use support::endless_peer::{FLOOD_TIME, UsualClient, flood};
use support::{
    BUSY_MACHINE_SLACK, ClientReply, HostAction, PostgresClient, Router, ScriptedHost, answer, configuration,
    message, query, ready_primary, statement_rules, write_request,
};

/// Number of clients that send at full speed.
const BUSY_CLIENTS: usize = 3;
/// A request for encryption, which precedes the startup message.
const ENCRYPTION_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];
/// Id of a request that its host never answers.
const UNANSWERED_ID: u32 = 777;
/// Timeout of the unanswered request.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(600);

fn primary_with_one_unanswered_request() -> ScriptedHost {
    ScriptedHost::primary(|_, text| match text.contains(&format!("id={UNANSWERED_ID},")) {
        true => HostAction::Silence,
        false => answer("value"),
    })
}

/// Starts clients that open a connection and flood it, and do so again when it has ended.
fn start_floods(
    router: SocketAddr, flood_once: impl Fn(SocketAddr) + Clone + Send + 'static,
) -> Vec<JoinHandle<()>> {
    let start = |_| {
        let flood_once = flood_once.clone();
        spawn(move || {
            let started = Instant::now();
            while started.elapsed() < FLOOD_TIME {
                flood_once(router);
            }
        })
    };
    (0..BUSY_CLIENTS).map(start).collect()
}

fn join(floods: Vec<JoinHandle<()>>) {
    floods.into_iter().for_each(|flood| flood.join().expect("the busy client does not panic"));
}

/// Time within which a client that is of no use must get an error or a close.
const MAX_TIME_TO_ERROR: Duration = Duration::from_secs(3);
/// Maximum number of messages that are answered in that time to a client that sends no requests.
const MAX_ANSWERS: usize = 1_000;

/// Floods the router with a message on several connections. Asserts that another client is served meanwhile,
/// and that the timeout of a request expires.
fn assert_others_are_served(beside: &str, message: &[u8], connect: fn(SocketAddr) -> PostgresClient) {
    let primary = primary_with_one_unanswered_request();
    let router = Router::with_single_primary(&primary);
    let usual = UsualClient::start(Protocol::Postgres, router.address);
    let message = message.to_vec();
    let floods = start_floods(router.address, move |router| {
        flood(&connect(router).stream, &message);
    });
    let mut unanswered = PostgresClient::connect(router.address);
    let sent_at = Instant::now();
    let reply = unanswered.execute(&write_request(UNANSWERED_ID, UNANSWERED_TIMEOUT.as_millis() as u32));
    let took = sent_at.elapsed();
    join(floods);
    usual.assert_served(beside);
    assert!(matches!(reply, ClientReply::Error(_)), "{beside}: {reply:?}");
    assert!(
        took < UNANSWERED_TIMEOUT + BUSY_MACHINE_SLACK,
        "beside {beside}, a timeout must expire: {took:?}"
    );
    drop(unanswered);
    router.shut_down();
}

/// Guards against a client that keeps the thread by requests for encryption, each of which is declined at once.
#[test]
fn client_that_repeats_encryption_requests_delays_nobody() {
    assert_others_are_served(
        "requests for encryption",
        &ENCRYPTION_REQUEST,
        PostgresClient::connect_without_startup,
    );
}

/// Guards against a client that keeps the thread by empty queries.
#[test]
fn client_that_repeats_empty_queries_delays_nobody() {
    assert_others_are_served("empty queries", &query(""), PostgresClient::connect);
}

/// Guards against a client that keeps the thread by a query that the router answers without a host.
#[test]
fn client_that_repeats_session_settings_delays_nobody() {
    assert_others_are_served(
        "session settings",
        &query("SET application_name = 'x'"),
        PostgresClient::connect,
    );
}

/// Guards against a client that keeps the thread by messages of the extended protocol, which is not supported.
#[test]
fn client_that_repeats_unsupported_messages_delays_nobody() {
    let parse_and_sync = [message(b'P', b"\0SELECT 1\0\0\0"), message(b'S', b"")].concat();
    assert_others_are_served("unsupported messages", &parse_and_sync, PostgresClient::connect);
    assert_others_are_served("Sync", &message(b'S', b""), PostgresClient::connect);
}

/// Guards against a client that keeps the thread by messages that get no answer.
#[test]
fn client_that_repeats_messages_without_an_answer_delays_nobody() {
    assert_others_are_served("Flush", &message(b'H', b""), PostgresClient::connect);
    assert_others_are_served("CopyData", &message(b'd', b"x"), PostgresClient::connect);
}

/// Guards against a client whose input is discarded for long because it has violated the protocol.
#[test]
fn client_that_goes_on_after_an_error_delays_nobody() {
    assert_others_are_served("input after an error", b"!!!!!!!!", PostgresClient::connect);
}

/// Guards against a client that costs processor time for as long as it likes: it is slowed down, and then
/// disconnected within the 3 s in which a client that is of no use must get an error.
#[test]
fn client_that_sends_no_requests_is_slowed_down_and_disconnected() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let router = Router::with_single_primary(&primary);
    let floods: [(&str, Vec<u8>); 3] =
        [("empty queries", query("")), ("Sync", message(b'S', b"")), ("Flush", message(b'H', b""))];
    for (name, message) in floods {
        let mut client = PostgresClient::connect(router.address);
        let mut sender = client.stream.try_clone().expect("the socket can be duplicated");
        let block = message.repeat(100);
        let flooding = spawn(move || while sender.write_all(&block).is_ok() {});
        let started = Instant::now();
        let mut answers = 0;
        let error = loop {
            match client.receive() {
                ClientReply::Error(sqlstate) => break sqlstate,
                _ => answers += 1,
            }
            assert!(started.elapsed() < MAX_TIME_TO_ERROR, "{name}: {answers} answers and no error");
        };
        assert_eq!(error, "08P01", "{name}");
        assert!(answers < MAX_ANSWERS, "{name}: {answers} messages were answered");
        drop(client);
        flooding.join().expect("the busy client does not panic");
    }
    router.shut_down();
}

/// Guards against slowing down a client whose driver sends settings and checks around each request.
#[test]
fn client_that_sends_requests_may_send_other_messages_with_them() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    for id in 1..400 {
        for _ in 0..4 {
            assert_eq!(client.execute(""), ClientReply::Empty);
        }
        assert_eq!(client.execute("SET search_path = x"), ClientReply::Done("SET".into()));
        assert_eq!(client.execute(&write_request(id, 2_000)), ClientReply::value("value"));
    }
    drop(client);
    router.shut_down();
}

/// Guards against a client that never goes on from requests for encryption to a session.
#[test]
fn encryption_may_be_requested_once_for_each_kind() {
    let primary = ScriptedHost::primary(|_, _| answer("value"));
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect_without_startup(router.address);
    let mut declined = [0; 1];
    for _ in 0..2 {
        client.stream.write_all(&ENCRYPTION_REQUEST).expect("the request is sent");
        client.stream.read_exact(&mut declined).expect("the request is answered");
        assert_eq!(&declined, b"N");
    }
    client.stream.write_all(&ENCRYPTION_REQUEST).expect("the request is sent");
    assert_eq!(client.receive(), ClientReply::error("08P01"));
    drop(client);
    router.shut_down();
}

/// Guards against a TDS client that keeps the thread by messages that no host is needed for.
#[test]
fn tds_client_that_repeats_messages_of_no_use_delays_nobody() {
    for (beside, message) in [("attentions", attention()), ("session options", batch("SET NOCOUNT ON"))] {
        let ledger = Ledger::default();
        let primary = Host::start("p", Protocol::Tds, true, &ledger);
        let config = configuration(&[ready_primary("p", primary.address)]);
        let rules = statement_rules("tsql", 500);
        let router = Router::start_with_protocol(Protocol::Tds, config, Some(rules));
        let usual = UsualClient::start(Protocol::Tds, router.address);
        let floods = start_floods(router.address, move |router| {
            flood(&Client::connect(Protocol::Tds, router).stream, &message);
        });
        join(floods);
        usual.assert_served(beside);
        router.shut_down();
    }
}
