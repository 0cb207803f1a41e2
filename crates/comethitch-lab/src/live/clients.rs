//! Clients of a fleet of real processes. Each router has its own clients, which send requests at a fixed mean
//! rate and retry throttled ones.

use super::exchange::{Exchange, IdleConnection, Pool};
use super::network::{now, sleep, sleep_until};
use super::process_table::RouterIncarnation;
use super::state::{LiveFleet, SLACK, SharedFleet};
use crate::clients::{ClientRequest, MAX_RETRIES, MIN_REQUESTS_PER_SECOND, RETRY_DELAY};
use crate::ledger::{Answer, Operation};
use async_io::Async;
use comethitch_policy::time::Duration;
use futures_lite::future;
use rand::RngExt;
use rand_distr::{Distribution, Exp};
use std::net::TcpStream;

/// How long a client waits for a late answer, after its timeout and the slack of the ledger.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(100);

/// Sends the requests of one router's clients until the trial ends.
pub(super) async fn send_requests(fleet: SharedFleet, router: usize, requests_per_second: f64) {
    let pool = Pool::default();
    let interval = Exp::new(requests_per_second.max(MIN_REQUESTS_PER_SECOND)).expect("the rate is above 0");
    let mut next_at = now();
    loop {
        // The interval starts at the scheduled time of the last request, so that late timers do not lower the
        // rate.
        let seconds = interval.sample(&mut *fleet.rng.borrow_mut());
        next_at = next_at + Duration::from_micros((seconds * 1e6) as u64);
        sleep_until(next_at).await;
        if !fleet.clients_send.get() {
            return;
        }
        let shard = fleet.rng.borrow_mut().random_range(0..fleet.trial.shards);
        let write = fleet.rng.borrow_mut().random_bool(fleet.trial.write_fraction);
        let operation = Operation { id: fleet.next_number(), sent_at: now() };
        fleet.ledger.borrow_mut().operation_started(operation);
        let request = ClientRequest { operation, shard, write };
        fleet.spawn(send_with_retries(fleet.clone(), pool.clone(), router, request));
    }
}

async fn send_with_retries(fleet: SharedFleet, pool: Pool, router: usize, request: ClientRequest) {
    for _ in 0..=MAX_RETRIES {
        if send_once(&fleet, &pool, router, request).await != Some(Answer::Throttled) {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Sends a request under a new number. Returns `None` if it got no answer.
async fn send_once(
    fleet: &LiveFleet, pool: &Pool, own_router: usize, request: ClientRequest,
) -> Option<Answer> {
    let router = match router_shutting_down(fleet, pool, own_router) {
        Some(router) => router,
        None => serving_router(fleet, own_router)?,
    };
    let idle = take_idle(fleet, pool, router);
    let exchange = Exchange::new(fleet, pool, router, request);
    let Some(disconnect_after) = draw_disconnect(fleet) else {
        let timed_out = async {
            sleep(exchange.timeout() + SLACK + LATE_ANSWER_GRACE).await;
            None
        };
        let answer = future::or(exchange.run(idle), timed_out).await;
        exchange.record(answer);
        return answer;
    };
    let disconnected = async {
        sleep(disconnect_after).await;
        None
    };
    // The connection is closed as the future of the exchange is dropped.
    let answer = future::or(exchange.run(idle), disconnected).await;
    if answer.is_none() {
        exchange.record_disconnect();
    }
    exchange.record(answer);
    answer
}

/// Returns the clients' own router if it is shutting down and the pool has a connection to it. Clients use
/// such connections until the router closes them.
fn router_shutting_down(fleet: &LiveFleet, pool: &Pool, own_router: usize) -> Option<RouterIncarnation> {
    let processes = fleet.processes.borrow();
    let router = Some(processes.current(own_router)).filter(|_| processes.is_shutting_down(own_router))?;
    pool.borrow().iter().any(|idle| idle.router == router).then_some(router)
}

/// Draws whether a client closes its connection before the answer, and after what time.
fn draw_disconnect(fleet: &LiveFleet) -> Option<Duration> {
    let probability = fleet.trial.disconnect_probability;
    let disconnects = probability > 0.0 && fleet.rng.borrow_mut().random_bool(probability);
    let max_delay = Duration::from_millis(fleet.trial.latency_objective_ms);
    disconnects.then(|| max_delay.scaled(fleet.draw()))
}

/// Returns the clients' own router, or a random one that serves if their own does not.
pub(super) fn serving_router(fleet: &LiveFleet, own_router: usize) -> Option<RouterIncarnation> {
    let processes = fleet.processes.borrow();
    let serving = processes.serving();
    if serving.contains(&own_router) {
        return Some(processes.current(own_router));
    }
    if serving.is_empty() {
        return None;
    }
    let drawn = fleet.rng.borrow_mut().random_range(0..serving.len());
    Some(processes.current(serving[drawn]))
}

/// Takes an idle connection to a router out of the pool, and closes those to routers that were restarted,
/// killed or paused.
fn take_idle(fleet: &LiveFleet, pool: &Pool, router: RouterIncarnation) -> Option<Async<TcpStream>> {
    let processes = fleet.processes.borrow();
    let mut pool = pool.borrow_mut();
    pool.retain(|idle: &IdleConnection| processes.is_current(idle.router));
    let found = pool.iter().position(|idle| idle.router == router)?;
    Some(pool.swap_remove(found).stream)
}
