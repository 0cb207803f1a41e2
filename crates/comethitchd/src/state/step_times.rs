//! Measures how long the event loop's steps take. A router has a single thread, so a long step delays every
//! answer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A kind of work that the event loop does without interruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventLoopStep {
    /// Submits a request to the policy.
    Submit,
    /// Reports the end of an attempt to the policy.
    AttemptEnded,
    /// Reports an answer to the policy that is not confirmed yet.
    UnconfirmedAnswer,
    /// Reports the end of a health check to the policy.
    HealthChecked,
    /// Runs a tick of the policy.
    Tick,
    /// Reports the disconnect of a client to the policy.
    ClientDisconnected,
    /// Parses an endpoint list.
    ParseList,
    /// Applies an endpoint list to the directory and the connection pool, and logs it.
    ApplyList,
    /// Applies an endpoint list in the policy.
    UpdateEndpoints,
    /// Rejects the remaining requests at the end of a shutdown.
    ShutDown,
    /// Closes expired connections.
    Sweep,
}

impl EventLoopStep {
    /// Returns the name in the log.
    pub fn name(self) -> &'static str {
        match self {
            EventLoopStep::Submit => "submit",
            EventLoopStep::AttemptEnded => "attempt_ended",
            EventLoopStep::UnconfirmedAnswer => "unconfirmed_answer",
            EventLoopStep::HealthChecked => "health_checked",
            EventLoopStep::Tick => "tick",
            EventLoopStep::ClientDisconnected => "client_disconnected",
            EventLoopStep::ParseList => "parse_list",
            EventLoopStep::ApplyList => "apply_list",
            EventLoopStep::UpdateEndpoints => "update_endpoints",
            EventLoopStep::ShutDown => "shut_down",
            EventLoopStep::Sweep => "sweep",
        }
    }
}

/// The time that steps of one kind took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepTime {
    /// Number of steps.
    pub count: u64,
    /// Time that all steps took.
    pub total: Duration,
    /// Time that the longest step took.
    pub max: Duration,
}

/// The times of steps by kind since the last call of [`StepTimes::take`].
#[derive(Default)]
pub struct StepTimes(RefCell<BTreeMap<EventLoopStep, StepTime>>);

impl StepTimes {
    /// Runs a step and records how long it took.
    pub fn measure<T>(&self, step: EventLoopStep, work: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = work();
        self.record(step, started.elapsed());
        result
    }

    fn record(&self, step: EventLoopStep, elapsed: Duration) {
        let mut times = self.0.borrow_mut();
        let time = times.entry(step).or_default();
        time.count += 1;
        time.total += elapsed;
        time.max = time.max.max(elapsed);
    }

    /// Returns the times by kind and resets them.
    pub fn take(&self) -> BTreeMap<EventLoopStep, StepTime> {
        self.0.take()
    }
}
