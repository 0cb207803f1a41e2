//! The decision module: every decision of the router is made in this file.
//!
//! A caller makes a [`Router`], tells it of the list, of probes and of the passing time, and gives it
//! commands with [`Router::take`]. What happens to one later is a call on the [`Handle`] that this returns.
//! The interface stands in `lib.rs`, the mechanism in `docs/design.md`; "Beyond the design" marks departures.

#![allow(clippy::too_many_arguments)]

use crate::{
    Actions, AttemptOutcome, CommandGroup, CommandId, Consistency, Deployment, Host, Idempotency, Lifecycle,
    StalenessCheck,
};
use crate::{AttemptEnd, CommandRequest, Endpoint, EndpointUpdate};
use crate::{
    DeduplicationScope, HostReport, RejectionReason, Role, Shard, SlowStart, chance::Chance,
    commits::Commits, histogram::Histogram,
};
use crate::{command::Command, command::Dispatch, node::Node, time::Duration, time::Timestamp};
use comethitch_fleet::subset::{self, Candidate, Member};
use comethitch_fleet::{leak::Leak, proof, room::Room, share};
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
/// Further dispatches that each first one pays for, and how many may be saved up.
const FURTHER_SHARE: f64 = 0.2;
const FURTHER_SAVED: f64 = 16.0;
/// Up to this share of errors a command that met one is tried elsewhere.
const ERRORS_RARE: f64 = 1.0 / 8.0;
/// Dispatches called off or timed out late, without one answer since they were sent, that make a host mute.
const MUTE_AFTER: u32 = 2;
/// Failures in a row, of connections, dispatches and probes, that make a host one that can't be reached.
const LOST_AFTER: u32 = 3;
/// From this many times the usual answer time on a host counts as slow beside the others.
const SLOW: f64 = 2.0;
/// How often a mute host is tried with a command.
const TRIED_EVERY: Duration = Duration::from_micros(SILENCE.as_micros() / 4);
/// The part of a bound up to which a replica that checks reads itself is tried.
const LAG_SHARE: f64 = 0.75;
/// The part of a bound kept as a margin where only positions guard a read.
const MARGIN: u64 = 32;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Healthy,
    Unhealthy,
    Failover,
}

/// One group of hosts: a primary and its replicas.
#[derive(Default)]
struct Group {
    primary: Option<usize>,
    listed: Option<usize>,
    serial: u32,
    state: State,
    since: Timestamp,
    /// Dispatches out to the primary as the group became Unhealthy, and how many of them were lost.
    noted: u32,
    lost: u32,
    /// Probes that the group's commands have paid for.
    probes_saved: f64,
    /// Commands taken lately: they leak away over [`PROBE_IDLE`].
    asked: Leak,
    rooms: Vec<Room>,
    nodes: Vec<usize>,
}

/// Where a command can go now.
enum Way {
    To(usize),
    Wait,
    Refused,
}

/// A taken command. All that happens to it after it was taken is a call on this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handle(CommandId);

pub struct Router {
    pub deployment: Deployment,
    chance: Chance,
    salt: u64,
    beat: Duration,
    groups: BTreeMap<Shard, Group>,
    pub(crate) nodes: Vec<Node>,
    free: Vec<usize>,
    by_host: BTreeMap<Host, usize>,
    commands: BTreeMap<CommandId, Command>,
    /// Commands that wait for room: first dispatches, and behind them further ones.
    lines: [Vec<CommandId>; 2],
    further_saved: f64,
    /// The share of errors among the last answers, of all hosts together.
    errors: f64,
    /// Answer times by command group.
    took: Vec<Histogram>,
    /// How old a primary's report of its position is: pure age, since a primary stands at the present.
    report_age: Histogram,
    /// The latest commit that each session was told of, where this router has to remember.
    commits: Commits,
    /// The shortest response target, the longest, and the tightest bound on the age of data.
    target: Duration,
    longest: Duration,
    tightest: Duration,
    /// Whether positions alone guard reads, and bounds alone ask for them: they are proven just in time.
    just_in_time: bool,
}

impl Router {
    pub fn start(deployment: Deployment, seed: u64, out: &mut dyn Actions) -> Router {
        let target = deployment.shortest_latency_objective().unwrap_or(PROBE_EVERY);
        let beat = deployment.tick.max(target / 16);
        let tightest = deployment.tightest_staleness_bound().unwrap_or(PROBE_EVERY);
        if deployment.must_watch_endpoints {
            out.watch_endpoints();
        }
        out.wake_after(beat);
        Router {
            chance: Chance::new(seed),
            salt: seed,
            beat,
            groups: BTreeMap::new(),
            nodes: Vec::new(),
            by_host: BTreeMap::new(),
            commands: BTreeMap::new(),
            lines: Default::default(),
            further_saved: FURTHER_SAVED,
            errors: 0.0,
            took: deployment.groups.iter().map(|g| Histogram::new(g.latency_objective / 64, 256)).collect(),
            report_age: Histogram::new(deployment.tick, 256),
            commits: Commits::default(),
            target,
            longest: deployment.groups.iter().map(|g| g.latency_objective).max().unwrap_or(target),
            tightest,
            just_in_time: deployment.staleness_check == StalenessCheck::Off
                && !deployment.serves(Consistency::Session),
            free: Vec::new(),
            deployment,
        }
    }

    /// The handle of a command that was taken and still has something out or owed.
    pub fn handle(&self, id: CommandId) -> Option<Handle> {
        self.commands.contains_key(&id).then_some(Handle(id))
    }

    /// Takes in a change of the endpoint list.
    pub fn update_endpoints(&mut self, update: &EndpointUpdate, out: &mut dyn Actions) {
        self.nodes.iter_mut().for_each(|node| node.gone |= update.complete);
        for endpoint in &update.endpoints {
            self.update_endpoint(endpoint, out);
        }
        self.endpoints_updated(out);
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, out: &mut dyn Actions) {
        let Endpoint { host, zone, shard, lifecycle, is_primary, capacity, started } = *endpoint;
        let now = out.now();
        let known = self.by_host.contains_key(&host);
        let i = self.node_of(host, shard, now);
        let node = &mut self.nodes[i];
        (node.zone, node.power, node.gone) = (zone, capacity.max(1e-9), lifecycle == Lifecycle::Removed);
        let drains = (lifecycle == Lifecycle::Draining).then_some(now);
        node.leaving = node.leaving.filter(|_| lifecycle != Lifecycle::Ready).or(drains);
        // A process that started anew holds no role and none of what was sent to it.
        let restarted = known && started > node.started && node.heard < started.unwrap_or_default();
        node.started = node.started.max(started);
        let Some(group) = self.groups.get_mut(&shard) else { return };
        let renamed = is_primary && group.listed != Some(i);
        node.probe_next = if renamed { now } else { node.probe_next };
        if is_primary {
            group.listed = Some(i);
            group.primary = group.primary.or(group.listed.filter(|_| group.serial == 0));
        }
        let lost = group.primary.is_some_and(|p| match p == i {
            true => restarted || lifecycle == Lifecycle::Removed,
            // The list is seconds late: a primary that has just answered as one outweighs it.
            false => renamed && now - self.nodes[p].led > PROBE_EVERY,
        });
        if lost {
            self.fail_over(shard, out);
        }
    }

    fn endpoints_updated(&mut self, out: &mut dyn Actions) {
        let told = Some(out.now()).filter(|_| !self.deployment.removal_is_advisory);
        self.nodes.iter_mut().filter(|node| node.gone).for_each(|node| node.leaving = node.leaving.or(told));
        self.forget_gone(out.now());
        // Until something was heard from a host, all routers together put no more there than the longest
        // target's work: one that comes into many subsets is else filled for seconds before any is late.
        for i in (0..self.nodes.len()).filter(|i| self.nodes[*i].heard == Timestamp::ZERO).collect::<Vec<_>>()
        {
            self.nodes[i].room.limit = self.longest.scaled(1.0 / self.sharers(i, out.now()));
        }
        self.probe_due(out);
        self.serve_lines(out);
    }

    /// The endpoint list could not be had.
    pub fn endpoints_unavailable(&mut self, out: &mut dyn Actions) {
        if self.deployment.must_watch_endpoints {
            out.watch_endpoints();
        }
    }

    fn node_of(&mut self, host: Host, shard: Shard, now: Timestamp) -> usize {
        if let Some(&i) = self.by_host.get(&host) {
            return i;
        }
        let i = self.free.pop().unwrap_or(self.nodes.len());
        self.by_host.insert(host, i);
        self.nodes.resize_with(self.nodes.len().max(i + 1), Node::default);
        self.nodes[i] = Node {
            host,
            shard,
            alive: now,
            probe_next: now,
            pace: Histogram::new(Duration::from_micros(250), 64),
            ..Node::default()
        };
        let group = self.groups.entry(shard).or_default();
        group.nodes.push(i);
        group.rooms.resize(self.deployment.groups.len(), Room::default());
        group.probes_saved += 1.0;
        i
    }

    /// Forgets hosts that have long been gone, once no command, probe or group has to do with them.
    fn forget_gone(&mut self, now: Timestamp) {
        let used: Vec<usize> = self.commands.values().flat_map(|c| &c.dispatches).map(|d| d.node).collect();
        let long = |n: &Node| n.gone && n.leaving.is_some_and(|told| now - told > PROBE_IDLE);
        for (i, node) in self.nodes.iter().enumerate().filter(|(_, n)| long(n)) {
            let group = self.groups.get_mut(&node.shard).expect("known shard");
            let named = group.primary == Some(i) || group.listed == Some(i) || used.contains(&i);
            if !named && node.probe_sent.is_none() && self.by_host.get(&node.host) == Some(&i) {
                self.by_host.remove(&node.host);
                group.nodes.retain(|other| *other != i);
                self.free.push(i);
            }
        }
    }

    /// Accepts a command. What happens to it later is a call on the handle.
    pub fn submit(&mut self, request: CommandRequest, out: &mut dyn Actions) -> Handle {
        let CommandRequest { id, group, shard, session, since_write, timeout } = request;
        let now = out.now();
        let must_see = match self.deployment.session_tokens_carried {
            true => since_write.map_or(Timestamp::ZERO, |since| now - since),
            false => self.commits.of(session),
        };
        let expiry = now + timeout;
        let command = Command { group, shard, session, must_see, taken: now, expiry, ..Command::default() };
        self.commands.insert(id, command);
        self.further_saved = (self.further_saved + FURTHER_SHARE).min(FURTHER_SAVED);
        if let Some(group) = self.groups.get_mut(&shard) {
            let most = group.nodes.len() as f64 * 2.0;
            // Where proofs are asked for besides, a quarter is left for the rest.
            let points = PROBE_POINTS * if self.just_in_time { 0.25 } else { 1.0 };
            group.probes_saved = (group.probes_saved + points / self.deployment.probe_price).min(most);
            group.asked.add(1.0, now, PROBE_IDLE);
        }
        self.prove(shard, group, must_see, out);
        self.place(id, out);
        Handle(id)
    }

    fn place(&mut self, id: CommandId, out: &mut dyn Actions) {
        let Some(command) = self.commands.get(&id) else { return };
        let (first, ends) = (command.dispatches.is_empty(), command.expiry);
        match self.way(id, out.now()) {
            Way::To(i) if first || self.further_saved >= 1.0 => self.send(id, i, out),
            Way::Refused => self.give_up(id, RejectionReason::NoPrimary, out),
            // Too short a time to wait in line: the next look at it could come after its client timeout.
            _ if ends <= out.now() + self.beat * 2 => {
                self.give_up(id, RejectionReason::DeadlineTooClose, out)
            }
            _ => {
                let command = self.commands.get_mut(&id).expect("looked up above");
                if !std::mem::replace(&mut command.waiting, true) {
                    let (line, worth) = (usize::from(!first), self.worth(id));
                    // The newest of equal worth first: in overload the oldest could only be late.
                    let at = self.lines[line].partition_point(|other| self.worth(*other) > worth);
                    self.lines[line].insert(at, id);
                }
            }
        }
    }

    /// Benefit for the work: what is served first, and given up last.
    fn worth(&self, id: CommandId) -> f64 {
        let Some(command) = self.commands.get(&id) else { return 0.0 };
        self.deployment.groups[command.group].priority_weight
            / self.work(command.group).as_micros().max(1) as f64
    }

    fn serve_lines(&mut self, out: &mut dyn Actions) {
        for further in 0..2 {
            let line = std::mem::take(&mut self.lines[further]);
            let mut stuck: Vec<(usize, Shard)> = Vec::new();
            let mut left = Vec::with_capacity(line.len());
            for id in line {
                let Some(command) = self.commands.get(&id).filter(|c| c.waiting && !c.done) else { continue };
                let (kind, must_see) = ((command.group, command.shard), command.must_see);
                let barred = stuck.contains(&kind) || (further == 1 && self.further_saved < 1.0);
                match if barred { Way::Wait } else { self.way(id, out.now()) } {
                    Way::To(i) => self.send(id, i, out),
                    Way::Refused => self.give_up(id, RejectionReason::NoPrimary, out),
                    Way::Wait => {
                        if !barred {
                            self.prove(kind.1, kind.0, must_see, out);
                        }
                        stuck.extend((!barred).then_some(kind));
                        left.push(id);
                    }
                }
            }
            left.append(&mut self.lines[further]);
            self.lines[further] = left;
        }
    }

    fn send(&mut self, id: CommandId, i: usize, out: &mut dyn Actions) {
        let now = out.now();
        let group = self.commands[&id].group;
        let (work, heft) = (self.work(group), self.heft(group));
        let command = self.commands.get_mut(&id).expect("a taken command");
        let time_out = command.expiry - now;
        if !command.dispatches.is_empty() {
            self.further_saved -= 1.0;
        }
        command.waiting = false;
        command.dispatches.push(Dispatch { node: i, sent: now, ended: None, noted: false, work });
        let node = &mut self.nodes[i];
        node.room.load += work;
        self.groups.get_mut(&node.shard).expect("known shard").rooms[group].load += work;
        node.sent.add(heft, now, self.deployment.slow_start.window);
        node.spent.add(heft, self.salt, now, self.deployment.slow_start.window);
        node.ask(now);
        node.slots.sent(now);
        if node.mute {
            node.shunned = now + TRIED_EVERY;
        }
        out.send_attempt(id, node.host, time_out);
    }

    fn give_up(&mut self, id: CommandId, reason: RejectionReason, out: &mut dyn Actions) {
        let Some(command) = self.commands.get_mut(&id).filter(|c| !c.done) else { return };
        command.done = true;
        let group = &self.deployment.groups[command.group];
        let harmless = group.idempotency == Idempotency::Idempotent
            || command.maybe_ran().next().is_none()
            || (group.idempotency == Idempotency::Keyed
                && group.deduplication_scope == DeduplicationScope::Everywhere);
        if harmless {
            // Back within the target if this was a lack of room: retries count with the first try.
            let failing = self.groups.get(&command.shard).is_some_and(|g| g.state != State::Healthy);
            let leaderless = failing && matches!(group.consistency, Consistency::Write | Consistency::Strong);
            let after = if leaderless { PROBE_EVERY } else { group.latency_objective / 8 };
            let retry_after = self.deployment.max_retry_after.map(|longest| after.min(longest));
            out.throttle(id, retry_after, reason);
        } else {
            out.fail(id, reason);
        }
        self.call_off(id, out);
    }

    /// Withdraws what is still out of a finished command, and forgets it once nothing is.
    fn call_off(&mut self, id: CommandId, out: &mut dyn Actions) {
        let Some(command) = self.commands.get(&id) else { return };
        let may_cancel = self.deployment.may_cancel;
        let open = command.dispatches.iter().enumerate().filter(|(_, d)| may_cancel && d.ended.is_none());
        open.for_each(|(nth, _)| out.cancel_attempt(id, nth as u16));
        if command.out().next().is_none() {
            self.commands.remove(&id);
        }
    }

    fn way(&mut self, id: CommandId, now: Timestamp) -> Way {
        let command = &self.commands[&id];
        let Some(group) = self.groups.get(&command.shard) else { return Way::Wait };
        let kind = &self.deployment.groups[command.group];
        if matches!(kind.consistency, Consistency::Write | Consistency::Strong) {
            let may_have_run = command.maybe_ran().next().is_some();
            return match group.primary {
                // A fresh router that the list names no primary to probes first.
                None if group.serial == 0 => Way::Wait,
                Some(p) if self.serves(p, group, now) => {
                    let now =
                        self.has_room(p, 1.0, command.group, now) && self.may_send(command, kind, p, now);
                    if now { Way::To(p) } else { Way::Wait }
                }
                // Beyond the design: a keyed command that may have run waits for the next primary while its
                // repeat is still dropped; a throttle is forbidden and a failure would lose it.
                _ if may_have_run && kind.idempotency != Idempotency::NonIdempotent => Way::Wait,
                _ => Way::Refused,
            };
        }
        let open = |i: usize, reach: f64| {
            self.usable(i, now)
                && self.has_room(i, reach, command.group, now)
                && self.may_send(command, kind, i, now)
        };
        let tried = |i: usize| command.dispatches.iter().any(|d| d.node == i);
        let subset = self.subset(command.shard, now);
        let free = subset.iter().filter(|m| !tried(m.at) && open(m.at, m.reach));
        let replicas: Vec<usize> = free.map(|m| m.at).collect();
        let fresh = |i: usize, need| self.fresh_enough(i, need, command.must_see, now);
        let drawn: Vec<usize> = replicas.iter().copied().filter(|i| fresh(*i, kind.consistency)).collect();
        // Beyond the design: a read of any age spares fresh replicas and goes to the one furthest behind. As
        // long ones hold a log up, where none is behind all routers agree on the largest of lowest id.
        if kind.consistency == Consistency::Eventual {
            let order = |i: usize| {
                let (node, fresh) = (&self.nodes[i], fresh(i, Consistency::BoundedStaleness(self.tightest)));
                let behind = if fresh { Timestamp::ZERO } else { node.position };
                (fresh, behind, u64::MAX - node.power.to_bits(), node.host, i)
            };
            let first = drawn.iter().map(|i| order(*i)).min();
            if let Some((.., i)) = first.filter(|first| !first.0 || self.long(command.group)) {
                return Way::To(i);
            }
        }
        // Beyond the design: not the freshest where it would surely turn the read away.
        let checks = |i: &usize| {
            let behind = matches!(kind.consistency, Consistency::BoundedStaleness(bound) if self.nodes[*i].lag > bound);
            self.deployment.staleness_check != StalenessCheck::Off && !behind
        };
        let freshest =
            || replicas.iter().copied().rev().max_by_key(|i| self.nodes[*i].position).filter(checks);
        // No replica will do: the primary, whose own commands keep a quarter of its room. With room for less
        // than one it takes none: many routers' single reads would crowd it. A session's read, which may have
        // no other host, it takes as often as that room holds of one.
        let spare = |p: &usize| {
            let node = &self.nodes[*p];
            let calm = group.state != State::Failover && node.role != Some(Role::Replica);
            let turn = share::turn(self.salt, node.host.number(), now, self.target / 2);
            let (own, work) = (
                kind.consistency == Consistency::Session && node.room.load == Duration::ZERO,
                self.work(command.group),
            );
            let work = if own { work.scaled(turn) } else { work };
            calm && open(*p, 1.0) && node.room.load + work <= node.room.limit.scaled(0.75)
        };
        // A proof that is on its way is waited for: the primary could not bear what falls to it meanwhile.
        let coming = self.just_in_time && replicas.iter().any(|i| self.nodes[*i].probe_sent.is_some());
        let spared = || group.primary.filter(|p| !coming && spare(p));
        let other = if drawn.is_empty() { freshest().or_else(spared) } else { None };
        // The draw is even among equals: a host's part is its power, less what it lacks of warmth and pace,
        // and of room for what waits there and what this router has out there.
        let work = self.work(command.group);
        let part = |i: usize| {
            let (node, drawn) = (&self.nodes[i], subset.iter().find(|m| m.at == i).map_or(0.0, |m| m.draw));
            let crowd = (1.0 + node.queue) * (1.0 + node.room.load.ratio(work));
            drawn / crowd.powi(2) / node.pace.slowness()
        };
        let weights: Vec<f64> = drawn.iter().map(|i| part(*i)).collect();
        let one = self.chance.pick(&weights).map(|nth| drawn[nth]);
        one.or(other).map_or(Way::Wait, Way::To)
    }

    /// Whether the believed primary may get what only it can do.
    fn serves(&self, p: usize, group: &Group, now: Timestamp) -> bool {
        let node = &self.nodes[p];
        match group.state {
            _ if self.parted(p, now) => false,
            State::Healthy => node.role != Some(Role::Replica),
            // Beyond the design: a host that answers probes and no commands is tried with one now and then.
            State::Unhealthy => node.well(now) && !node.lost() || self.kept(group, now),
            State::Failover => false,
        }
    }

    /// Beyond the design: whether the group keeps a primary that this router can't reach. Without one no
    /// member's data move on; with one, it is tried on, as no other could do its work.
    fn kept(&self, group: &Group, now: Timestamp) -> bool {
        let others = group.nodes.iter().filter(|i| group.primary != Some(**i));
        let moving = others.map(|i| &self.nodes[*i]).any(|node| now - node.position < SILENCE);
        moving && group.primary.is_some_and(|p| !self.nodes[p].mute)
    }

    fn parted(&self, i: usize, now: Timestamp) -> bool {
        self.nodes[i].leaving.is_some_and(|told| now - told > self.deployment.drain_grace / 2)
    }

    fn usable(&self, i: usize, now: Timestamp) -> bool {
        self.nodes[i].leaving.is_none() && self.nodes[i].well(now) && self.nodes[i].slots.open(now)
    }

    /// Whether the rules allow this command one more dispatch, to this host.
    fn may_send(&self, command: &Command, kind: &CommandGroup, i: usize, now: Timestamp) -> bool {
        // A repeat must arrive while the first is remembered: the way there may take a connection.
        let arrival = now + self.deployment.connect_timeout;
        let nth = command.dispatches.len();
        nth == 0 || nth < self.deployment.max_attempts && self.may_repeat(command, nth, kind, i, arrival)
    }

    /// Whether the `nth` dispatch may be written to this host at that moment beside what was sent before it.
    fn may_repeat(
        &self, command: &Command, nth: usize, kind: &CommandGroup, i: usize, at: Timestamp,
    ) -> bool {
        let before = &command.dispatches[..nth];
        if !self.deployment.hedging_allowed && before.iter().any(|d| d.ended.is_none()) {
            return false;
        }
        let node = &self.nodes[i];
        let mut maybe_ran = before.iter().filter(|d| d.maybe_ran());
        match kind.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => maybe_ran.next().is_none(),
            Idempotency::Keyed => maybe_ran.all(|ran| {
                let same = match kind.deduplication_scope {
                    DeduplicationScope::Everywhere => true,
                    DeduplicationScope::Zone => self.nodes[ran.node].zone == node.zone,
                    DeduplicationScope::Shard => self.nodes[ran.node].shard == node.shard,
                };
                same && at + self.beat < ran.sent + kind.deduplication_window
            }),
        }
    }

    fn fresh_enough(&self, i: usize, need: Consistency, must_see: Timestamp, now: Timestamp) -> bool {
        let node = &self.nodes[i];
        match need {
            Consistency::Eventual => true,
            Consistency::Session => node.position >= must_see,
            // Beyond the design: where replicas check, a position counts as having kept pace since then.
            Consistency::BoundedStaleness(bound)
                if self.deployment.staleness_check != StalenessCheck::Off =>
            {
                node.lag <= bound.scaled(LAG_SHARE) && now - node.lag_told <= PROBE_EVERY * 2
            }
            Consistency::BoundedStaleness(bound) => now - node.position <= bound - bound / MARGIN,
            Consistency::Write | Consistency::Strong => false,
        }
    }

    /// The share of a host's power that it surely has by now, if it started lately.
    fn warmth(&self, i: usize, now: Timestamp) -> f64 {
        self.deployment.slow_start.warmth(self.nodes[i].started, now)
    }

    /// Beyond the design: the replicas that this router uses, few enough to know them well.
    fn subset(&self, shard: Shard, now: Timestamp) -> Vec<Member> {
        let group = &self.groups[&shard];
        // One that was just told to be too far behind gives way too, until it is time to ask again.
        let behind = |node: &Node| now - node.lag_told < SILENCE && node.lag > self.tightest;
        let apart = |i: usize| {
            group.primary == Some(i) || !self.usable(i, now) || self.just_in_time && behind(&self.nodes[i])
        };
        let candidate = |at: usize| {
            let Node { host, power, .. } = self.nodes[at];
            Candidate { at, key: host.number(), weight: power * self.warmth(at, now) }
        };
        let all = group.nodes.iter().copied().filter(|i| !apart(*i)).map(candidate);
        subset::draw(self.salt, now, self.deployment.slow_start.warmup * 8, self.size(group, now), all)
    }

    fn size(&self, group: &Group, now: Timestamp) -> usize {
        let lasts = proof::lasts(self.tightest, PROBE_AGAIN);
        subset::size(group.asked.each(now, PROBE_IDLE) * lasts.ratio(PROBE_IDLE))
    }

    /// How many routers use a host: all a primary, of other hosts the part that has it in its subset.
    fn sharers(&self, i: usize, now: Timestamp) -> f64 {
        let group = &self.groups[&self.nodes[i].shard];
        let size = self.size(group, now) as f64;
        let reach = if group.primary == Some(i) { 1.0 } else { size / group.nodes.len().max(1) as f64 };
        share::sharers(self.deployment.slow_start.routers, reach.min(1.0))
    }

    /// Asks for what a read needs: the proofs of its subset that run out before the next could come, or are
    /// older than what its session has written.
    fn prove(&mut self, shard: Shard, group: usize, must_see: Timestamp, out: &mut dyn Actions) {
        let now = out.now();
        let lasts = |bound: Duration| proof::lasts(bound - bound / MARGIN, PROBE_AGAIN);
        // Where sessions are served besides, timers ask too, but few of them are paid for by a quiet router.
        let alone = self.deployment.staleness_check == StalenessCheck::Off && self.deployment.may_probe;
        let known = self.groups.get(&shard).filter(|_| alone);
        let proven = match (self.deployment.groups[group].consistency, known) {
            (Consistency::BoundedStaleness(bound), Some(_)) => now - lasts(bound),
            (Consistency::Session, Some(_)) if must_see > Timestamp::ZERO => must_see,
            // Whether the group keeps a primary in doubt shows in whether its other members move on.
            (Consistency::Write | Consistency::Strong, Some(known)) if known.state == State::Unhealthy => {
                now - lasts(SILENCE)
            }
            _ => return,
        };
        for Member { at, reach, .. } in self.subset(shard, now) {
            let node = &self.nodes[at];
            let asked = node.probe_sent.is_some() || now < node.prove_next;
            if node.position < proven && !asked && self.has_room(at, reach, group, now) {
                let lag = Some(node.lag).filter(|_| node.position > Timestamp::ZERO);
                self.nodes[at].prove_next = now + proof::wait(lag, PROBE_AGAIN);
                self.probe(at, out);
            }
        }
    }

    fn probe(&mut self, i: usize, out: &mut dyn Actions) {
        let node = &mut self.nodes[i];
        node.probe_sent = Some(out.now());
        node.ask(out.now());
        out.check_health(node.host);
    }

    /// Whether a host, which `reach` of all routers use, can take this work in time and is not pushed over.
    fn has_room(&self, i: usize, reach: f64, group: usize, now: Timestamp) -> bool {
        let node = &self.nodes[i];
        // Room is reckoned for the shortest target: a long command, with a target to match, finds more of it.
        let target = self.deployment.groups[group].latency_objective;
        let stretch = if self.long(group) { target.ratio(self.target) } else { 1.0 };
        let work = self.work(group);
        let turn = share::turn(self.salt, node.host.number(), now, self.target / 2);
        // One that nobody here has used comes in as the others fail: hundreds of routers turn to it at once.
        let new = self.just_in_time
            && node.heard == Timestamp::ZERO
            && self.groups[&node.shard].primary != Some(i)
            && self.groups[&node.shard].nodes.iter().any(|j| self.nodes[*j].heard > Timestamp::ZERO);
        let part =
            self.longest.scaled(1.0 / share::sharers(self.deployment.slow_start.routers, reach)).ratio(work);
        let fits = node.slots.open(now)
            && !(new && turn >= part)
            && node.room.holds(work, stretch, turn)
            && self.groups[&node.shard].rooms[group].holds(work, 1.0, 0.0);
        let warmth = self.warmth(i, now);
        if !fits || warmth >= 1.0 {
            return fits;
        }
        // A cold host gets no more than this router's part of what the ramp surely allows.
        let SlowStart { window: span, .. } = self.deployment.slow_start;
        let warm = (0..self.nodes.len()).filter(|j| self.usable(*j, now) && self.warmth(*j, now) >= 1.0);
        let carried = |j: usize| (self.nodes[j].sent.left(now, span), self.nodes[j].power);
        let (sent, power) = warm.map(carried).fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let peers = if power > 0.0 { sent / power * node.power } else { 0.0 };
        let budget = self.deployment.slow_start.budget(warmth, reach, peers, node.bore.left(now, span));
        node.spent.admits(self.heft(group), budget, self.salt, node.host.number(), now, span)
    }

    /// The work of a command group's usual command, as seen from here.
    fn work(&self, group: usize) -> Duration {
        self.took[group].quantile(0.3).unwrap_or(self.deployment.groups[group].latency_objective / 8)
    }

    /// What a cold host's budget is charged for a command: the long ones are what pushes it over.
    fn heft(&self, group: usize) -> f64 {
        (self.work(group) * 2).max(self.deployment.groups[group].latency_objective / 8).as_micros() as f64
    }

    /// Whether its commands take longer than short ones may, as its target allows and not for a queue.
    fn long(&self, group: usize) -> bool {
        self.usual(group).min(self.deployment.groups[group].latency_objective / 4) > self.target
    }

    fn usual(&self, group: usize) -> Duration {
        self.took[group].quantile(0.5).unwrap_or(self.deployment.groups[group].latency_objective / 4)
    }

    /// A health check ended; `told` is what the host reported.
    pub fn health_checked(
        &mut self, host: Host, ending: AttemptOutcome, told: HostReport, out: &mut dyn Actions,
    ) {
        let now = out.now();
        let Some(&i) = self.by_host.get(&host) else { return };
        let node = &mut self.nodes[i];
        let sent = node.probe_sent.take().unwrap_or(now);
        if ending == AttemptOutcome::NoConnectionSlot {
            node.turned_away(self.salt, self.deployment.connect_timeout, now);
        } else if matches!(
            ending,
            AttemptOutcome::Answered | AttemptOutcome::Error | AttemptOutcome::Overloaded
        ) {
            node.shows_life(now);
            // It runs but tells nothing: it has just started, is asked by too many, or only its probes fail.
            if told == HostReport::default() {
                let parts = if node.position == Timestamp::ZERO { 16 } else { 4 };
                node.probe_next = node.probe_next.min(now + PROBE_EVERY / parts);
            }
        } else if node.alive < sent {
            node.strike(now, self.deployment.connect_timeout);
        }
        self.learn(i, told, None, out);
        self.serve_lines(out);
    }

    fn weigh(&mut self, dispatch: Dispatch, kind: usize, ending: AttemptOutcome, now: Timestamp) {
        let Dispatch { node: i, sent, work, .. } = dispatch;
        let took = now - sent;
        let usual = self.usual(kind);
        let target = self.deployment.groups[kind].latency_objective;
        // Every router may hold this much at a host at once.
        let least = (target * 2).scaled(1.0 / self.sharers(i, now)).min(target / 2);
        if (ending.never_ran() || ending == AttemptOutcome::Error) && self.warmth(i, now) >= 1.0 {
            let heft = self.heft(kind);
            self.nodes[i].sent.take_back(heft);
        }
        let node = &mut self.nodes[i];
        node.slots.ended(sent, ending == AttemptOutcome::Answered);
        let mut late = None;
        match ending {
            AttemptOutcome::Answered
            | AttemptOutcome::NotPrimary
            | AttemptOutcome::Error
            | AttemptOutcome::Overloaded => {
                (node.heard, node.unheard, node.mute) = (now, 0, false);
                self.errors += (f64::from(u8::from(ending == AttemptOutcome::Error)) - self.errors) / 32.0;
                // Errors are the host's while they are rare; spread over all hosts they are the commands'.
                if ending == AttemptOutcome::Error && self.errors <= ERRORS_RARE {
                    node.strike(now, self.deployment.connect_timeout);
                } else {
                    node.shows_life(now);
                }
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                late = (took > target / 2).then_some(true);
                node.unheard += u32::from(node.heard <= sent && late.is_some());
                // Hangs, one-way links, hosts too slow to wait for, whatever their probes say.
                if node.unheard >= MUTE_AFTER && !node.mute {
                    (node.mute, node.shunned) = (true, node.shunned.max(now + TRIED_EVERY));
                }
            }
            AttemptOutcome::ConnectionFailed | AttemptOutcome::ConnectionReset => {
                node.strike(now, self.deployment.connect_timeout);
                node.probe_next = now;
            }
            AttemptOutcome::NoConnectionSlot => {
                node.turned_away(self.salt, self.deployment.connect_timeout, now)
            }
            AttemptOutcome::NotSent => {}
        }
        if ending == AttemptOutcome::Answered {
            node.bore.add(
                (work * 2).max(target / 8).as_micros() as f64,
                now,
                self.deployment.slow_start.window,
            );
            self.took[kind].add(took);
            node.pace.add(Duration::from_micros((took.ratio(usual) * 1000.0) as u64));
            late = Some(took > target / 2);
        }
        let group = self.groups.get_mut(&node.shard).expect("known shard");
        // Nor less than its commands need at their usual pace: some see many times what others do.
        let needs = work.scaled(group.asked.each(now, PROBE_IDLE) * work.ratio(PROBE_IDLE));
        let together = (least * group.nodes.len() as u64).max(needs);
        group.rooms[kind].ended(work, late, 0.0, together.max(work), target / 2, now);
        let full = ending == AttemptOutcome::Overloaded;
        let (late, together) =
            (late.or(full.then_some(true)), group.rooms[kind].lateness.max(f64::from(full)));
        node.room.ended(work, late, together, least, target / 2, now);
    }

    /// Takes in what a host's report, and the note of its answer, say.
    fn learn(&mut self, i: usize, told: HostReport, noted: Option<HostReport>, out: &mut dyn Actions) {
        let now = out.now();
        let node = &mut self.nodes[i];
        if let Some(position) = told.position {
            node.position = node.position.max(position);
            if told.role == Some(Role::Primary) {
                self.report_age.add(now - position);
            }
            let age = self.report_age.quantile(0.5).unwrap_or_default();
            (node.lag, node.lag_told) = ((now - position) - age, now);
            node.queue = told.queue.unwrap_or_default();
        }
        let (shard, position) = (node.shard, node.position);
        // A report may be older than an answer: one made before it last led does not unseat a primary.
        let told_role =
            told.role.filter(|r| *r == Role::Primary || told.position.is_none_or(|p| p > node.led));
        let Some(role) = noted.and_then(|n| n.role).or(told_role) else { return };
        node.role = Some(role);
        if role == Role::Primary {
            self.leads(i, position, noted.is_some(), out);
        } else if self.groups[&shard].primary == Some(i) {
            self.fail_over(shard, out);
        }
    }

    fn leads(&mut self, i: usize, position: Timestamp, to_command: bool, out: &mut dyn Actions) {
        let now = out.now();
        let (shard, mute) = (self.nodes[i].shard, self.nodes[i].mute);
        let group = &self.groups[&shard];
        let proven = if group.primary == Some(i) {
            match group.state {
                State::Healthy => true,
                State::Unhealthy => to_command || !mute,
                // Failover ends with evidence newer than it: a report made earlier tells of the time before.
                State::Failover => to_command || (position > group.since && !mute),
            }
        } else {
            // Two claim the role: the one whose data are newer took over.
            group.primary.is_none_or(|p| to_command || position > self.nodes[p].position)
        };
        if !proven {
            return;
        }
        if group.primary.is_some_and(|p| p != i) {
            self.fail_over(shard, out);
        }
        self.nodes[i].led = now;
        let group = self.groups.get_mut(&shard).expect("known shard");
        if group.state != State::Healthy || group.primary != Some(i) {
            (group.primary, group.state, group.since) = (Some(i), State::Healthy, now);
            self.serve_lines(out);
        }
    }

    /// Healthy to Unhealthy: something went wrong at the believed primary.
    fn doubt(&mut self, i: usize, now: Timestamp) {
        let shard = self.nodes[i].shard;
        let group = self.groups.get_mut(&shard).expect("known shard");
        if group.primary != Some(i) || group.state != State::Healthy {
            return;
        }
        (group.state, group.since, group.noted, group.lost) = (State::Unhealthy, now, 0, 0);
        for dispatch in self.commands.values_mut().flat_map(|c| &mut c.dispatches).filter(|d| d.node == i) {
            dispatch.noted = dispatch.ended.is_none();
            group.noted += u32::from(dispatch.noted);
        }
        self.nodes[i].probe_next = now;
    }

    /// To Failover: the serial goes up, the old primary's idle connections close, unsent writes are refused.
    fn fail_over(&mut self, shard: Shard, out: &mut dyn Actions) {
        let now = out.now();
        let Some(group) = self.groups.get_mut(&shard).filter(|g| g.state != State::Failover) else { return };
        (group.state, group.since) = (State::Failover, now);
        group.serial += 1;
        for &i in &group.nodes {
            self.nodes[i].probe_next = self.nodes[i].probe_next.min(now);
        }
        if let Some(p) = group.primary {
            out.close_idle_connections(self.nodes[p].host);
        }
        self.probe_due(out);
        self.serve_lines(out);
    }

    /// Looks at everything that depends on the time; to be called as [`Actions::wake_after`] asked.
    pub fn tick(&mut self, out: &mut dyn Actions) {
        out.wake_after(self.beat);
        for shard in self.groups.keys().copied().collect::<Vec<_>>() {
            self.watch(shard, out);
        }
        self.probe_due(out);
        for id in self.commands.keys().copied().collect::<Vec<_>>() {
            self.review(id, out);
        }
        self.serve_lines(out);
    }

    /// The router ends: what is still in hand gets its final answer now.
    pub fn shut_down(&mut self, out: &mut dyn Actions) {
        for id in self.commands.keys().copied().collect::<Vec<_>>() {
            self.give_up(id, RejectionReason::DeadlineExceeded, out);
        }
    }

    fn watch(&mut self, shard: Shard, out: &mut dyn Actions) {
        let now = out.now();
        let group = &self.groups[&shard];
        let Some(p) = group.primary else { return };
        let node = &self.nodes[p];
        let answers = !node.lost() && !node.mute;
        let lost = node.mute || f64::from(group.lost) >= LOST_SHARE * f64::from(group.noted);
        match group.state {
            State::Healthy if self.parted(p, now) => self.fail_over(shard, out),
            State::Healthy if node.asked > node.alive && now - node.asked > SILENCE => self.doubt(p, now),
            State::Unhealthy if answers || !lost || now - group.since <= STAGED || self.kept(group, now) => {}
            State::Unhealthy => self.fail_over(shard, out),
            _ => {}
        }
    }

    fn probe_due(&mut self, out: &mut dyn Actions) {
        if !self.deployment.may_probe {
            return;
        }
        let now = out.now();
        let calm = self.tightest.clamp(PROBE_EVERY / 5, PROBE_EVERY);
        let mut due: Vec<usize> =
            (0..self.nodes.len()).filter(|i| self.nodes[*i].probe_next <= now).collect();
        // First the one that the list names, then the longest due: where few are paid for, each has its turn.
        let named = |i: usize| self.groups[&self.nodes[i].shard].listed == Some(i);
        due.sort_by_key(|i| (!named(*i), self.nodes[*i].probe_next));
        for i in due {
            let group = self.groups.get_mut(&self.nodes[i].shard).expect("known shard");
            let node = &self.nodes[i];
            if node.probe_sent.is_some()
                || !node.slots.open(now)
                || node.leaving.is_some() && node.room.load == Duration::ZERO
            {
                continue;
            }
            let parting = group.primary.is_none_or(|p| self.nodes[p].leaving.is_some());
            // Named by the list, but last heard as a replica: until it leads nothing else would ask it.
            let denied = node.role == Some(Role::Replica);
            let suspect = group.primary == Some(i) && (group.state == State::Unhealthy || denied);
            let hurried = group.state == State::Failover || suspect || parting || node.mute;
            let period = if hurried { PROBE_EVERY / 4 } else { calm };
            // Replicas prove themselves as commands need it, and a primary by its answers: it is asked if
            // they stay out. Without commands nobody need know.
            let silent = node.asked > node.alive && now - node.asked >= PROBE_EVERY / 2;
            let needed = group.state == State::Failover
                || group.primary.is_none()
                || group.primary == Some(i) && (suspect || silent);
            if self.just_in_time && (!needed || group.asked.left(now, PROBE_IDLE) < ASKED) {
                continue;
            }
            let node = &mut self.nodes[i];
            // An answer that carried a report is as good as a probe.
            if !hurried && now - node.lag_told < period && now - node.alive < period {
                node.probe_next = now + period;
                continue;
            }
            if group.probes_saved < 1.0 && now < node.probe_next + PROBE_IDLE {
                continue;
            }
            group.probes_saved = (group.probes_saved - 1.0).max(0.0);
            node.probe_next = now + period;
            self.probe(i, out);
        }
    }

    /// Gives a command up when its time has run out; sends a second copy when its dispatch is at a host that
    /// fails, or that is slow beside the others: where all are slow, copies of whatever was late fed the
    /// overload.
    fn review(&mut self, id: CommandId, out: &mut dyn Actions) {
        let now = out.now();
        let Some(command) = self.commands.get(&id).filter(|c| !c.done) else { return };
        let kind = &self.deployment.groups[command.group];
        if now + self.beat >= command.expiry {
            return self.give_up(id, RejectionReason::DeadlineExceeded, out);
        }
        let Some(one) = command.out().next() else {
            // In line: a command that could only be late is given up while a retry can still be of use.
            let in_hand = match command.dispatches.is_empty() {
                true => kind.latency_objective / 2,
                false if kind.idempotency == Idempotency::Keyed => kind.timeout,
                false => kind.latency_objective,
            };
            let usual = self.took[command.group].quantile(0.8).unwrap_or(kind.latency_objective / 4);
            if command.taken + in_hand < now + usual {
                self.give_up(id, RejectionReason::QueuedTooLong, out);
            }
            return;
        };
        if command.waiting || command.out().nth(1).is_some() {
            return;
        }
        let (node, group) = (&self.nodes[one.node], &self.groups[&command.shard]);
        // A mutating write left with a lost primary may have run: it is failed.
        let left = group.state == State::Failover && group.primary == Some(one.node);
        if left && kind.idempotency == Idempotency::NonIdempotent && (node.mute || node.lost()) {
            return self.give_up(id, RejectionReason::PrimaryLost, out);
        }
        let hedged = kind.idempotency == Idempotency::Idempotent
            && (node.mute
                || node.lost()
                || node.pace.slowness() > SLOW && now - one.sent > kind.latency_objective / 2)
            && self.further_saved > FURTHER_SAVED / 2.0
            && self.lines.iter().all(Vec::is_empty)
            && now < command.taken + kind.latency_objective;
        if hedged && let Way::To(i) = self.way(id, now) {
            self.send(id, i, out);
        }
    }
}

impl Node {
    fn ask(&mut self, now: Timestamp) {
        self.asked = if self.asked <= self.alive { now } else { self.asked };
    }

    fn well(&self, now: Timestamp) -> bool {
        now >= self.shunned
    }

    /// Whether nothing has reached it for a while. One failure is no proof: the host may lack a connection
    /// to spare, or be hard to reach from here alone, and serve all the same.
    fn lost(&self) -> bool {
        self.strikes >= LOST_AFTER
    }

    fn strike(&mut self, now: Timestamp, connect_timeout: Duration) {
        self.strikes += 1;
        if self.lost() {
            // Twice as long each time: hundreds of routers try what has gone.
            let wait = connect_timeout * (1 << (self.strikes - LOST_AFTER).min(16));
            self.shunned = now + wait.min(SILENCE);
        }
    }

    /// It runs, and has no place for one more connection.
    fn turned_away(&mut self, salt: u64, connect: Duration, now: Timestamp) {
        self.shows_life(now);
        self.slots.turned_away(salt, self.host.number(), connect, now);
    }

    fn shows_life(&mut self, now: Timestamp) {
        (self.alive, self.strikes) = (now, 0);
        if !self.mute {
            self.shunned = self.shunned.min(now);
        }
    }
}

impl Handle {
    /// The client went away, or was told that time is up: nothing is owed any more.
    pub fn client_disconnected(self, router: &mut Router, out: &mut dyn Actions) {
        if let Some(command) = router.commands.get_mut(&self.0) {
            command.done = true;
            router.call_off(self.0, out);
        }
    }

    /// Whether a dispatch that was held up on its way may still go: what the rules ask for counts as it is
    /// written. While its connection came up, its command may have been given up, its host told to drain, its
    /// repeat be forgotten there, or the data have become too old.
    pub fn may_still_send(self, router: &Router, nth: u16, now: Timestamp) -> bool {
        let Some(command) = router.commands.get(&self.0).filter(|c| !c.done && now < c.expiry) else {
            return false;
        };
        let (nth, kind) = (usize::from(nth), &router.deployment.groups[command.group]);
        let Some(dispatch) = command.dispatches.get(nth).filter(|d| d.ended.is_none()) else { return false };
        let (i, need) = (dispatch.node, kind.consistency);
        let aged = matches!(need, Consistency::BoundedStaleness(_))
            && !router.fresh_enough(i, need, Timestamp::ZERO, now);
        let primary = router.groups[&command.shard].primary == Some(i);
        let checked = primary || router.deployment.staleness_check != StalenessCheck::Off;
        (!aged || checked) && !router.parted(i, now) && router.may_repeat(command, nth, kind, i, now)
    }

    /// An attempt ended.
    pub fn attempt_ended(self, router: &mut Router, end: AttemptEnd, out: &mut dyn Actions) {
        let AttemptEnd { attempt, outcome: ending, command_finished, note, report } = end;
        let now = out.now();
        let Some(command) = router.commands.get_mut(&self.0) else { return };
        let open = command.dispatches.get_mut(usize::from(attempt)).filter(|d| d.ended.is_none());
        let Some(dispatch) = open else { return };
        dispatch.ended = Some(ending);
        let (dispatch, i) = (*dispatch, dispatch.node);
        let (kind, shard, session) = (command.group, command.shard, command.session);
        command.done |= command_finished;
        router.weigh(dispatch, kind, ending, now);
        if matches!(
            ending,
            AttemptOutcome::ConnectionReset | AttemptOutcome::TimedOut | AttemptOutcome::ConnectionFailed
        ) || router.nodes[i].mute
        {
            router.doubt(i, now);
            let group = router.groups.get_mut(&shard).expect("known shard");
            group.lost += u32::from(dispatch.noted);
        }
        if ending == AttemptOutcome::Answered && !router.deployment.session_tokens_carried {
            router.commits.tell(session, note.position.unwrap_or_default());
        }
        let need = router.deployment.groups[kind].consistency;
        if note.role == Some(Role::Primary) {
            // It stood at the present when it answered, so at the least at the moment of the send.
            let stood =
                note.position.map_or(dispatch.sent, |p| (p - Duration::from_millis(1)).max(dispatch.sent));
            router.nodes[i].position = router.nodes[i].position.max(stood);
        }
        let answered = matches!(
            ending,
            AttemptOutcome::Answered
                | AttemptOutcome::Error
                | AttemptOutcome::Overloaded
                | AttemptOutcome::NotPrimary
        );
        router.learn(i, report, answered.then_some(note), out);
        if ending == AttemptOutcome::NotPrimary
            && need == Consistency::Write
            && router.groups[&shard].primary == Some(i)
        {
            router.fail_over(shard, out);
        }
        let Some(command) = router.commands.get(&self.0) else { return };
        if command.done {
            router.call_off(self.0, out);
        } else if command.out().next().is_none() && !command.waiting {
            let may_repeat = router.may_send(command, &router.deployment.groups[kind], i, now);
            // Errors spread over all hosts are the commands' fault: what erred here would err at the next.
            let own_fault = ending == AttemptOutcome::Error && router.errors > ERRORS_RARE;
            let on = may_repeat && !own_fault && now + router.beat < command.expiry;
            if on {
                router.place(self.0, out)
            } else {
                router.give_up(self.0, RejectionReason::NotRetryable, out)
            }
        }
        router.serve_lines(out);
    }
}
