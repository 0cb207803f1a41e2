//! Load control for a fleet of routers that do not talk to each other.
//!
//! Each router of a fleet sees a little of the traffic, yet a database host bears the sum of what all of them send.
//! The calculations here make that sum come out right when every router does its part by itself:
//!
//! - [`subset`]: which few replicas of a group a router uses (rendezvous hashing),
//! - [`freshness`]: when it asks one of them for its position again,
//! - [`quota`]: its part of what all routers together may send to a host in slow start,
//! - [`concurrency_limit`]: how much work it may have in flight at a host,
//! - [`connection_slots`]: what it does about a host that accepts no more connections,
//! - [`decaying_counter`]: what happened lately, as a rate.
//!
//! They decide nothing by themselves: the policy asks. There is no I/O and no clock; random draws are a hash of what
//! the caller passes in.
//!
//! ```
//! use comethitch_fleet::subset::{self, Candidate};
//! use comethitch_time::{Duration, Timestamp};
//!
//! let replicas = (0..22).map(|key| Candidate { index: key as usize, host_key: key, weight: 1.0 });
//! let subset = subset::select(7, Timestamp::ZERO, Duration::from_secs(60), 3, replicas);
//! assert_eq!(subset.len(), 3);
//! assert!((subset[0].router_share - 3.0 / 22.0).abs() < 1e-9, "the share of all routers that use this host too");
//! ```

pub mod concurrency_limit;
pub mod connection_slots;
pub mod decaying_counter;
pub mod freshness;
mod hash;
pub mod quota;
pub mod subset;
