//! What spans many routers although none of them talks to another.
//!
//! Each router of a fleet sees a little of the traffic, yet a database host bears the sum of what all of them do.
//! The reckonings here make that sum come out right when every router does its part by itself: which few replicas
//! of a group it uses ([`subset`]), when it asks one of them to prove its position ([`proof`]), what part of a cold
//! host's budget it may spend ([`share`]), and how much it may have in hand ([`room`]). They decide nothing by
//! themselves: the decision module asks. There is no I/O and no clock; chance is a hash of what the caller passes in.
//!
//! ```
//! use comethitch_fleet::subset::{self, Candidate};
//! use comethitch_time::{Duration, Timestamp};
//!
//! let replicas = (0..22).map(|key| Candidate { at: key as usize, key, weight: 1.0 });
//! let subset = subset::draw(7, Timestamp::ZERO, Duration::from_secs(60), 3, replicas);
//! assert_eq!(subset.len(), 3);
//! assert!((subset[0].reach - 3.0 / 22.0).abs() < 1e-9, "the share of all routers that use this host too");
//! ```

pub mod leak;
pub mod proof;
pub mod room;
pub mod share;
pub mod slots;
pub mod subset;

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Evenly drawn from 0 up to, but not including, 1: the same for the same words, on every machine and build.
pub(crate) fn drawn(words: [u64; 3]) -> f64 {
    let mut hasher = SipHasher13::new();
    words.iter().for_each(|word| hasher.write(&word.to_le_bytes()));
    // The upper 53 bits, which are all that a double holds.
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
