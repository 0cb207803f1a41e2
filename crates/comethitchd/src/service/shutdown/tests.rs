use super::{LAST_WRITES_TIME, MAX_LAST_WRITES_TIME, end_drain, verify_end};
use crate::service::protocol::Protocol;
use crate::service::startup;
use crate::state::client_registry::ConnectionPhase;
use crate::state::clock::Clock;
use crate::state::config::Config;
use crate::state::router_state::RouterState;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Starts a router without hosts, on which one connection has a request that is never answered. Returns the
/// router and the number of the connection.
fn router_with_unanswered_request() -> (Rc<RouterState>, u32) {
    let sample = include_str!("../../../../../deploy/configuration.json");
    // A shorter timeout shortens the drain, and so the test.
    let text = sample.replace("\"deadline_us\": 3000000", "\"deadline_us\": 400000");
    let config = Config::read(&text, |_| None).expect("the configuration is valid");
    let state =
        startup::start(config, Clock::start(), Protocol::postgres().backend).expect("the router starts");
    let now = state.clock.now();
    let (number, _signal) = state.clients.register(now);
    state.clients.set_phase(number, ConnectionPhase::Busy, now);
    (state, number)
}

/// Returns the violations found at the end of the drain, and how long it took from the rejection.
fn violations_at_end(state: &Rc<RouterState>) -> (Vec<&'static str>, Duration) {
    let rejected_at = Rc::new(std::cell::Cell::new(None));
    let record_rejection = {
        let (state, rejected_at) = (state.clone(), rejected_at.clone());
        async move {
            state.shut_down.wait().await;
            rejected_at.set(Some(Instant::now()));
        }
    };
    state.tasks.spawn(record_rejection).detach();
    async_io::block_on(state.tasks.run(end_drain(state)));
    let took = rejected_at.get().expect("the policy was shut down").elapsed();
    verify_end(state);
    let violations = state.metrics.violations.take();
    (violations.into_iter().map(|(rule, _)| rule).collect(), took)
}

/// The planted fault of the check `ended_without_answer`.
#[test]
fn unanswered_request_delays_the_end_and_is_a_violation() {
    let (state, _) = router_with_unanswered_request();
    let (violations, took) = violations_at_end(&state);
    assert_eq!(violations, ["ended_without_answer"]);
    assert!(took >= MAX_LAST_WRITES_TIME - LAST_WRITES_TIME, "the router must wait for the answer: {took:?}");
}

#[test]
fn client_that_does_not_read_its_answer_neither_delays_the_end_nor_is_a_violation() {
    let (state, number) = router_with_unanswered_request();
    let _blocked = state.clients.record_blocked_write(number);
    let (violations, took) = violations_at_end(&state);
    assert!(violations.is_empty(), "{violations:?}");
    assert!(took < MAX_LAST_WRITES_TIME, "the router must not wait for the client: {took:?}");
}
