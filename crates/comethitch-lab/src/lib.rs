//! Many routers before many hosts: in simulated time and in one process, or as processes on loopback ([`live`]).
//!
//! The decision module has no clock and no sockets, so hundreds of [`comethitch_policy::Router`]s can be driven over minutes
//! of simulated time within seconds: a [`trial::Trial`] (a JSON file) says how many, before which hosts, under what
//! load and faults; [`fleet::play`] plays it, and the [`ledger::Ledger`] holds what happened against the five rules
//! and tells how evenly the hosts were loaded. The same trial with the same seed gives the same bytes.
//!
//! What it leaves out: sockets, descriptors and processor time of the routers. Its hosts serve in order of arrival on
//! a number of cores; replicas lag by a fixed span.
//!
//! ```
//! use comethitch_lab::{fleet, trial::Trial};
//! let trial = Trial { routers: 4, replicas: 3, groups: 1, seconds: 3, ..Trial::default() };
//! let report = fleet::play(&trial).unwrap();
//! assert!(report.broken.is_empty(), "{:?}", report.broken);
//! assert_eq!(report.to_string(), fleet::play(&trial).unwrap().to_string());
//! ```

pub mod chart;
pub mod compare;
pub mod fleet;
pub mod hosts;
pub mod ledger;
pub mod links;
pub mod live;
pub mod trial;
