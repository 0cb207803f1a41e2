//! How long the event loop's own steps take. A router has one thread: a step that takes long holds up every answer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Work that the event loop does in one go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventLoopStep {
    /// A request is handed to the policy.
    Submit,
    /// The end of an attempt is reported to the policy.
    AttemptEnded,
    /// The end of a health check is reported to the policy.
    HealthChecked,
    /// The policy reviews what depends on the time.
    Tick,
    /// A client that has gone is reported to the policy.
    ClientDisconnected,
    /// An endpoint list is parsed.
    ParseList,
    /// An endpoint list is applied to the directory and the connection pool, and logged.
    ApplyList,
    /// An endpoint list is applied by the policy.
    UpdateEndpoints,
    /// The policy answers what is left, as the router ends.
    ShutDown,
    /// Expired connections are closed.
    Sweep,
}

impl EventLoopStep {
    /// The name in the log.
    pub fn name(self) -> &'static str {
        match self {
            EventLoopStep::Submit => "submit",
            EventLoopStep::AttemptEnded => "attempt_ended",
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

/// What steps of one kind took together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepTime {
    /// How many there were.
    pub count: u64,
    /// How long they took together.
    pub total: Duration,
    /// How long the longest took.
    pub longest: Duration,
}

/// The time that steps took, by kind, since it was last taken.
#[derive(Default)]
pub struct StepTimes(RefCell<BTreeMap<EventLoopStep, StepTime>>);

impl StepTimes {
    /// Carries out a step, and records how long it took.
    pub fn measure<T>(&self, step: EventLoopStep, work: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = work();
        self.record(step, started.elapsed());
        result
    }

    fn record(&self, step: EventLoopStep, took: Duration) {
        let mut times = self.0.borrow_mut();
        let time = times.entry(step).or_default();
        time.count += 1;
        time.total += took;
        time.longest = time.longest.max(took);
    }

    /// The times by kind, which start from zero again.
    pub fn take(&self) -> BTreeMap<EventLoopStep, StepTime> {
        self.0.take()
    }
}
