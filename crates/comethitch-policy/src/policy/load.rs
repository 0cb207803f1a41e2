//! Load control: how much work each host may get from this router, and what ended attempts tell of it.
//!
//! Work is the time that a host needs for a request. Limits shrink with late answers; a host in slow start
//! gets a budget for each window besides.

use super::{
    Attempt, AttemptOutcome, Duration, Estimate, HostIndex, Member, RECENT_REQUESTS_WINDOW, Router,
    Timestamp, retries,
};
use comethitch_fleet::concurrency_limit::EndedWork;
use comethitch_fleet::quota;

/// The answer time that counts as a request class's work: most others have waited besides.
const WORK: Estimate = Estimate { quantile: 0.3, objective_divisor: 8 };
/// A request class's usual answer time.
const USUAL: Estimate = Estimate { quantile: 0.5, objective_divisor: 4 };
/// The error rate is a moving average over about so many answers.
const ERROR_RATE_ANSWERS: f64 = 32.0;
/// What was sent to warm hosts is added up over all of them, and so only once in this part of a slow-start window.
const PEER_LOAD_UPDATES_PER_WINDOW: u64 = 8;

/// What this router sends to warm hosts for their capacity, and when that was added up.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerLoad {
    per_capacity: f64,
    valid_until: Timestamp,
}

impl Router {
    /// Whether a host can take a request of this request class in time, and is not overloaded by it.
    pub(super) fn has_capacity(&self, member: &Member, request_class: usize, now: Timestamp) -> bool {
        self.fits_limits(member, request_class, now) && self.fits_slow_start(member, request_class, now)
    }

    fn fits_limits(&self, member: &Member, request_class: usize, now: Timestamp) -> bool {
        let host = &self.hosts[member.index];
        let shard = self.shard_of(member.index);
        // Limits are set for the shortest objective: a long request, with one to match, finds more capacity.
        let objective = self.deployment.classes[request_class].latency_objective;
        let stretch =
            if self.is_long(request_class) { objective.ratio(self.shortest_objective) } else { 1.0 };
        let work = self.work(request_class);
        let draw = self.admission_draw(member.index, now);
        // One that nobody here has used comes in as the others fail: hundreds of routers turn to it at once.
        let is_new = self.refresh_on_demand
            && host.last_answer == Timestamp::ZERO
            && shard.primary != Some(member.index)
            && shard.answered_members > 0;
        let users = quota::expected_users(self.deployment.slow_start.routers, member.router_share);
        let own_part = self.longest_objective.scaled(1.0 / users).ratio(work);
        host.connection_slots.has_free(now)
            && !(is_new && draw >= own_part)
            && host.concurrency.admits(work, stretch, draw)
            && shard.concurrency_limits[request_class].admits(work, 1.0, 0.0)
    }

    /// A host in slow start gets no more than this router's part of what its ramp surely allows.
    fn fits_slow_start(&self, member: &Member, request_class: usize, now: Timestamp) -> bool {
        let warm_part = self.warm_part(member.index, now);
        if warm_part >= 1.0 {
            return true;
        }
        let host = &self.hosts[member.index];
        let slow_start = &self.deployment.slow_start;
        let peer_load = self.warm_peer_load(now) * host.capacity;
        let answered = host.work_answered.value(now, slow_start.window);
        let budget = slow_start.budget(warm_part, member.router_share, peer_load, answered);
        let window = self.window(member.index, now, slow_start.window);
        let cost = self.cost(self.work(request_class), request_class);
        host.slow_start_usage.admits(cost, budget, &window)
    }

    /// What this router sends in a slow-start window to warm hosts that it can use, for each unit of their capacity. Walks
    /// all hosts, as the mean is over all; hence a few times a window only.
    fn warm_peer_load(&self, now: Timestamp) -> f64 {
        let known = self.peer_load.get();
        if now < known.valid_until {
            return known.per_capacity;
        }
        let is_warm = |peer: &HostIndex| self.is_usable(*peer, now) && self.warm_part(*peer, now) >= 1.0;
        let per_capacity = self.load_per_capacity(self.hosts.indices().filter(is_warm), now);
        let valid_until = now + self.deployment.slow_start.window / PEER_LOAD_UPDATES_PER_WINDOW;
        self.peer_load.set(PeerLoad { per_capacity, valid_until });
        per_capacity
    }

    /// The draw by which a host that may have less than one request gets one now and then.
    pub(super) fn admission_draw(&self, index: HostIndex, now: Timestamp) -> f64 {
        self.window(index, now, self.shortest_objective / 2).draw()
    }

    /// The work of a request class's usual request, as seen from here.
    pub(super) fn work(&self, request_class: usize) -> Duration {
        self.service_time(request_class, &WORK)
    }

    /// What a request is charged to the budget of a host in slow start: the long ones are what overloads it.
    pub(super) fn cost(&self, work: Duration, request_class: usize) -> f64 {
        let least = self.deployment.classes[request_class].latency_objective / 8;
        (work * 2).max(least).as_micros() as f64
    }

    /// Whether its requests take longer than short ones may, as its objective allows and not for a queue.
    pub(super) fn is_long(&self, request_class: usize) -> bool {
        let allowed = self.deployment.classes[request_class].latency_objective / 4;
        self.service_time(request_class, &USUAL).min(allowed) > self.shortest_objective
    }

    /// Counts the end of an attempt: for its host's health, its request class's times and all limits.
    pub(super) fn record_outcome(&mut self, attempt: &Attempt, now: Timestamp) {
        let answered = attempt.ended_as(AttemptOutcome::Answered);
        let used_up = attempt.maybe_ran() && !attempt.ended_as(AttemptOutcome::Error);
        if !used_up && self.warm_part(attempt.host, now) >= 1.0 {
            let cost = self.cost(self.work(attempt.request_class), attempt.request_class);
            self.hosts[attempt.host].work_sent.subtract(cost);
        }
        self.hosts[attempt.host].connection_slots.attempt_ended(attempt.sent_at, answered);
        self.record_host_health(attempt, now);
        if answered {
            self.record_answer(attempt, now);
        }
        self.release_work(attempt, now);
    }

    /// Whether an ended attempt was late; none where its end says nothing of the load.
    fn lateness(&self, attempt: &Attempt, now: Timestamp) -> Option<bool> {
        let objective = self.deployment.classes[attempt.request_class].latency_objective;
        let late = now - attempt.sent_at > objective / 2;
        match attempt.outcome? {
            AttemptOutcome::Answered => Some(late),
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => late.then_some(true),
            _ => None,
        }
    }

    fn record_host_health(&mut self, attempt: &Attempt, now: Timestamp) {
        let connect_timeout = self.deployment.connect_timeout;
        let late = self.lateness(attempt, now).is_some();
        let error = f64::from(attempt.ended_as(AttemptOutcome::Error));
        if attempt.was_answered() && self.hosts[attempt.host].last_answer == Timestamp::ZERO {
            self.shard_of_mut(attempt.host).answered_members += 1;
        }
        let host = &mut self.hosts[attempt.host];
        if attempt.was_answered() {
            host.last_answer = now;
            host.unanswered_attempts = 0;
            host.unresponsive = false;
            self.error_rate += (error - self.error_rate) / ERROR_RATE_ANSWERS;
        }
        match attempt.outcome.expect("an attempt that ended") {
            // Errors are the host's while they are rare; spread over all hosts they are the requests'.
            AttemptOutcome::Error if self.error_rate <= retries::MAX_RARE_ERROR_RATE => {
                host.record_failure(connect_timeout, now);
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                if late && host.last_answer <= attempt.sent_at {
                    host.record_unanswered(now);
                }
            }
            AttemptOutcome::ConnectionFailed | AttemptOutcome::ConnectionReset => {
                host.record_failure(connect_timeout, now);
                self.set_next_health_check(attempt.host, now);
            }
            AttemptOutcome::NoConnectionSlot => host.record_rejection(self.hash_seed, connect_timeout, now),
            AttemptOutcome::NotSent => {}
            _ => host.record_sign_of_life(now),
        }
    }

    fn record_answer(&mut self, attempt: &Attempt, now: Timestamp) {
        let took = now - attempt.sent_at;
        let relative = took.ratio(self.service_time(attempt.request_class, &USUAL)) * 1000.0;
        let cost = self.cost(attempt.work, attempt.request_class);
        let host = &mut self.hosts[attempt.host];
        host.work_answered.add(cost, now, self.deployment.slow_start.window);
        host.relative_latency.add(Duration::from_micros(relative as u64));
        self.service_times[attempt.request_class].add(took);
    }

    /// Takes an ended attempt out of what is in flight, and adapts the limits to whether it was late.
    fn release_work(&mut self, attempt: &Attempt, now: Timestamp) {
        let work = attempt.work;
        let late = self.lateness(attempt, now);
        let objective = self.deployment.classes[attempt.request_class].latency_objective;
        // Every router may hold this much at a host at once.
        let size = self.subset_size(self.shard_of(attempt.host), now);
        let users = self.expected_users(attempt.host, size);
        let least = (objective * 2).scaled(1.0 / users).min(objective / 2);
        let host = &mut self.hosts[attempt.host];
        let shard = self.shards.get_mut(&host.shard_id).expect("a host's group is known");
        // Nor less than its requests need at their usual pace: some see many times what others do.
        let rate = shard.recent_requests.rate(now, RECENT_REQUESTS_WINDOW);
        let needed = work.scaled(rate * work.ratio(RECENT_REQUESTS_WINDOW));
        let min_limit = (least * shard.members.len() as u64).max(needed).max(work);
        let mut ended =
            EndedWork { work, late, other_late_share: 0.0, min_limit, cut_interval: objective / 2 };
        let shard_limit = &mut shard.concurrency_limits[attempt.request_class];
        shard_limit.record_end(ended, now);
        let overloaded = attempt.ended_as(AttemptOutcome::Overloaded);
        ended.late = late.or(overloaded.then_some(true));
        ended.other_late_share = shard_limit.late_share.max(f64::from(overloaded));
        ended.min_limit = least;
        host.concurrency.record_end(ended, now);
    }
}
