//! What the module keeps of a database host. What changes it, and what it means, stands in `policy.rs`.

use crate::time::{Duration, Timestamp};
use crate::{Host, Role, Shard, histogram::Histogram};
use comethitch_fleet::{leak::Leak, room::Room, share, slots::Slots};

/// A database host as this router sees it.
#[derive(Default)]
pub struct Node {
    pub host: Host,
    pub zone: u8,
    pub shard: Shard,
    pub power: f64,
    pub leaving: Option<Timestamp>,
    pub started: Option<Timestamp>,
    pub role: Option<Role>,
    /// When it last answered as primary.
    pub led: Timestamp,
    /// All commits up to here are applied there: proven, never going back.
    pub position: Timestamp,
    /// How far behind it seemed when last told, when that was, and how many commands waited there.
    pub lag: Duration,
    pub lag_told: Timestamp,
    pub queue: f64,
    pub room: Room,
    /// The last answer to a command, and the last sign of life of any kind.
    pub heard: Timestamp,
    pub alive: Timestamp,
    /// When it was first asked anything after that: silence counts from there, as nobody need have asked.
    pub asked: Timestamp,
    pub unheard: u32,
    pub mute: bool,
    /// Failed connections, resets, failed probes and rare errors since its last sign of life.
    pub strikes: u32,
    pub shunned: Timestamp,
    pub slots: Slots,
    pub probe_sent: Option<Timestamp>,
    pub probe_next: Timestamp,
    pub prove_next: Timestamp,
    /// Answer times as thousandths of the usual one of their command group.
    pub pace: Histogram,
    /// Work sent and answered lately: it leaks away over the span in which a cold host is judged.
    pub sent: Leak,
    pub bore: Leak,
    pub spent: share::Spent,
    /// Told as gone, or missing from a whole list.
    pub gone: bool,
}
