//! Random trials for soak tests: a fleet of real processes with overlapping faults, all derived from a seed.

use crate::system_calls::{SystemCallFault, SystemCallFaults};
use crate::trial::{Direction, Fault, FaultKind, LinkFault, Trial};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::RangeInclusive;

/// Range of the number of routers of a trial.
const ROUTERS: RangeInclusive<u16> = 10..=24;
/// Range of the number of faults of a trial. Most last for seconds, so that two or three overlap.
const FAULTS: RangeInclusive<usize> = 5..=8;
/// Earliest start of a fault, in milliseconds after the start of the trial. Routers have found their hosts by
/// then.
const MIN_FAULT_START_MS: u64 = 800;
const HOUR_MS: i64 = 3_600_000;

/// Combinations of system call faults, one of which is drawn for each router. Two are empty, so that some
/// routers have none.
const SYSTEM_CALL_FAULTS: [&[SystemCallFault]; 15] = [
    &[],
    &[],
    &[SystemCallFault::InterruptedTransfers { one_in: 30 }],
    &[SystemCallFault::ShortTransfers { max_bytes: 7 }],
    &[SystemCallFault::FailedAccepts { one_in: 30 }],
    &[
        SystemCallFault::InterruptedTransfers { one_in: 20 },
        SystemCallFault::ShortTransfers { max_bytes: 40 },
    ],
    &[SystemCallFault::WrongWallClock { offset_ms: -HOUR_MS, corrected_after_ms: None }],
    &[SystemCallFault::WrongWallClock { offset_ms: HOUR_MS, corrected_after_ms: None }],
    &[
        SystemCallFault::WrongWallClock { offset_ms: -5_000, corrected_after_ms: None },
        SystemCallFault::InterruptedTransfers { one_in: 50 },
    ],
    &[SystemCallFault::WrongWallClock { offset_ms: 4_000, corrected_after_ms: Some(3_000) }],
    &[SystemCallFault::SteppedWallClock { step_ms: HOUR_MS, interval_ms: 1_500 }],
    &[
        SystemCallFault::DelayedWrites { one_in: 150, delay_ms: 120 },
        SystemCallFault::FailedLogWrites { one_in: 3 },
    ],
    &[
        SystemCallFault::FailedSockets { one_in: 30 },
        SystemCallFault::FailedConnects { one_in: 30 },
        SystemCallFault::InterruptedWaits { one_in: 30 },
    ],
    &[SystemCallFault::LimitedProcessor { one_in: 4 }],
    &[SystemCallFault::LimitedProcessor { one_in: 10 }, SystemCallFault::InterruptedTransfers { one_in: 50 }],
];

/// Timeouts of clients, one of which is drawn for a trial, in milliseconds. Operators may send SIGKILL to
/// a router that shuts down 0.7 s after this timeout, which counts as 3 s at most. The values are on both
/// sides of that maximum.
const TIMEOUTS_MS: [u64; 5] = [500, 1_200, 1_200, 3_000, 5_000];
/// Numbers of shards, one of which is drawn for a trial. One is so large that each shard gets little traffic.
const SHARDS: [u16; 5] = [1, 2, 3, 3, 40];
/// Number of shards up to which the total traffic grows. With more shards, each gets a smaller part of it.
const MAX_SHARDS_WITH_FULL_LOAD: u16 = 3;
/// Numbers of idle clients that connect to each router at once, one of which is drawn for a trial. The
/// largest exhausts a router's file descriptors.
const IDLE_CLIENTS: [u16; 4] = [0, 0, 0, 720];

/// Returns the random trial of a seed, in which clients send requests for this many seconds.
pub fn trial(seed: u64, seconds: u64) -> Trial {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let routers = rng.random_range(ROUTERS);
    let faults = (0..rng.random_range(FAULTS)).map(|_| fault(&mut rng, seconds)).collect();
    let system_calls = (0..routers).map(|router| system_call_faults(&mut rng, router)).collect();
    let shards = *SHARDS.choose(&mut rng).unwrap_or(&2);
    let full_load = rng.random_range(0.2..0.6);
    let load = full_load * f64::from(shards.min(MAX_SHARDS_WITH_FULL_LOAD)) / f64::from(shards);
    Trial {
        seed,
        routers,
        shards,
        replicas: rng.random_range(3..=5),
        seconds,
        cores: vec![2, 2, 3],
        load,
        write_fraction: rng.random_range(0.05..0.3),
        staleness_bound_ms: *[1_000, 2_000, 3_000].choose(&mut rng).unwrap_or(&3_000),
        drain_grace_ms: *[1_000, 2_000].choose(&mut rng).unwrap_or(&2_000),
        timeout_ms: *TIMEOUTS_MS.choose(&mut rng).unwrap_or(&1_200),
        idle_clients: *IDLE_CLIENTS.choose(&mut rng).unwrap_or(&0),
        disconnect_probability: rng.random_range(0.0..0.2),
        incomplete_requests: rng.random_range(0..=20),
        adaptive_slack: true,
        system_calls,
        faults,
        ..Trial::default()
    }
}

fn system_call_faults(rng: &mut ChaCha8Rng, router: u16) -> SystemCallFaults {
    let faults = SYSTEM_CALL_FAULTS.choose(rng).copied().unwrap_or_default().to_vec();
    let seed = (!faults.is_empty()).then_some(u64::from(router) + 1);
    SystemCallFaults { seed, faults }
}

fn fault(rng: &mut ChaCha8Rng, seconds: u64) -> Fault {
    let last_ms = (seconds * 1_000).saturating_sub(2_000).max(MIN_FAULT_START_MS + 1);
    let at_ms = rng.random_range(MIN_FAULT_START_MS..last_ms);
    let fraction = rng.random_range(0.2..0.8);
    let duration_ms = rng.random_range(300..4_000);
    let kind = match rng.random_range(0..11) {
        0 => FaultKind::ReplaceReplicas { fraction, over_ms: duration_ms },
        1 => FaultKind::KillRouters { fraction, restart_after_ms: rng.random_range(50..1_000) },
        2 => FaultKind::SlowReplicas { fraction: fraction / 2.0, factor: rng.random_range(2.0..8.0) },
        3 => {
            let fraction = if rng.random_bool(0.5) { 1.0 } else { fraction };
            FaultKind::StallReplication { fraction, duration_ms }
        }
        4 => FaultKind::Failover { fraction, promotion_after_ms: rng.random_range(500..2_500) },
        5 => FaultKind::PauseRouters { fraction: fraction / 2.0, duration_ms: rng.random_range(100..1_500) },
        6 => FaultKind::RestartRouters { fraction, over_ms: duration_ms },
        7 => FaultKind::ReloadRouters { fraction },
        8 => FaultKind::SignalRouters { fraction: fraction / 2.0, over_ms: duration_ms / 2 },
        _ => link_fault(rng, fraction, duration_ms),
    };
    Fault { at_ms, kind }
}

fn link_fault(rng: &mut ChaCha8Rng, routers: f64, duration_ms: u64) -> FaultKind {
    let directions = [Direction::Both, Direction::ToHosts, Direction::ToRouters];
    let fault = match rng.random_range(0..3) {
        0 => LinkFault::Cut,
        1 => LinkFault::DelayMs(rng.random_range(20..600)),
        _ => LinkFault::Reset(rng.random_range(0.05..0.5)),
    };
    let direction = *directions.choose(rng).unwrap_or(&Direction::Both);
    let hosts = rng.random_range(0.2..0.8);
    FaultKind::DisturbLinks { routers, hosts, direction, fault, duration_ms }
}
