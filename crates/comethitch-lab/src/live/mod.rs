//! A fleet of real processes of `comethitchd` on loopback, in real time.
//!
//! One thread simulates everything outside the routers: database hosts (`hosts`, with the same model as in
//! simulated time), service discovery (`discovery`), clients (`clients`, `exchange`), and the links between
//! them. `startup` configures and starts the router processes, `process_table` owns and signals them. Each
//! router connects to hosts at loopback addresses of its own (`network`), so that a connection identifies its
//! router; [`crate::links`] decides whether each message is delivered. Observations are recorded in the same
//! [`crate::ledger::Ledger`] as in simulated time.
//!
//! A trial has at most 300 routers and takes at most 10 minutes, and the number of connections is limited by
//! the file descriptors that the system allows. Router processes end with the trial, also on SIGINT or
//! SIGTERM.

mod adaptive_slack;
mod clients;
mod discovery;
mod exchange;
mod faults;
mod hosts;
mod idle_clients;
mod incomplete_requests;
mod network;
mod process_table;
mod run;
mod self_check;
mod startup;
mod state;

pub use run::run_trial;
