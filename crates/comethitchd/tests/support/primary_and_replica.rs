//! A router in front of a primary and a replica of the testkit, with either protocol.

use super::{Router, configuration, ready_primary, ready_replica};
use comethitch_testkit::{Host, Ledger, Protocol};
use serde_json::Value;

/// A router with two hosts that share a ledger.
pub(crate) struct PrimaryAndReplica {
    /// The primary, named `p` in the ledger.
    pub primary: Host,
    /// The replica, named `r` in the ledger.
    pub replica: Host,
    /// Requests that arrived at the hosts and were executed there.
    pub ledger: Ledger,
    /// The router under test.
    pub router: Router,
}

impl PrimaryAndReplica {
    /// Starts both hosts and a router with these statement rules.
    pub(crate) fn start(protocol: Protocol, rules: Value) -> PrimaryAndReplica {
        PrimaryAndReplica::start_with(protocol, rules, |_| {})
    }

    /// Starts both hosts and a router with these statement rules, whose configuration `adjust` may change.
    pub(crate) fn start_with(
        protocol: Protocol, rules: Value, adjust: impl FnOnce(&mut Value),
    ) -> PrimaryAndReplica {
        let ledger = Ledger::default();
        let primary = Host::start("p", protocol, true, &ledger);
        let replica = Host::start("r", protocol, false, &ledger);
        let hosts = [ready_primary("p", primary.address), ready_replica("r", replica.address)];
        let mut config = configuration(&hosts);
        adjust(&mut config);
        let router = Router::start_with_protocol(protocol, config, Some(rules));
        PrimaryAndReplica { primary, replica, ledger, router }
    }
}
