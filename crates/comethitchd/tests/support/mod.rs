//! Test fixtures shared by the daemon's integration tests: the router under test, and its peers on loopback.
//!
//! - [`daemon`] runs the program itself, [`router`] runs a router on a thread of the test process.
//! - [`scripted_host`] and [`postgres_client`] speak PostgreSQL byte by byte, for tests about single messages
//!   and connections. Tests of both protocols, and of what was executed, use the hosts and clients of
//!   `comethitch_testkit` instead; [`primary_and_replica`] starts those with a router.
//! - [`late_host`] completes logins late, and [`gate`] blocks the script of a host until the test opens it.
//! - [`discovery`] serves the endpoint list as a test writes it; [`discovery_agent`] generates it and injects
//!   faults.
//! - [`endless_peer`] sends without a pause, beside a client that must not have to wait for that.
//! - [`configuration`] builds settings, endpoints and statement rules, [`messages`] builds requests and
//!   protocol messages.
//!
//! The fixtures wait for events rather than for fixed times. [`TEST_TIMEOUT`] ends only a test that has
//! already failed.
// Each test binary uses only some of these modules.
#![allow(dead_code, unused_imports)]

pub(crate) mod configuration;
pub(crate) mod daemon;
pub(crate) mod discovery;
pub(crate) mod discovery_agent;
pub(crate) mod endless_peer;
pub(crate) mod gate;
pub(crate) mod late_host;
pub(crate) mod messages;
pub(crate) mod postgres_client;
pub(crate) mod primary_and_replica;
pub(crate) mod router;
pub(crate) mod scripted_host;

pub(crate) use comethitch_testkit::TEST_TIMEOUT;
pub(crate) use comethitch_testkit::postgres::{
    error, message, one_row_answer, parameter_status, query, startup_message,
};
pub(crate) use configuration::{
    SAMPLE_CONFIGURATION, configuration, configuration_with_discovery, configuration_with_sockets, endpoint,
    ready_primary, ready_replica, set_class_timeouts, single_primary_configuration, statement_rules,
    unreachable_address,
};
pub(crate) use daemon::{Daemon, KillTimer};
pub(crate) use discovery::{Discovery, read_http_request, send_chunk};
pub(crate) use discovery_agent::{AgentBehavior, DiscoveryAgent};
pub(crate) use gate::{Gate, gate};
pub(crate) use late_host::LateHost;
pub(crate) use messages::{pipelined_writes, read_request, ready, write_request};
pub(crate) use postgres_client::{ClientReply, PostgresClient};
pub(crate) use primary_and_replica::PrimaryAndReplica;
pub(crate) use router::Router;
pub(crate) use scripted_host::{HostAction, HostEvent, ScriptedHost, answer};

use std::time::Duration;

/// Maximum time after the disconnect of a client during which the router may still send its requests to
/// hosts.
pub(crate) const DISCONNECT_GRACE: Duration = Duration::from_millis(100);

/// Additional delay that a time limit allows for scheduling on a busy machine.
pub(crate) const BUSY_MACHINE_SLACK: Duration = Duration::from_millis(400);
