//! Hosts that send more than the answer to each request. Surplus that arrives after the next request on the
//! connection was written must not be taken for that request's answer.

mod support;

use comethitch_testkit::{Client, Exchange, Host, Ledger, Protocol, Reply};
use support::{
    ClientReply, HostAction, PostgresClient, PrimaryAndReplica, Router, ScriptedHost, answer, configuration,
    one_row_answer, ready, ready_primary, statement_rules, write_request,
};

/// Number of requests after which the connection to the primary has been reused several times.
const WARM_UP_REQUESTS: usize = 4;

fn rules(protocol: Protocol) -> serde_json::Value {
    statement_rules(if protocol == Protocol::Tds { "tsql" } else { "postgres" }, 3_000)
}

fn write_text(key: &str) -> String {
    format!("INSERT INTO monedas (lector, n) VALUES ('{key}', 1)")
}

/// Sends writes with these keys, and returns them with their replies.
fn execute_writes(client: &mut Client, keys: &[&str]) -> Vec<Exchange> {
    let execute = |key: &&str| {
        let text = write_text(key);
        let reply = client.execute(&text);
        Exchange { text, answers: vec![reply] }
    };
    keys.iter().map(execute).collect()
}

/// Starts a router with a primary only, and returns the replies to writes before, with and after a second
/// copy of an earlier answer, which the primary sends once the router has written the next request.
fn writes_around_second_copy(protocol: Protocol, earlier: usize) -> (Vec<Exchange>, Vec<String>) {
    let ledger = Ledger::default();
    let primary = Host::start("p", protocol, true, &ledger);
    let hosts = configuration(&[ready_primary("p", primary.address)]);
    let router = Router::start_with_protocol(protocol, hosts, Some(rules(protocol)));
    let mut client = Client::connect(protocol, router.address);
    let earlier: Vec<String> = (0..earlier).map(|nth| format!("earlier{nth}")).collect();
    let mut exchanges = execute_writes(&mut client, &earlier.iter().map(String::as_str).collect::<Vec<_>>());
    primary.send_second_copy();
    exchanges.extend(execute_writes(&mut client, &["during", "after1", "after2"]));
    assert!(!primary.second_copy_is_pending(), "the primary must have sent the second copy");
    drop(client);
    router.shut_down();
    let violations = ledger.violations(&exchanges).iter().map(ToString::to_string).collect();
    (exchanges, violations)
}

/// Guards against a second copy of an answer that is served to the next request on the connection, and
/// against the answers after it, each of which would be served to the request after its own.
#[test]
fn second_copy_after_the_next_request_was_written_is_not_served() {
    for protocol in Protocol::BOTH {
        for earlier in [1, WARM_UP_REQUESTS] {
            let (exchanges, violations) = writes_around_second_copy(protocol, earlier);
            assert_eq!(violations, Vec::<String>::new(), "{protocol:?} after {earlier} requests");
            let answered = |exchange: &&Exchange| matches!(exchange.answers[0], Reply::Answered(_));
            let answered = exchanges.iter().filter(answered).count();
            assert!(answered >= earlier + 2, "{protocol:?}: only the request with the copy may fail");
        }
    }
}

/// Guards against a second copy of a read's answer that is served to another read, and against losing that
/// read, which can be retried.
#[test]
fn read_that_meets_a_second_copy_is_served_its_own_answer() {
    for protocol in Protocol::BOTH {
        let hosts = PrimaryAndReplica::start(protocol, rules(protocol));
        let mut client = Client::connect(protocol, hosts.router.address);
        let mut exchanges = Vec::new();
        let mut copies = 0;
        for nth in 0..200 {
            if nth >= 40 && copies < 3 && !hosts.replica.second_copy_is_pending() {
                hosts.replica.send_second_copy();
                copies += 1;
            }
            let text = format!("SELECT data FROM facts WHERE code = 'r{nth}'");
            let reply = client.execute(&text);
            exchanges.push(Exchange { text, answers: vec![reply] });
        }
        assert!(!hosts.replica.second_copy_is_pending(), "the replica must have sent the second copies");
        drop(client);
        hosts.router.shut_down();
        let violations: Vec<String> =
            hosts.ledger.violations(&exchanges).iter().map(ToString::to_string).collect();
        assert_eq!(violations, Vec::<String>::new(), "{protocol:?}");
        let unanswered = |exchange: &&Exchange| !matches!(exchange.answers[0], Reply::Answered(_));
        assert_eq!(exchanges.iter().find(unanswered).map(|exchange| &exchange.text), None, "{protocol:?}");
    }
}

/// Guards against a second copy that a host sends while it executes the next request, directly before that
/// request's own answer: which of the two is the request's can't be told.
#[test]
fn write_answered_twice_in_one_piece_fails_without_a_foreign_value() {
    let primary = ScriptedHost::primary(|nth, _| match nth {
        0 => answer("first"),
        1 => answer("second"),
        2 => {
            HostAction::Raw([one_row_answer(b"second"), ready(), one_row_answer(b"third"), ready()].concat())
        }
        _ => answer("later"),
    });
    let router = Router::with_single_primary(&primary);
    let mut client = PostgresClient::connect(router.address);
    let replies: Vec<ClientReply> = (1..=4).map(|id| client.execute(&write_request(id, 2_000))).collect();
    let expected = [
        ClientReply::value("first"),
        ClientReply::value("second"),
        ClientReply::error("40003"),
        ClientReply::value("later"),
    ];
    assert_eq!(replies, expected);
    drop(client);
    router.shut_down();
}
