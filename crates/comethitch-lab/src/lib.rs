//! A lab for fleets of routers: many routers in front of many hosts, simulated in one process ([`fleet`]), or
//! as real processes on loopback ([`live`]).
//!
//! A [`trial::Trial`] (a JSON file) defines the routers, the hosts, the load and the faults.
//! [`fleet::run_trial`] and [`live::run_trial`] run it, and the [`ledger::Ledger`] checks what happens
//! against the rules and measures how evenly the hosts were loaded. The policy has neither clock nor sockets,
//! so that hundreds of [`comethitch_policy::Router`]s run through minutes of simulated time within seconds.
//! In simulated time, the same trial with the same seed gives the same output.
//!
//! Sockets, file descriptors and the routers' processor time are not simulated. The simulated [`hosts`] serve
//! requests in order of arrival on a number of cores; replicas have a fixed replication lag, unless a fault
//! stalls the replication.
//!
//! ```
//! use comethitch_lab::{fleet, trial::Trial};
//! let trial = Trial { routers: 4, replicas: 3, shards: 1, seconds: 3, ..Trial::default() };
//! let report = fleet::run_trial(&trial).unwrap();
//! assert!(report.violations.is_empty(), "{:?}", report.violations);
//! assert_eq!(report.to_string(), fleet::run_trial(&trial).unwrap().to_string());
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
