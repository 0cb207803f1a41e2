//! A router on a thread of the test process.

use super::{ScriptedHost, single_primary_configuration};
use async_io::Async;
use comethitch_testkit::Protocol as TestProtocol;
use comethitchd::protocols::tds::settings::TdsSettings;
use comethitchd::service::protocol::Protocol;
use comethitchd::service::{server, startup};
use comethitchd::state::clock::Clock;
use comethitchd::state::config::Config;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::thread::{JoinHandle, spawn};

/// Handle of a running router.
pub(crate) struct Router {
    /// Address that clients connect to.
    pub address: SocketAddr,
    stop: async_channel::Sender<()>,
    thread: JoinHandle<()>,
}

impl Router {
    /// Starts a PostgreSQL router without statement rules.
    pub(crate) fn start(config: Value) -> Router {
        Router::start_with_protocol(TestProtocol::Postgres, config, None)
    }

    /// Starts a PostgreSQL router in front of one primary.
    pub(crate) fn with_single_primary(primary: &ScriptedHost) -> Router {
        Router::start(single_primary_configuration(primary.address))
    }

    /// Starts a PostgreSQL router that classifies statements by their text.
    pub(crate) fn with_statement_rules(config: Value, rules: Value) -> Router {
        Router::start_with_protocol(TestProtocol::Postgres, config, Some(rules))
    }

    /// Starts a router for a protocol, with statement rules if there are any.
    pub(crate) fn start_with_protocol(protocol: TestProtocol, config: Value, rules: Option<Value>) -> Router {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = spawn(move || {
            let config = read_config(&config, rules);
            let listener =
                Async::new(listener).expect("the listener can be registered with the async runtime");
            let protocol = daemon_protocol(protocol, &config);
            let state = startup::start(config, Clock::start(), protocol.backend).expect("the router starts");
            async_io::block_on(server::serve(state, protocol.client, vec![listener], async {
                let _ = stopped.recv().await;
            }));
        });
        Router { address, stop, thread }
    }

    /// Begins a graceful shutdown, as on SIGTERM.
    pub(crate) fn begin_shutdown(&self) {
        self.stop.close();
    }

    /// Shuts the router down gracefully and waits until its thread has ended.
    pub(crate) fn shut_down(self) {
        self.begin_shutdown();
        self.thread.join().expect("the router ends without a panic");
    }
}

fn read_config(config: &Value, rules: Option<Value>) -> Config {
    let config = Config::read(&config.to_string(), |_| None).expect("the configuration is valid");
    match rules {
        Some(rules) => {
            config.with_statement_rules(&rules.to_string()).expect("the statement rules are valid")
        }
        None => config,
    }
}

fn daemon_protocol(protocol: TestProtocol, config: &Config) -> Protocol {
    match protocol {
        TestProtocol::Postgres => Protocol::postgres(),
        TestProtocol::Tds => {
            let sample = include_str!("../../../../deploy/tds.json");
            let settings = TdsSettings::read(sample).expect("the TDS settings are valid");
            Protocol::tds(settings, config).expect("the settings fit the configuration")
        }
    }
}
