//! Clients that send messages of no use at full speed, and read all that they are sent. They must not delay
//! the requests and the timeouts of other clients.

mod support;

use comethitch_testkit::tds::{attention, batch};
use comethitch_testkit::{Client, Host, Ledger, Protocol};
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
