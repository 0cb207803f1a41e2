//! The decision module: every decision of the router is made in this file.
//!
//! A caller makes a [`Router`], tells it of the list, of probes and of the passing time, and gives it
//! commands with [`Router::take`]. What happens to one later is a call on the [`Handle`] that this returns.
//! The interface stands in `lib.rs`, the mechanism in `docs/design.md`; "Beyond the design" marks departures.

#![allow(clippy::too_many_arguments)]

use crate::host_group::{GroupState, HostGroup};
use crate::{
    Actions, AttemptOutcome, CommandGroup, CommandId, Consistency, Deployment, Host, Idempotency, Lifecycle,
    StalenessCheck,
};
use crate::{AttemptEnd, CommandRequest, Endpoint, EndpointUpdate};
use crate::{
    DeduplicationScope, HostReport, RejectionReason, Role, Shard, SlowStart, chance::Chance,
    commits::Commits, histogram::Histogram,
};
use crate::{command::Attempt, command::Command, host_state::HostState, time::Duration, time::Timestamp};
use comethitch_fleet::concurrency_limit::{ConcurrencyLimit, EndedWork};
use comethitch_fleet::freshness;
use comethitch_fleet::quota::{self, Window};
use comethitch_fleet::subset::{self, Candidate, Member};
use std::collections::BTreeMap;

// The design page's own figures.
const PROBE_EVERY: Duration = Duration::from_secs(1);
const SILENCE: Duration = Duration::from_secs(2);
const STAGED: Duration = Duration::from_secs(3);
const LOST_SHARE: f64 = 0.6;

/// Points of service that probes may cost: a router with few commands pays many times over for each look.
const PROBE_POINTS: f64 = 0.02;
/// A group of which so few commands are left of the last ten seconds is not asked.
const ASKED: f64 = 0.5;
/// How soon a probe that proved nothing is sent again.
const PROBE_AGAIN: Duration = Duration::from_micros(PROBE_EVERY.as_micros() / 4);
/// How long a host may go without a probe that nothing has paid for.
const PROBE_IDLE: Duration = Duration::from_micros(PROBE_EVERY.as_micros() * 10);
/// Further attempts that each first one pays for, and how many may be saved up.
const FURTHER_SHARE: f64 = 0.2;
const FURTHER_SAVED: f64 = 16.0;
/// Up to this share of errors a command that met one is tried elsewhere.
const ERRORS_RARE: f64 = 1.0 / 8.0;
/// Dispatches called off or timed out late, without one answer since they were sent, that make a host unresponsive.
const MUTE_AFTER: u32 = 2;
/// Failures in a row, of connections, attempts and probes, that make a host one that can't be reached.
const LOST_AFTER: u32 = 3;
/// From this many times the usual answer time on a host counts as slow beside the others.
const SLOW: f64 = 2.0;
/// How often a unresponsive host is tried with a command.
const TRIED_EVERY: Duration = Duration::from_micros(SILENCE.as_micros() / 4);
/// The part of a bound up to which a replica that checks reads itself is tried.
const LAG_SHARE: f64 = 0.75;
/// The part of a bound kept as a margin where only positions guard a read.
const MARGIN: u64 = 32;

/// Where a command can go now.
enum Selection {
    Host(usize),
    Wait,
    Rejected,
}

/// A taken command. All that happens to it after it was taken is a call on this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle(CommandId);

pub struct Router {
    pub deployment: Deployment,
    random: Chance,
    hash_seed: u64,
    tick: Duration,
    host_groups: BTreeMap<Shard, HostGroup>,
    pub(crate) hosts: Vec<HostState>,
    free_entries: Vec<usize>,
    entry_of: BTreeMap<Host, usize>,
    commands: BTreeMap<CommandId, Command>,
    /// Commands that wait for room: first attempts, and behind them further ones.
    queues: [Vec<CommandId>; 2],
    retry_budget: f64,
    /// The share of errors among the last answers, of all hosts together.
    error_rate: f64,
    /// Answer times by command group.
    service_times: Vec<Histogram>,
    /// How old a primary's report of its position is: pure age, since a primary stands at the present.
    report_age: Histogram,
    /// The latest commit that each session was told of, where this router has to remember.
    session_commits: Commits,
    /// The shortest response target, the longest, and the tightest_bound bound on the age of data.
    shortest_objective: Duration,
    longest_objective: Duration,
    tightest_bound: Duration,
    /// Whether positions alone guard reads, and bounds alone ask for them: they are proven just in time.
    refresh_on_demand: bool,
}

impl Router {
    pub fn start(deployment: Deployment, seed: u64, out: &mut dyn Actions) -> Router {
        let target = deployment.shortest_latency_objective().unwrap_or(PROBE_EVERY);
        let tick = deployment.tick.max(target / 16);
        let tightest_bound = deployment.tightest_staleness_bound().unwrap_or(PROBE_EVERY);
        if deployment.must_watch_endpoints {
            out.watch_endpoints();
        }
        out.wake_after(tick);
        Router {
            random: Chance::new(seed),
            hash_seed: seed,
            tick,
            host_groups: BTreeMap::new(),
            hosts: Vec::new(),
            entry_of: BTreeMap::new(),
            commands: BTreeMap::new(),
            queues: Default::default(),
            retry_budget: FURTHER_SAVED,
            error_rate: 0.0,
            service_times: deployment
                .groups
                .iter()
                .map(|g| Histogram::new(g.latency_objective / 64, 256))
                .collect(),
            report_age: Histogram::new(deployment.tick, 256),
            session_commits: Commits::default(),
            shortest_objective: target,
            longest_objective: deployment.groups.iter().map(|g| g.latency_objective).max().unwrap_or(target),
            tightest_bound,
            refresh_on_demand: deployment.staleness_check == StalenessCheck::Off
                && !deployment.serves(Consistency::Session),
            free_entries: Vec::new(),
            deployment,
        }
    }

    /// The handle of a command that was taken and still has something out or owed.
    pub fn handle(&self, id: CommandId) -> Option<Handle> {
        self.commands.contains_key(&id).then_some(Handle(id))
    }

    /// Takes in a change of the endpoint list.
    pub fn update_endpoints(&mut self, update: &EndpointUpdate, out: &mut dyn Actions) {
        self.hosts.iter_mut().for_each(|node| node.removed |= update.complete);
        for endpoint in &update.endpoints {
            self.update_endpoint(endpoint, out);
        }
        self.endpoints_updated(out);
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, out: &mut dyn Actions) {
        let Endpoint { host, zone, shard, lifecycle, is_primary, capacity, started } = *endpoint;
        let now = out.now();
        let known = self.entry_of.contains_key(&host);
        let i = self.entry(host, shard, now);
        let node = &mut self.hosts[i];
        (node.zone, node.capacity, node.removed) =
            (zone, capacity.max(1e-9), lifecycle == Lifecycle::Removed);
        let drains = (lifecycle == Lifecycle::Draining).then_some(now);
        node.draining_since = node.draining_since.filter(|_| lifecycle != Lifecycle::Ready).or(drains);
        // A process that started anew holds no role and none of what was sent to it.
        let restarted = known && started > node.started && node.last_answer < started.unwrap_or_default();
        node.started = node.started.max(started);
        let Some(group) = self.host_groups.get_mut(&shard) else { return };
        let renamed = is_primary && group.listed_primary != Some(i);
        node.next_health_check = if renamed { now } else { node.next_health_check };
        if is_primary {
            group.listed_primary = Some(i);
            group.primary = group.primary.or(group.listed_primary.filter(|_| group.serial == 0));
        }
        let lost = group.primary.is_some_and(|p| match p == i {
            true => restarted || lifecycle == Lifecycle::Removed,
            // The list is seconds late: a primary that has just answered as one outweighs it.
            false => renamed && now - self.hosts[p].last_seen_primary > PROBE_EVERY,
        });
        if lost {
            self.fail_over(shard, out);
        }
    }

    fn endpoints_updated(&mut self, out: &mut dyn Actions) {
        let told = Some(out.now()).filter(|_| !self.deployment.removal_is_advisory);
        self.hosts
            .iter_mut()
            .filter(|node| node.removed)
            .for_each(|node| node.draining_since = node.draining_since.or(told));
        self.forget_removed(out.now());
        // Until something was heard from a host, all routers together put no more there than the longest
        // target's work: one that comes into many subsets is else filled for seconds before any is late.
        for i in (0..self.hosts.len())
            .filter(|i| self.hosts[*i].last_answer == Timestamp::ZERO)
            .collect::<Vec<_>>()
        {
            self.hosts[i].concurrency.limit = self.longest_objective.scaled(1.0 / self.sharers(i, out.now()));
        }
        self.run_due_health_checks(out);
        self.drain_queues(out);
    }

    /// The endpoint list could not be had.
    pub fn endpoints_unavailable(&mut self, out: &mut dyn Actions) {
        if self.deployment.must_watch_endpoints {
            out.watch_endpoints();
        }
    }

    fn entry(&mut self, host: Host, shard: Shard, now: Timestamp) -> usize {
        if let Some(&i) = self.entry_of.get(&host) {
            return i;
        }
        let i = self.free_entries.pop().unwrap_or(self.hosts.len());
        self.entry_of.insert(host, i);
        self.hosts.resize_with(self.hosts.len().max(i + 1), HostState::default);
        self.hosts[i] = HostState {
            host,
            shard,
            last_sign_of_life: now,
            next_health_check: now,
            relative_latency: Histogram::new(Duration::from_micros(250), 64),
            ..HostState::default()
        };
        let group = self.host_groups.entry(shard).or_default();
        group.members.push(i);
        group.concurrency_limits.resize(self.deployment.groups.len(), ConcurrencyLimit::default());
        group.health_check_budget += 1.0;
        i
    }

    /// Forgets hosts that have long been gone, once no command, probe or group has to do with them.
    fn forget_removed(&mut self, now: Timestamp) {
        let used: Vec<usize> = self.commands.values().flat_map(|c| &c.attempts).map(|d| d.host).collect();
        let long = |n: &HostState| n.removed && n.draining_since.is_some_and(|told| now - told > PROBE_IDLE);
        for (i, node) in self.hosts.iter().enumerate().filter(|(_, n)| long(n)) {
            let group = self.host_groups.get_mut(&node.shard).expect("known shard");
            let named = group.primary == Some(i) || group.listed_primary == Some(i) || used.contains(&i);
            if !named && node.health_check_sent.is_none() && self.entry_of.get(&node.host) == Some(&i) {
                self.entry_of.remove(&node.host);
                group.members.retain(|other| *other != i);
                self.free_entries.push(i);
            }
        }
    }

    /// Accepts a command. What happens to it later is a call on the handle.
    pub fn submit(&mut self, request: CommandRequest, out: &mut dyn Actions) -> Handle {
        let CommandRequest { id, group, shard, session, since_write, timeout } = request;
        let now = out.now();
        let required_position = match self.deployment.session_tokens_carried {
            true => since_write.map_or(Timestamp::ZERO, |since| now - since),
            false => self.session_commits.of(session),
        };
        let deadline = now + timeout;
        let command = Command {
            group,
            shard,
            session,
            required_position,
            submitted_at: now,
            deadline,
            ..Command::default()
        };
        self.commands.insert(id, command);
        self.retry_budget = (self.retry_budget + FURTHER_SHARE).min(FURTHER_SAVED);
        if let Some(group) = self.host_groups.get_mut(&shard) {
            let most = group.members.len() as f64 * 2.0;
            // Where proofs are asked for besides, a quarter is left for the rest.
            let points = PROBE_POINTS * if self.refresh_on_demand { 0.25 } else { 1.0 };
            group.health_check_budget =
                (group.health_check_budget + points / self.deployment.probe_price).min(most);
            group.recent_commands.add(1.0, now, PROBE_IDLE);
        }
        self.refresh_positions(shard, group, required_position, out);
        self.schedule(id, out);
        Handle(id)
    }

    fn schedule(&mut self, id: CommandId, out: &mut dyn Actions) {
        let Some(command) = self.commands.get(&id) else { return };
        let (first, ends) = (command.attempts.is_empty(), command.deadline);
        match self.select_host(id, out.now()) {
            Selection::Host(i) if first || self.retry_budget >= 1.0 => self.send(id, i, out),
            Selection::Rejected => self.reject(id, RejectionReason::NoPrimary, out),
            // Too short a time to wait in line: the next look at it could come after its client timeout.
            _ if ends <= out.now() + self.tick * 2 => self.reject(id, RejectionReason::DeadlineTooClose, out),
            _ => {
                let command = self.commands.get_mut(&id).expect("looked up above");
                if !std::mem::replace(&mut command.queued, true) {
                    let (line, priority) = (usize::from(!first), self.priority(id));
                    // The newest of equal priority first: in overload the oldest could only be late.
                    let at = self.queues[line].partition_point(|other| self.priority(*other) > priority);
                    self.queues[line].insert(at, id);
                }
            }
        }
    }

    /// Benefit for the work: what is served first, and given up last.
    fn priority(&self, id: CommandId) -> f64 {
        let Some(command) = self.commands.get(&id) else { return 0.0 };
        self.deployment.groups[command.group].priority_weight
            / self.work(command.group).as_micros().max(1) as f64
    }

    fn drain_queues(&mut self, out: &mut dyn Actions) {
        for further in 0..2 {
            let line = std::mem::take(&mut self.queues[further]);
            let mut stuck: Vec<(usize, Shard)> = Vec::new();
            let mut left = Vec::with_capacity(line.len());
            for id in line {
                let Some(command) = self.commands.get(&id).filter(|c| c.queued && !c.finished) else {
                    continue;
                };
                let (kind, required_position) = ((command.group, command.shard), command.required_position);
                let barred = stuck.contains(&kind) || (further == 1 && self.retry_budget < 1.0);
                match if barred { Selection::Wait } else { self.select_host(id, out.now()) } {
                    Selection::Host(i) => self.send(id, i, out),
                    Selection::Rejected => self.reject(id, RejectionReason::NoPrimary, out),
                    Selection::Wait => {
                        if !barred {
                            self.refresh_positions(kind.1, kind.0, required_position, out);
                        }
                        stuck.extend((!barred).then_some(kind));
                        left.push(id);
                    }
                }
            }
            left.append(&mut self.queues[further]);
            self.queues[further] = left;
        }
    }

    fn send(&mut self, id: CommandId, i: usize, out: &mut dyn Actions) {
        let now = out.now();
        let group = self.commands[&id].group;
        let (work, cost) = (self.work(group), self.cost(group));
        let window = self.slow_start_window(i, now);
        let command = self.commands.get_mut(&id).expect("a taken command");
        let time_out = command.deadline - now;
        if !command.attempts.is_empty() {
            self.retry_budget -= 1.0;
        }
        command.queued = false;
        command.attempts.push(Attempt {
            host: i,
            sent_at: now,
            outcome: None,
            in_flight_at_fault: false,
            work,
        });
        let node = &mut self.hosts[i];
        node.concurrency.in_flight += work;
        self.host_groups.get_mut(&node.shard).expect("known shard").concurrency_limits[group].in_flight +=
            work;
        node.work_sent.add(cost, now, self.deployment.slow_start.window);
        node.slow_start_usage.add(cost, &window);
        node.expect_answer(now);
        node.connection_slots.attempt_sent(now);
        if node.unresponsive {
            node.ejected_until = now + TRIED_EVERY;
        }
        out.send_attempt(id, node.host, time_out);
    }

    fn reject(&mut self, id: CommandId, reason: RejectionReason, out: &mut dyn Actions) {
        let Some(command) = self.commands.get_mut(&id).filter(|c| !c.finished) else { return };
        command.finished = true;
        let group = &self.deployment.groups[command.group];
        let harmless = group.idempotency == Idempotency::Idempotent
            || command.maybe_ran().next().is_none()
            || (group.idempotency == Idempotency::Keyed
                && group.deduplication_scope == DeduplicationScope::Everywhere);
        if harmless {
            // Back within the target if this was a lack of room: retries count with the first try.
            let failing =
                self.host_groups.get(&command.shard).is_some_and(|g| g.state != GroupState::Healthy);
            let leaderless = failing && matches!(group.consistency, Consistency::Write | Consistency::Strong);
            let after = if leaderless { PROBE_EVERY } else { group.latency_objective / 8 };
            let retry_after = self.deployment.max_retry_after.map(|longest| after.min(longest));
            out.throttle(id, retry_after, reason);
        } else {
            out.fail(id, reason);
        }
        self.cancel_attempts(id, out);
    }

    /// Withdraws what is still out of a finished command, and forgets it once nothing is.
    fn cancel_attempts(&mut self, id: CommandId, out: &mut dyn Actions) {
        let Some(command) = self.commands.get(&id) else { return };
        let may_cancel = self.deployment.may_cancel;
        let open = command.attempts.iter().enumerate().filter(|(_, d)| may_cancel && d.outcome.is_none());
        open.for_each(|(nth, _)| out.cancel_attempt(id, nth as u16));
        if command.in_flight().next().is_none() {
            self.commands.remove(&id);
        }
    }

    fn select_host(&mut self, id: CommandId, now: Timestamp) -> Selection {
        let command = &self.commands[&id];
        let Some(group) = self.host_groups.get(&command.shard) else { return Selection::Wait };
        let kind = &self.deployment.groups[command.group];
        if matches!(kind.consistency, Consistency::Write | Consistency::Strong) {
            let may_have_run = command.maybe_ran().next().is_some();
            return match group.primary {
                // A fresh router that the list names no primary to probes first.
                None if group.serial == 0 => Selection::Wait,
                Some(p) if self.primary_serves(p, group, now) => {
                    let now = self.has_capacity(p, 1.0, command.group, now)
                        && self.may_attempt(command, kind, p, now);
                    if now { Selection::Host(p) } else { Selection::Wait }
                }
                // Beyond the design: a keyed command that may have run waits for the next primary while its
                // repeat is still dropped; a throttle is forbidden and a failure would lose it.
                _ if may_have_run && kind.idempotency != Idempotency::NonIdempotent => Selection::Wait,
                _ => Selection::Rejected,
            };
        }
        let open = |i: usize, reach: f64| {
            self.usable(i, now)
                && self.has_capacity(i, reach, command.group, now)
                && self.may_attempt(command, kind, i, now)
        };
        let tried = |i: usize| command.attempts.iter().any(|d| d.host == i);
        let subset = self.subset(command.shard, now);
        let free = subset.iter().filter(|m| !tried(m.index) && open(m.index, m.router_share));
        let replicas: Vec<usize> = free.map(|m| m.index).collect();
        let fresh = |i: usize, need| self.is_fresh(i, need, command.required_position, now);
        let drawn: Vec<usize> = replicas.iter().copied().filter(|i| fresh(*i, kind.consistency)).collect();
        // Beyond the design: a read of any age spares fresh replicas and goes to the one furthest behind. As
        // long ones hold a log up, where none is behind all routers agree on the largest of lowest id.
        if kind.consistency == Consistency::Eventual {
            let order = |i: usize| {
                let (node, fresh) =
                    (&self.hosts[i], fresh(i, Consistency::BoundedStaleness(self.tightest_bound)));
                let behind = if fresh { Timestamp::ZERO } else { node.position };
                (fresh, behind, u64::MAX - node.capacity.to_bits(), node.host, i)
            };
            let first = drawn.iter().map(|i| order(*i)).min();
            if let Some((.., i)) = first.filter(|first| !first.0 || self.is_long(command.group)) {
                return Selection::Host(i);
            }
        }
        // Beyond the design: not the freshest where it would surely turn the read away.
        let checks = |i: &usize| {
            let behind = matches!(kind.consistency, Consistency::BoundedStaleness(bound) if self.hosts[*i].lag > bound);
            self.deployment.staleness_check != StalenessCheck::Off && !behind
        };
        let freshest =
            || replicas.iter().copied().rev().max_by_key(|i| self.hosts[*i].position).filter(checks);
        // No replica will do: the primary, whose own commands keep a quarter of its room. With room for less
        // than one it takes none: many routers' single reads would crowd it. A session's read, which may have
        // no other host, it takes as often as that room holds of one.
        let spare = |p: &usize| {
            let node = &self.hosts[*p];
            let calm = group.state != GroupState::Failover && node.role != Some(Role::Replica);
            let turn = self.admission_draw(*p, now);
            let (own, work) = (
                kind.consistency == Consistency::Session && node.concurrency.in_flight == Duration::ZERO,
                self.work(command.group),
            );
            let work = if own { work.scaled(turn) } else { work };
            calm && open(*p, 1.0) && node.concurrency.in_flight + work <= node.concurrency.limit.scaled(0.75)
        };
        // A proof that is on its way is waited for: the primary could not bear what falls to it meanwhile.
        let coming =
            self.refresh_on_demand && replicas.iter().any(|i| self.hosts[*i].health_check_sent.is_some());
        let spared = || group.primary.filter(|p| !coming && spare(p));
        let other = if drawn.is_empty() { freshest().or_else(spared) } else { None };
        // The draw is even among equals: a host's part is its power, less what it lacks of warmth and pace,
        // and of room for what waits there and what this router has out there.
        let work = self.work(command.group);
        let part = |i: usize| {
            let (node, drawn) =
                (&self.hosts[i], subset.iter().find(|m| m.index == i).map_or(0.0, |m| m.weight));
            let crowd = (1.0 + node.queue_length) * (1.0 + node.concurrency.in_flight.ratio(work));
            drawn / crowd.powi(2) / node.relative_latency.slowness()
        };
        let weights: Vec<f64> = drawn.iter().map(|i| part(*i)).collect();
        let one = self.random.pick(&weights).map(|nth| drawn[nth]);
        one.or(other).map_or(Selection::Wait, Selection::Host)
    }

    /// Whether the believed primary may get what only it can do.
    fn primary_serves(&self, p: usize, group: &HostGroup, now: Timestamp) -> bool {
        let node = &self.hosts[p];
        match group.state {
            _ if self.past_drain_grace(p, now) => false,
            GroupState::Healthy => node.role != Some(Role::Replica),
            // Beyond the design: a host that answers probes and no commands is tried with one now and then.
            GroupState::Unhealthy => {
                node.is_admissible(now) && !node.is_unreachable() || self.keeps_primary(group, now)
            }
            GroupState::Failover => false,
        }
    }

    /// Beyond the design: whether the group keeps a primary that this router can't reach. Without one no
    /// member's data move on; with one, it is tried on, as no other could do its work.
    fn keeps_primary(&self, group: &HostGroup, now: Timestamp) -> bool {
        let others = group.members.iter().filter(|i| group.primary != Some(**i));
        let moving = others.map(|i| &self.hosts[*i]).any(|node| now - node.position < SILENCE);
        moving && group.primary.is_some_and(|p| !self.hosts[p].unresponsive)
    }

    fn past_drain_grace(&self, i: usize, now: Timestamp) -> bool {
        self.hosts[i].draining_since.is_some_and(|told| now - told > self.deployment.drain_grace / 2)
    }

    fn usable(&self, i: usize, now: Timestamp) -> bool {
        self.hosts[i].draining_since.is_none()
            && self.hosts[i].is_admissible(now)
            && self.hosts[i].connection_slots.has_free(now)
    }

    /// Whether the rules allow this command one more attempt, to this host.
    fn may_attempt(&self, command: &Command, kind: &CommandGroup, i: usize, now: Timestamp) -> bool {
        // A repeat must arrive while the first is remembered: the way there may take a connection.
        let arrival = now + self.deployment.connect_timeout;
        let nth = command.attempts.len();
        nth == 0 || nth < self.deployment.max_attempts && self.may_send_beside(command, nth, kind, i, arrival)
    }

    /// Whether the `nth` attempt may be written to this host at that moment beside what was sent before it.
    fn may_send_beside(
        &self, command: &Command, nth: usize, kind: &CommandGroup, i: usize, at: Timestamp,
    ) -> bool {
        let before = &command.attempts[..nth];
        if !self.deployment.hedging_allowed && before.iter().any(|d| d.outcome.is_none()) {
            return false;
        }
        let node = &self.hosts[i];
        let mut maybe_ran = before.iter().filter(|d| d.maybe_ran());
        match kind.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => maybe_ran.next().is_none(),
            Idempotency::Keyed => maybe_ran.all(|ran| {
                let same = match kind.deduplication_scope {
                    DeduplicationScope::Everywhere => true,
                    DeduplicationScope::Zone => self.hosts[ran.host].zone == node.zone,
                    DeduplicationScope::Shard => self.hosts[ran.host].shard == node.shard,
                };
                same && at + self.tick < ran.sent_at + kind.deduplication_window
            }),
        }
    }

    fn is_fresh(&self, i: usize, need: Consistency, required_position: Timestamp, now: Timestamp) -> bool {
        let node = &self.hosts[i];
        match need {
            Consistency::Eventual => true,
            Consistency::Session => node.position >= required_position,
            // Beyond the design: where replicas check, a position counts as having kept pace since then.
            Consistency::BoundedStaleness(bound)
                if self.deployment.staleness_check != StalenessCheck::Off =>
            {
                node.lag <= bound.scaled(LAG_SHARE) && now - node.lag_reported_at <= PROBE_EVERY * 2
            }
            Consistency::BoundedStaleness(bound) => now - node.position <= bound - bound / MARGIN,
            Consistency::Write | Consistency::Strong => false,
        }
    }

    /// The share of a host's power that it surely has by now, if it started lately.
    fn warm_part(&self, i: usize, now: Timestamp) -> f64 {
        self.deployment.slow_start.warm_part(self.hosts[i].started, now)
    }

    /// Beyond the design: the replicas that this router uses, few enough to know them well.
    fn subset(&self, shard: Shard, now: Timestamp) -> Vec<Member> {
        let group = &self.host_groups[&shard];
        // One that was just told to be too far behind gives way too, until it is time to ask again.
        let behind =
            |node: &HostState| now - node.lag_reported_at < SILENCE && node.lag > self.tightest_bound;
        let apart = |i: usize| {
            group.primary == Some(i)
                || !self.usable(i, now)
                || self.refresh_on_demand && behind(&self.hosts[i])
        };
        let candidate = |at: usize| {
            let HostState { host, capacity, .. } = self.hosts[at];
            Candidate { index: at, host_key: host.number(), weight: capacity * self.warm_part(at, now) }
        };
        let all = group.members.iter().copied().filter(|i| !apart(*i)).map(candidate);
        subset::select(self.hash_seed, now, self.deployment.slow_start.warmup * 8, self.size(group, now), all)
    }

    fn size(&self, group: &HostGroup, now: Timestamp) -> usize {
        let lasts = freshness::refresh_after(self.tightest_bound, PROBE_AGAIN);
        subset::size(group.recent_commands.rate(now, PROBE_IDLE) * lasts.ratio(PROBE_IDLE))
    }

    /// How many routers use a host: all a primary, of other hosts the part that has it in its subset.
    fn sharers(&self, i: usize, now: Timestamp) -> f64 {
        let group = &self.host_groups[&self.hosts[i].shard];
        let size = self.size(group, now) as f64;
        let reach = if group.primary == Some(i) { 1.0 } else { size / group.members.len().max(1) as f64 };
        quota::expected_users(self.deployment.slow_start.routers, reach.min(1.0))
    }

    /// Asks for what a read needs: the proofs of its subset that run out before the next could come, or are
    /// older than what its session has written.
    fn refresh_positions(
        &mut self, shard: Shard, group: usize, required_position: Timestamp, out: &mut dyn Actions,
    ) {
        let now = out.now();
        let lasts = |bound: Duration| freshness::refresh_after(bound - bound / MARGIN, PROBE_AGAIN);
        // Where sessions are served besides, timers ask too, but few of them are paid for by a quiet router.
        let alone = self.deployment.staleness_check == StalenessCheck::Off && self.deployment.may_probe;
        let known = self.host_groups.get(&shard).filter(|_| alone);
        let proven = match (self.deployment.groups[group].consistency, known) {
            (Consistency::BoundedStaleness(bound), Some(_)) => now - lasts(bound),
            (Consistency::Session, Some(_)) if required_position > Timestamp::ZERO => required_position,
            // Whether the group keeps a primary in doubt shows in whether its other members move on.
            (Consistency::Write | Consistency::Strong, Some(known))
                if known.state == GroupState::Unhealthy =>
            {
                now - lasts(SILENCE)
            }
            _ => return,
        };
        for Member { index: at, router_share: reach, .. } in self.subset(shard, now) {
            let node = &self.hosts[at];
            let asked = node.health_check_sent.is_some() || now < node.next_position_refresh;
            if node.position < proven && !asked && self.has_capacity(at, reach, group, now) {
                let lag = Some(node.lag).filter(|_| node.position > Timestamp::ZERO);
                self.hosts[at].next_position_refresh = now + freshness::refresh_backoff(lag, PROBE_AGAIN);
                self.send_health_check(at, out);
            }
        }
    }

    fn send_health_check(&mut self, i: usize, out: &mut dyn Actions) {
        let node = &mut self.hosts[i];
        node.health_check_sent = Some(out.now());
        node.expect_answer(out.now());
        out.check_health(node.host);
    }

    /// Whether a host, which `reach` of all routers use, can take this work in time and is not pushed over.
    fn has_capacity(&self, i: usize, reach: f64, group: usize, now: Timestamp) -> bool {
        let node = &self.hosts[i];
        // Room is reckoned for the shortest target: a long command, with a target to match, finds more of it.
        let target = self.deployment.groups[group].latency_objective;
        let stretch = if self.is_long(group) { target.ratio(self.shortest_objective) } else { 1.0 };
        let work = self.work(group);
        let turn = self.admission_draw(i, now);
        // One that nobody here has used comes in as the others fail: hundreds of routers turn to it at once.
        let new = self.refresh_on_demand
            && node.last_answer == Timestamp::ZERO
            && self.host_groups[&node.shard].primary != Some(i)
            && self.host_groups[&node.shard]
                .members
                .iter()
                .any(|j| self.hosts[*j].last_answer > Timestamp::ZERO);
        let part = self
            .longest_objective
            .scaled(1.0 / quota::expected_users(self.deployment.slow_start.routers, reach))
            .ratio(work);
        let fits = node.connection_slots.has_free(now)
            && !(new && turn >= part)
            && node.concurrency.admits(work, stretch, turn)
            && self.host_groups[&node.shard].concurrency_limits[group].admits(work, 1.0, 0.0);
        let warm_part = self.warm_part(i, now);
        if !fits || warm_part >= 1.0 {
            return fits;
        }
        // A cold host gets no more than this router's part of what the ramp surely allows.
        let SlowStart { window: span, .. } = self.deployment.slow_start;
        let warm = (0..self.hosts.len()).filter(|j| self.usable(*j, now) && self.warm_part(*j, now) >= 1.0);
        let carried = |j: usize| (self.hosts[j].work_sent.value(now, span), self.hosts[j].capacity);
        let (sent, power) = warm.map(carried).fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let peers = if power > 0.0 { sent / power * node.capacity } else { 0.0 };
        let budget =
            self.deployment.slow_start.budget(warm_part, reach, peers, node.work_answered.value(now, span));
        node.slow_start_usage.admits(self.cost(group), budget, &self.slow_start_window(i, now))
    }

    /// The draw by which a host with capacity for less than one command admits it now and then.
    fn admission_draw(&self, i: usize, now: Timestamp) -> f64 {
        self.window(i, now, self.shortest_objective / 2).draw()
    }

    fn slow_start_window(&self, i: usize, now: Timestamp) -> Window {
        self.window(i, now, self.deployment.slow_start.window)
    }

    fn window(&self, i: usize, now: Timestamp, length: Duration) -> Window {
        Window { hash_seed: self.hash_seed, host_key: self.hosts[i].host.number(), now, length }
    }

    /// The work of a command group's usual command, as seen from here.
    fn work(&self, group: usize) -> Duration {
        self.service_times[group].quantile(0.3).unwrap_or(self.deployment.groups[group].latency_objective / 8)
    }

    /// What a cold host's budget is charged for a command: the long ones are what pushes it over.
    fn cost(&self, group: usize) -> f64 {
        (self.work(group) * 2).max(self.deployment.groups[group].latency_objective / 8).as_micros() as f64
    }

    /// Whether its commands take longer than short ones may, as its target allows and not for a queue.
    fn is_long(&self, group: usize) -> bool {
        self.usual_service_time(group).min(self.deployment.groups[group].latency_objective / 4)
            > self.shortest_objective
    }

    fn usual_service_time(&self, group: usize) -> Duration {
        self.service_times[group].quantile(0.5).unwrap_or(self.deployment.groups[group].latency_objective / 4)
    }

    /// A health check ended; `told` is what the host reported.
    pub fn health_checked(
        &mut self, host: Host, ending: AttemptOutcome, told: HostReport, out: &mut dyn Actions,
    ) {
        let now = out.now();
        let Some(&i) = self.entry_of.get(&host) else { return };
        let node = &mut self.hosts[i];
        let sent = node.health_check_sent.take().unwrap_or(now);
        if ending == AttemptOutcome::NoConnectionSlot {
            node.connection_rejected(self.hash_seed, self.deployment.connect_timeout, now);
        } else if matches!(
            ending,
            AttemptOutcome::Answered | AttemptOutcome::Error | AttemptOutcome::Overloaded
        ) {
            node.record_sign_of_life(now);
            // It runs but tells nothing: it has just started, is asked by too many, or only its probes fail.
            if told == HostReport::default() {
                let parts = if node.position == Timestamp::ZERO { 16 } else { 4 };
                node.next_health_check = node.next_health_check.min(now + PROBE_EVERY / parts);
            }
        } else if node.last_sign_of_life < sent {
            node.record_failure(now, self.deployment.connect_timeout);
        }
        self.apply_report(i, told, None, out);
        self.drain_queues(out);
    }

    fn record_outcome(&mut self, attempt: Attempt, kind: usize, ending: AttemptOutcome, now: Timestamp) {
        let Attempt { host: i, sent_at: sent, work, .. } = attempt;
        let took = now - sent;
        let usual = self.usual_service_time(kind);
        let target = self.deployment.groups[kind].latency_objective;
        // Every router may hold this much at a host at once.
        let least = (target * 2).scaled(1.0 / self.sharers(i, now)).min(target / 2);
        if (ending.never_ran() || ending == AttemptOutcome::Error) && self.warm_part(i, now) >= 1.0 {
            let cost = self.cost(kind);
            self.hosts[i].work_sent.subtract(cost);
        }
        let node = &mut self.hosts[i];
        node.connection_slots.attempt_ended(sent, ending == AttemptOutcome::Answered);
        let mut late = None;
        match ending {
            AttemptOutcome::Answered
            | AttemptOutcome::NotPrimary
            | AttemptOutcome::Error
            | AttemptOutcome::Overloaded => {
                (node.last_answer, node.unanswered_attempts, node.unresponsive) = (now, 0, false);
                self.error_rate +=
                    (f64::from(u8::from(ending == AttemptOutcome::Error)) - self.error_rate) / 32.0;
                // Errors are the host's while they are rare; spread over all hosts they are the commands'.
                if ending == AttemptOutcome::Error && self.error_rate <= ERRORS_RARE {
                    node.record_failure(now, self.deployment.connect_timeout);
                } else {
                    node.record_sign_of_life(now);
                }
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                late = (took > target / 2).then_some(true);
                node.unanswered_attempts += u32::from(node.last_answer <= sent && late.is_some());
                // Hangs, one-way links, hosts too slow to wait for, whatever their probes say.
                if node.unanswered_attempts >= MUTE_AFTER && !node.unresponsive {
                    (node.unresponsive, node.ejected_until) =
                        (true, node.ejected_until.max(now + TRIED_EVERY));
                }
            }
            AttemptOutcome::ConnectionFailed | AttemptOutcome::ConnectionReset => {
                node.record_failure(now, self.deployment.connect_timeout);
                node.next_health_check = now;
            }
            AttemptOutcome::NoConnectionSlot => {
                node.connection_rejected(self.hash_seed, self.deployment.connect_timeout, now)
            }
            AttemptOutcome::NotSent => {}
        }
        if ending == AttemptOutcome::Answered {
            node.work_answered.add(
                (work * 2).max(target / 8).as_micros() as f64,
                now,
                self.deployment.slow_start.window,
            );
            self.service_times[kind].add(took);
            node.relative_latency.add(Duration::from_micros((took.ratio(usual) * 1000.0) as u64));
            late = Some(took > target / 2);
        }
        let group = self.host_groups.get_mut(&node.shard).expect("known shard");
        // Nor less than its commands need at their usual pace: some see many times what others do.
        let needs = work.scaled(group.recent_commands.rate(now, PROBE_IDLE) * work.ratio(PROBE_IDLE));
        let together = (least * group.members.len() as u64).max(needs);
        let end = EndedWork {
            work,
            late,
            other_late_share: 0.0,
            min_limit: together.max(work),
            cut_interval: target / 2,
        };
        group.concurrency_limits[kind].record_end(end, now);
        let full = ending == AttemptOutcome::Overloaded;
        let (late, together) =
            (late.or(full.then_some(true)), group.concurrency_limits[kind].late_share.max(f64::from(full)));
        node.concurrency
            .record_end(EndedWork { late, other_late_share: together, min_limit: least, ..end }, now);
    }

    /// Takes in what a host's report, and the note of its answer, say.
    fn apply_report(&mut self, i: usize, told: HostReport, noted: Option<HostReport>, out: &mut dyn Actions) {
        let now = out.now();
        let node = &mut self.hosts[i];
        if let Some(position) = told.position {
            node.position = node.position.max(position);
            if told.role == Some(Role::Primary) {
                self.report_age.add(now - position);
            }
            let age = self.report_age.quantile(0.5).unwrap_or_default();
            (node.lag, node.lag_reported_at) = ((now - position) - age, now);
            node.queue_length = told.queue.unwrap_or_default();
        }
        let (shard, position) = (node.shard, node.position);
        // A report may be older than an answer: one made before it last led does not unseat a primary.
        let told_role = told
            .role
            .filter(|r| *r == Role::Primary || told.position.is_none_or(|p| p > node.last_seen_primary));
        let Some(role) = noted.and_then(|n| n.role).or(told_role) else { return };
        node.role = Some(role);
        if role == Role::Primary {
            self.confirm_primary(i, position, noted.is_some(), out);
        } else if self.host_groups[&shard].primary == Some(i) {
            self.fail_over(shard, out);
        }
    }

    fn confirm_primary(&mut self, i: usize, position: Timestamp, to_command: bool, out: &mut dyn Actions) {
        let now = out.now();
        let (shard, unresponsive) = (self.hosts[i].shard, self.hosts[i].unresponsive);
        let group = &self.host_groups[&shard];
        let proven = if group.primary == Some(i) {
            match group.state {
                GroupState::Healthy => true,
                GroupState::Unhealthy => to_command || !unresponsive,
                // Failover ends with evidence newer than it: a report made earlier tells of the time before.
                GroupState::Failover => to_command || (position > group.state_since && !unresponsive),
            }
        } else {
            // Two claim the role: the one whose data are newer took over.
            group.primary.is_none_or(|p| to_command || position > self.hosts[p].position)
        };
        if !proven {
            return;
        }
        if group.primary.is_some_and(|p| p != i) {
            self.fail_over(shard, out);
        }
        self.hosts[i].last_seen_primary = now;
        let group = self.host_groups.get_mut(&shard).expect("known shard");
        if group.state != GroupState::Healthy || group.primary != Some(i) {
            (group.primary, group.state, group.state_since) = (Some(i), GroupState::Healthy, now);
            self.drain_queues(out);
        }
    }

    /// Healthy to Unhealthy: something went wrong at the believed primary.
    fn mark_unhealthy(&mut self, i: usize, now: Timestamp) {
        let shard = self.hosts[i].shard;
        let group = self.host_groups.get_mut(&shard).expect("known shard");
        if group.primary != Some(i) || group.state != GroupState::Healthy {
            return;
        }
        (group.state, group.state_since, group.in_flight_at_fault, group.lost_since_fault) =
            (GroupState::Unhealthy, now, 0, 0);
        for attempt in self.commands.values_mut().flat_map(|c| &mut c.attempts).filter(|d| d.host == i) {
            attempt.in_flight_at_fault = attempt.outcome.is_none();
            group.in_flight_at_fault += u32::from(attempt.in_flight_at_fault);
        }
        self.hosts[i].next_health_check = now;
    }

    /// To Failover: the serial goes up, the old primary's idle connections close, unsent writes are refused.
    fn fail_over(&mut self, shard: Shard, out: &mut dyn Actions) {
        let now = out.now();
        let Some(group) = self.host_groups.get_mut(&shard).filter(|g| g.state != GroupState::Failover) else {
            return;
        };
        (group.state, group.state_since) = (GroupState::Failover, now);
        group.serial += 1;
        for &i in &group.members {
            self.hosts[i].next_health_check = self.hosts[i].next_health_check.min(now);
        }
        if let Some(p) = group.primary {
            out.close_idle_connections(self.hosts[p].host);
        }
        self.run_due_health_checks(out);
        self.drain_queues(out);
    }

    /// Looks at everything that depends on the time; to be called as [`Actions::wake_after`] asked.
    pub fn tick(&mut self, out: &mut dyn Actions) {
        out.wake_after(self.tick);
        for shard in self.host_groups.keys().copied().collect::<Vec<_>>() {
            self.check_primary(shard, out);
        }
        self.run_due_health_checks(out);
        for id in self.commands.keys().copied().collect::<Vec<_>>() {
            self.review_command(id, out);
        }
        self.drain_queues(out);
    }

    /// The router ends: what is still in hand gets its final answer now.
    pub fn shut_down(&mut self, out: &mut dyn Actions) {
        for id in self.commands.keys().copied().collect::<Vec<_>>() {
            self.reject(id, RejectionReason::DeadlineExceeded, out);
        }
    }

    fn check_primary(&mut self, shard: Shard, out: &mut dyn Actions) {
        let now = out.now();
        let group = &self.host_groups[&shard];
        let Some(p) = group.primary else { return };
        let node = &self.hosts[p];
        let answers = !node.is_unreachable() && !node.unresponsive;
        let lost = node.unresponsive
            || f64::from(group.lost_since_fault) >= LOST_SHARE * f64::from(group.in_flight_at_fault);
        match group.state {
            GroupState::Healthy if self.past_drain_grace(p, now) => self.fail_over(shard, out),
            GroupState::Healthy
                if node.awaiting_since > node.last_sign_of_life && now - node.awaiting_since > SILENCE =>
            {
                self.mark_unhealthy(p, now)
            }
            GroupState::Unhealthy
                if answers
                    || !lost
                    || now - group.state_since <= STAGED
                    || self.keeps_primary(group, now) => {}
            GroupState::Unhealthy => self.fail_over(shard, out),
            _ => {}
        }
    }

    fn run_due_health_checks(&mut self, out: &mut dyn Actions) {
        if !self.deployment.may_probe {
            return;
        }
        let now = out.now();
        let calm = self.tightest_bound.clamp(PROBE_EVERY / 5, PROBE_EVERY);
        let mut due: Vec<usize> =
            (0..self.hosts.len()).filter(|i| self.hosts[*i].next_health_check <= now).collect();
        // First the one that the list names, then the longest due: where few are paid for, each has its turn.
        let named = |i: usize| self.host_groups[&self.hosts[i].shard].listed_primary == Some(i);
        due.sort_by_key(|i| (!named(*i), self.hosts[*i].next_health_check));
        for i in due {
            let group = self.host_groups.get_mut(&self.hosts[i].shard).expect("known shard");
            let node = &self.hosts[i];
            if node.health_check_sent.is_some()
                || !node.connection_slots.has_free(now)
                || node.draining_since.is_some() && node.concurrency.in_flight == Duration::ZERO
            {
                continue;
            }
            let parting = group.primary.is_none_or(|p| self.hosts[p].draining_since.is_some());
            // Named by the list, but last heard as a replica: until it leads nothing else would ask it.
            let denied = node.role == Some(Role::Replica);
            let suspect = group.primary == Some(i) && (group.state == GroupState::Unhealthy || denied);
            let hurried = group.state == GroupState::Failover || suspect || parting || node.unresponsive;
            let period = if hurried { PROBE_EVERY / 4 } else { calm };
            // Replicas prove themselves as commands need it, and a primary by its answers: it is asked if
            // they stay out. Without commands nobody need know.
            let silent =
                node.awaiting_since > node.last_sign_of_life && now - node.awaiting_since >= PROBE_EVERY / 2;
            let needed = group.state == GroupState::Failover
                || group.primary.is_none()
                || group.primary == Some(i) && (suspect || silent);
            if self.refresh_on_demand && (!needed || group.recent_commands.value(now, PROBE_IDLE) < ASKED) {
                continue;
            }
            let node = &mut self.hosts[i];
            // An answer that carried a report is as good as a probe.
            if !hurried && now - node.lag_reported_at < period && now - node.last_sign_of_life < period {
                node.next_health_check = now + period;
                continue;
            }
            if group.health_check_budget < 1.0 && now < node.next_health_check + PROBE_IDLE {
                continue;
            }
            group.health_check_budget = (group.health_check_budget - 1.0).max(0.0);
            node.next_health_check = now + period;
            self.send_health_check(i, out);
        }
    }

    /// Gives a command up when its time has run out; sends a second copy when its attempt is at a host that
    /// fails, or that is slow beside the others: where all are slow, copies of whatever was late fed the
    /// overload.
    fn review_command(&mut self, id: CommandId, out: &mut dyn Actions) {
        let now = out.now();
        let Some(command) = self.commands.get(&id).filter(|c| !c.finished) else { return };
        let kind = &self.deployment.groups[command.group];
        if now + self.tick >= command.deadline {
            return self.reject(id, RejectionReason::DeadlineExceeded, out);
        }
        let Some(one) = command.in_flight().next() else {
            // In line: a command that could only be late is given up while a retry can still be of use.
            let in_hand = match command.attempts.is_empty() {
                true => kind.latency_objective / 2,
                false if kind.idempotency == Idempotency::Keyed => kind.timeout,
                false => kind.latency_objective,
            };
            let usual = self.service_times[command.group].quantile(0.8).unwrap_or(kind.latency_objective / 4);
            if command.submitted_at + in_hand < now + usual {
                self.reject(id, RejectionReason::QueuedTooLong, out);
            }
            return;
        };
        if command.queued || command.in_flight().nth(1).is_some() {
            return;
        }
        let (node, group) = (&self.hosts[one.host], &self.host_groups[&command.shard]);
        // A mutating write left with a lost primary may have run: it is failed.
        let left = group.state == GroupState::Failover && group.primary == Some(one.host);
        if left
            && kind.idempotency == Idempotency::NonIdempotent
            && (node.unresponsive || node.is_unreachable())
        {
            return self.reject(id, RejectionReason::PrimaryLost, out);
        }
        let hedged = kind.idempotency == Idempotency::Idempotent
            && (node.unresponsive
                || node.is_unreachable()
                || node.relative_latency.slowness() > SLOW && now - one.sent_at > kind.latency_objective / 2)
            && self.retry_budget > FURTHER_SAVED / 2.0
            && self.queues.iter().all(Vec::is_empty)
            && now < command.submitted_at + kind.latency_objective;
        if hedged && let Selection::Host(i) = self.select_host(id, now) {
            self.send(id, i, out);
        }
    }
}

impl HostState {
    fn expect_answer(&mut self, now: Timestamp) {
        self.awaiting_since =
            if self.awaiting_since <= self.last_sign_of_life { now } else { self.awaiting_since };
    }

    fn is_admissible(&self, now: Timestamp) -> bool {
        now >= self.ejected_until
    }

    /// Whether nothing has reached it for a while. One failure is no proof: the host may lack a connection
    /// to spare, or be hard to reach from here alone, and serve all the same.
    fn is_unreachable(&self) -> bool {
        self.consecutive_failures >= LOST_AFTER
    }

    fn record_failure(&mut self, now: Timestamp, connect_timeout: Duration) {
        self.consecutive_failures += 1;
        if self.is_unreachable() {
            // Twice as long each time: hundreds of routers try what has gone.
            let wait = connect_timeout * (1 << (self.consecutive_failures - LOST_AFTER).min(16));
            self.ejected_until = now + wait.min(SILENCE);
        }
    }

    /// It runs, and has no place for one more connection.
    fn connection_rejected(&mut self, hash_seed: u64, connect: Duration, now: Timestamp) {
        self.record_sign_of_life(now);
        self.connection_slots.connection_rejected(hash_seed, self.host.number(), connect, now);
    }

    fn record_sign_of_life(&mut self, now: Timestamp) {
        (self.last_sign_of_life, self.consecutive_failures) = (now, 0);
        if !self.unresponsive {
            self.ejected_until = self.ejected_until.min(now);
        }
    }
}

impl Handle {
    /// The client went away, or was told that time is up: nothing is owed any more.
    pub fn client_disconnected(self, router: &mut Router, out: &mut dyn Actions) {
        if let Some(command) = router.commands.get_mut(&self.0) {
            command.finished = true;
            router.cancel_attempts(self.0, out);
        }
    }

    /// Whether a attempt that was held up on its way may still go: what the rules ask for counts as it is
    /// written. While its connection came up, its command may have been given up, its host told to drain, its
    /// repeat be forgotten there, or the data have become too old.
    pub fn may_still_send(self, router: &Router, nth: u16, now: Timestamp) -> bool {
        let Some(command) = router.commands.get(&self.0).filter(|c| !c.finished && now < c.deadline) else {
            return false;
        };
        let (nth, kind) = (usize::from(nth), &router.deployment.groups[command.group]);
        let Some(attempt) = command.attempts.get(nth).filter(|d| d.outcome.is_none()) else { return false };
        let (i, need) = (attempt.host, kind.consistency);
        let aged = matches!(need, Consistency::BoundedStaleness(_))
            && !router.is_fresh(i, need, Timestamp::ZERO, now);
        let primary = router.host_groups[&command.shard].primary == Some(i);
        let checked = primary || router.deployment.staleness_check != StalenessCheck::Off;
        (!aged || checked)
            && !router.past_drain_grace(i, now)
            && router.may_send_beside(command, nth, kind, i, now)
    }

    /// An attempt ended.
    pub fn attempt_ended(self, router: &mut Router, end: AttemptEnd, out: &mut dyn Actions) {
        let AttemptEnd { attempt, outcome: ending, command_finished, note, report } = end;
        let now = out.now();
        let Some(command) = router.commands.get_mut(&self.0) else { return };
        let open = command.attempts.get_mut(usize::from(attempt)).filter(|d| d.outcome.is_none());
        let Some(attempt) = open else { return };
        attempt.outcome = Some(ending);
        let (attempt, i) = (*attempt, attempt.host);
        let (kind, shard, session) = (command.group, command.shard, command.session);
        command.finished |= command_finished;
        router.record_outcome(attempt, kind, ending, now);
        if matches!(
            ending,
            AttemptOutcome::ConnectionReset | AttemptOutcome::TimedOut | AttemptOutcome::ConnectionFailed
        ) || router.hosts[i].unresponsive
        {
            router.mark_unhealthy(i, now);
            let group = router.host_groups.get_mut(&shard).expect("known shard");
            group.lost_since_fault += u32::from(attempt.in_flight_at_fault);
        }
        if ending == AttemptOutcome::Answered && !router.deployment.session_tokens_carried {
            router.session_commits.tell(session, note.position.unwrap_or_default());
        }
        let need = router.deployment.groups[kind].consistency;
        if note.role == Some(Role::Primary) {
            // It stood at the present when it answered, so at the least at the moment of the send.
            let stood = note
                .position
                .map_or(attempt.sent_at, |p| (p - Duration::from_millis(1)).max(attempt.sent_at));
            router.hosts[i].position = router.hosts[i].position.max(stood);
        }
        let answered = matches!(
            ending,
            AttemptOutcome::Answered
                | AttemptOutcome::Error
                | AttemptOutcome::Overloaded
                | AttemptOutcome::NotPrimary
        );
        router.apply_report(i, report, answered.then_some(note), out);
        if ending == AttemptOutcome::NotPrimary
            && need == Consistency::Write
            && router.host_groups[&shard].primary == Some(i)
        {
            router.fail_over(shard, out);
        }
        let Some(command) = router.commands.get(&self.0) else { return };
        if command.finished {
            router.cancel_attempts(self.0, out);
        } else if command.in_flight().next().is_none() && !command.queued {
            let may_repeat = router.may_attempt(command, &router.deployment.groups[kind], i, now);
            // Errors spread over all hosts are the commands' fault: what erred here would err at the next.
            let own_fault = ending == AttemptOutcome::Error && router.error_rate > ERRORS_RARE;
            let on = may_repeat && !own_fault && now + router.tick < command.deadline;
            if on {
                router.schedule(self.0, out)
            } else {
                router.reject(self.0, RejectionReason::NotRetryable, out)
            }
        }
        router.drain_queues(out);
    }
}
