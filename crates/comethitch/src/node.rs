//! What the module keeps of a database host. What changes it, and what it means, stands in `policy.rs`.

use crate::time::{Span, Time};
use crate::{Host, Role, Shard, histogram::Histogram};
use comethitch_fleet::{leak::Leak, room::Room, share, slots::Slots};

/// A database host as this router sees it.
#[derive(Default)]
pub struct Node {
    pub host: Host,
    pub zone: u8,
    pub shard: Shard,
    pub power: f64,
    pub leaving: Option<Time>,
    pub started: Option<Time>,
    pub role: Option<Role>,
    /// When it last answered as primary.
    pub led: Time,
    /// All commits up to here are applied there: proven, never going back.
    pub position: Time,
    /// How far behind it seemed when last told, when that was, and how many commands waited there.
    pub lag: Span,
    pub lag_told: Time,
    pub queue: f64,
    pub room: Room,
    /// The last answer to a command, and the last sign of life of any kind.
    pub heard: Time,
    pub alive: Time,
    /// When it was first asked anything after that: silence counts from there, as nobody need have asked.
    pub asked: Time,
    pub unheard: u32,
    pub mute: bool,
    /// Failed connections, resets, failed probes and rare errors since its last sign of life.
    pub strikes: u32,
    pub shunned: Time,
    pub slots: Slots,
    pub probe_sent: Option<Time>,
    pub probe_next: Time,
    pub prove_next: Time,
    /// Answer times as thousandths of the usual one of their command group.
    pub pace: Histogram,
    /// Work sent and answered lately: it leaks away over the span in which a cold host is judged.
    pub sent: Leak,
    pub bore: Leak,
    pub spent: share::Spent,
    /// Told as gone, or missing from a whole list.
    pub gone: bool,
}
