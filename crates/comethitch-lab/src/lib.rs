//! A lab for fleets of routers: many routers before many hosts, in simulated time within one process ([`fleet`]), or as
//! processes on loopback in real time ([`live`]).
//!
//! The decision module has no clock and no sockets, so hundreds of [`comethitch_policy::Router`]s can be driven over
//! minutes of simulated time within seconds. A [`trial::Trial`] (a JSON file) gives their number, the hosts, the load
//! and the faults; [`fleet::play`] plays it; the [`ledger::Ledger`] checks what happens against the rules and measures
//! how evenly the hosts were loaded. The same trial with the same seed gives the same output, byte for byte.
//!
//! Simulated time leaves out sockets, file descriptors and the routers' processor time. Its [`hosts`] serve in order of
//! arrival on a number of cores; replicas have a fixed lag.
//!
//! ```
//! use comethitch_lab::{fleet, trial::Trial};
//! let trial = Trial { routers: 4, replicas: 3, groups: 1, seconds: 3, ..Trial::default() };
//! let report = fleet::play(&trial).unwrap();
//! assert!(report.broken.is_empty(), "{:?}", report.broken);
//! assert_eq!(report.to_string(), fleet::play(&trial).unwrap().to_string());
//! ```

pub mod chart;
pub mod clients;
pub mod compare;
pub mod error;
pub mod fleet;
pub mod hosts;
pub mod ledger;
pub mod links;
pub mod live;
pub mod soak;
pub mod system_calls;
pub mod trial;
pub mod usable;
