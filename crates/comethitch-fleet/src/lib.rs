//! Load control for a fleet of routers that do not communicate with each other.
//!
//! Each router sees a small part of the traffic, but a database host receives the sum of what all routers
//! send. The calculations here keep that sum within the capacity of the host, although no router knows what
//! the others send:
//!
//! - [`subset`]: selects the few replicas of a shard that a router uses (rendezvous hashing),
//! - [`freshness`]: computes when a replica's position is refreshed,
//! - [`quota`]: computes a router's share of the work that all routers together may send to a host in slow
//!   start,
//! - [`concurrency_limit`]: limits the work that a router has in flight at a host,
//! - [`connection_slots`]: backs off from a host that accepts no more connections,
//! - [`decaying_counter`]: estimates the rate of recent events.
//!
//! This package makes no decisions; the policy calls it. It does no I/O and reads no clock. Random numbers
//! are hashes of the caller's arguments, so that calls with equal arguments return equal results.
//!
//! ```
//! use comethitch_fleet::subset::{self, Candidate};
//! use comethitch_time::{Duration, Timestamp};
//!
//! let replicas = (0..22).map(|key| Candidate { index: key as usize, host_key: key, weight: 1.0 });
//! let subset = subset::select(7, Timestamp::ZERO, Duration::from_secs(60), 3, replicas);
//! assert_eq!(subset.len(), 3);
//! let expected_share = 3.0 / 22.0;
//! assert!((subset[0].router_share - expected_share).abs() < 1e-9, "fraction of routers that use this host");
//! ```

pub mod concurrency_limit;
pub mod connection_slots;
pub mod decaying_counter;
pub mod freshness;
mod hash;
pub mod quota;
pub mod subset;
