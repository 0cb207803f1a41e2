//! Random trials: from a seed, a fleet of real processes with several troubles that overlap in time, of routers, hosts,
//! links, clients, and the system's calls and clocks. A failure is a seed.

use crate::trial::{Direction, Fault, FaultKind, LinkFault, Trial};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How many routers a trial has.
const ROUTERS: std::ops::RangeInclusive<u16> = 10..=24;
/// How many faults a trial has; most last for seconds, so that two or three overlap.
const FAULTS: std::ops::RangeInclusive<usize> = 5..=8;
/// Faults begin after this long: routers have found their hosts.
const FIRST_FAULT_MS: u64 = 800;
/// The system's calls of a router, one of these; most routers have some trouble of their own.
const SYSTEM_CALLS: [&str; 15] = [
    "",
    "",
    "interrupt=30",
    "short=7",
    "accept=30",
    "interrupt=20,short=40",
    "wall_ms=-3600000",
    "wall_ms=3600000",
    "wall_ms=-5000,interrupt=50",
    "wall_ms=4000,mend_ms=3000",
    "step_ms=3600000,step_every_ms=1500",
    "hold=150,hold_ms=120,stderr=3",
    "socket=30,connect=30,wait=30",
    "share=4",
    "share=10,interrupt=50",
];

/// The clients' timeout. SIGKILL comes 0.7 s after it, and after three seconds of a longer one.
const TIMEOUTS_MS: [u64; 5] = [500, 1_200, 1_200, 3_000, 5_000];
/// Shards: mostly few, sometimes so many that each sees little.
const GROUPS: [u16; 5] = [1, 2, 3, 3, 40];
/// The traffic grows with the groups up to this many.
const MANY_GROUPS: u16 = 3;
/// Idle clients that come to each router at once: in some trials they fill its descriptors.
const CROWDS: [u16; 4] = [0, 0, 0, 720];

/// The trial of a seed, in which clients send for so many seconds.
pub fn trial(seed: u64, seconds: u64) -> Trial {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let routers = rng.random_range(ROUTERS);
    let faults = (0..rng.random_range(FAULTS)).map(|_| fault(&mut rng, seconds)).collect();
    let system_calls = (0..routers).map(|router| system_calls(&mut rng, router)).collect();
    let groups = *GROUPS.choose(&mut rng).unwrap_or(&2);
    // The traffic is that of a few groups, however many there are.
    let load = rng.random_range(0.2..0.6) * f64::from(groups.min(MANY_GROUPS)) / f64::from(groups);
    Trial {
        seed,
        routers,
        groups,
        replicas: rng.random_range(3..=5),
        seconds,
        cores: vec![2, 2, 3],
        load,
        writes: rng.random_range(0.05..0.3),
        bound_ms: *[1_000, 2_000, 3_000].choose(&mut rng).unwrap_or(&3_000),
        drain_grace_ms: *[1_000, 2_000].choose(&mut rng).unwrap_or(&2_000),
        timeout_ms: *TIMEOUTS_MS.choose(&mut rng).unwrap_or(&1_200),
        crowd: *CROWDS.choose(&mut rng).unwrap_or(&0),
        leave: rng.random_range(0.0..0.2),
        stalled_clients: rng.random_range(0..=20),
        sharp: true,
        system_calls,
        faults,
        ..Trial::default()
    }
}

fn system_calls(rng: &mut ChaCha8Rng, router: u16) -> String {
    let settings = SYSTEM_CALLS.choose(rng).copied().unwrap_or_default();
    if settings.is_empty() { String::new() } else { format!("seed={},{settings}", u64::from(router) + 1) }
}

fn fault(rng: &mut ChaCha8Rng, seconds: u64) -> Fault {
    let last_ms = (seconds * 1_000).saturating_sub(2_000).max(FIRST_FAULT_MS + 1);
    let at_ms = rng.random_range(FIRST_FAULT_MS..last_ms);
    let part = rng.random_range(0.2..0.8);
    let for_ms = rng.random_range(300..4_000);
    let kind = match rng.random_range(0..11) {
        0 => FaultKind::Release { part, over_ms: for_ms },
        1 => FaultKind::Herd { part, back_ms: rng.random_range(50..1_000) },
        2 => FaultKind::Slow { part: part / 2.0, factor: rng.random_range(2.0..8.0) },
        3 => FaultKind::Stall { part: if rng.random_bool(0.5) { 1.0 } else { part }, for_ms },
        4 => FaultKind::Takeover { part, after_ms: rng.random_range(500..2_500) },
        5 => FaultKind::Stop { part: part / 2.0, for_ms: rng.random_range(100..1_500) },
        6 => FaultKind::Restart { part, over_ms: for_ms },
        7 => FaultKind::Reload { part },
        8 => FaultKind::Signals { part: part / 2.0, over_ms: for_ms / 2 },
        _ => links(rng, part, for_ms),
    };
    Fault { at_ms, kind }
}

fn links(rng: &mut ChaCha8Rng, routers: f64, for_ms: u64) -> FaultKind {
    let directions = [Direction::Both, Direction::ToHosts, Direction::ToRouters];
    let fault = match rng.random_range(0..3) {
        0 => LinkFault::Cut,
        1 => LinkFault::DelayMs(rng.random_range(20..600)),
        _ => LinkFault::Reset(rng.random_range(0.05..0.5)),
    };
    let direction = *directions.choose(rng).unwrap_or(&Direction::Both);
    FaultKind::Links { routers, hosts: rng.random_range(0.2..0.8), direction, fault, for_ms }
}
