//! A fleet of real processes of `comethitchd` on loopback, in real time.
//!
//! Everything outside the routers is played here, in one thread: database hosts (`hosts`, with the same model as in
//! simulated time), service discovery (`discovery`), clients (`clients`), and the links between them. The router
//! processes are started by `processes`; `process_table` holds them, stops and kills them. A router reaches hosts over loopback addresses of its
//! own (`network`), so that a connection identifies its router; [`crate::links`] decides the fate of each message on
//! it. What is seen is recorded in the same [`crate::ledger::Ledger`] as in simulated time.
//!
//! Bounds: 300 routers, 10 minutes, and the file descriptors that the system allows. Router processes end with the
//! trial, also on SIGINT or SIGTERM.

mod clients;
mod crowd;
mod discovery;
mod faults;
mod hosts;
mod network;
mod play;
mod process_table;
mod processes;
mod punctuality;
mod stalled_clients;
mod state;

pub use play::play;
