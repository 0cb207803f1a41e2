//! A router with a primary and a replica, and the requests and replies of a scenario's client.

use super::support::{PrimaryAndReplica, statement_rules};
use comethitch_testkit::ledger::Entry;
use comethitch_testkit::{Client, Exchange, Protocol, Reply};
use std::thread::sleep;
use std::time::Duration;

/// Minimum number of reads before a scenario: they give the router load reports of both hosts and a retry
/// budget.
const MIN_WARM_UP_READS: usize = 40;
/// Maximum number of reads before a scenario, by which the replica must have served one.
const MAX_WARM_UP_READS: usize = 400;
/// Number of consecutive reads at the primary from which the router counts as avoiding the replica.
const CONSECUTIVE_PRIMARY_READS: usize = 10;

/// The hosts and the router of one scenario, and its requests.
pub(crate) struct TestBed {
    protocol: Protocol,
    /// The router and its hosts.
    pub hosts: PrimaryAndReplica,
    /// The requests of the scenario with their replies.
    pub exchanges: Vec<Exchange>,
    /// Number of attempts that arrived at hosts before the scenario began.
    pub earlier_attempts: usize,
    /// Violations that the steps of the scenario have found.
    pub violations: Vec<String>,
    /// Number of keys given to requests so far. Each request gets a new key.
    key_count: usize,
}

impl TestBed {
    /// Starts hosts and a router.
    pub(crate) fn new(protocol: Protocol) -> TestBed {
        let dialect = if protocol == Protocol::Tds { "tsql" } else { "postgres" };
        TestBed {
            protocol,
            hosts: PrimaryAndReplica::start(protocol, statement_rules(dialect, 900)),
            exchanges: Vec::new(),
            earlier_attempts: 0,
            violations: Vec::new(),
            key_count: 0,
        }
    }

    /// Connects a client to the router.
    pub(crate) fn client(&self) -> Client {
        Client::connect(self.protocol, self.hosts.router.address)
    }

    /// Returns the text of a write with a new key.
    pub(crate) fn next_write(&mut self) -> String {
        self.key_count += 1;
        format!("INSERT INTO monedas (lector, n) VALUES ('w{}', 1)", self.key_count)
    }

    /// Returns the text of a read with a new key.
    pub(crate) fn next_read(&mut self) -> String {
        self.key_count += 1;
        format!("SELECT data FROM facts WHERE code = 'r{}'", self.key_count)
    }

    /// Sends a request and records it with its reply.
    pub(crate) fn execute(&mut self, client: &mut Client, text: String) -> Reply {
        let reply = client.execute(&text);
        self.exchanges.push(Exchange { text, answers: vec![reply.clone()] });
        reply
    }

    /// Sends reads until both hosts have served some, so that the router has load reports of both and a retry
    /// budget.
    pub(crate) fn warm_up(&mut self, client: &mut Client) {
        for nth in 0..MAX_WARM_UP_READS {
            if nth >= MIN_WARM_UP_READS && self.replica_executions() > 0 {
                break;
            }
            let text = self.next_read();
            self.execute(client, text);
        }
        assert!(self.replica_executions() > 0, "the replica must serve one of {MAX_WARM_UP_READS} reads");
        self.begin_scenario();
    }

    /// Discards the requests so far, which only prepared the scenario.
    fn begin_scenario(&mut self) {
        self.exchanges.clear();
        self.earlier_attempts = self.hosts.ledger.attempt_count();
    }

    /// Returns the number of attempts since the scenario began.
    pub(crate) fn scenario_attempts(&self) -> usize {
        self.hosts.ledger.attempt_count() - self.earlier_attempts
    }

    /// Sends reads until the router avoids the replica.
    pub(crate) fn wait_until_replica_is_avoided(&mut self, client: &mut Client) {
        let mut consecutive = 0;
        for _ in 0..2_000 {
            let (before, text) = (self.replica_executions(), self.next_read());
            self.execute(client, text);
            consecutive = if self.replica_executions() == before { consecutive + 1 } else { 0 };
            if consecutive == CONSECUTIVE_PRIMARY_READS {
                return self.begin_scenario();
            }
            sleep(Duration::from_millis(5));
        }
        panic!("the router must avoid the replica, but still sends reads to it");
    }

    /// Sends writes until one is answered.
    pub(crate) fn wait_until_writes_succeed(&mut self, client: &mut Client) {
        for _ in 0..500 {
            let text = self.next_write();
            if matches!(self.execute(client, text), Reply::Answered(_)) {
                return self.begin_scenario();
            }
            sleep(Duration::from_millis(10));
        }
        panic!("a write must be answered after the failover");
    }

    /// Returns the number of executions at the replica.
    pub(crate) fn replica_executions(&self) -> usize {
        let at_replica = |entry: &&Entry| matches!(entry, Entry::Executed { host, .. } if host == "r");
        self.hosts.ledger.entries().iter().filter(at_replica).count()
    }
}
