//! Health checks, refreshes of positions, and what makes a host unreachable, unresponsive or ejected.

use super::*;
use crate::Host;

/// Points of service that each command spends on health checks: quiet routers pay more than once for each.
const POINTS_PER_COMMAND: f64 = 0.02;
/// The part of these that timers get where positions are refreshed on demand besides.
const TIMER_PART: f64 = 0.25;
/// How many health checks may be saved up for each member of a group.
const SAVED_PER_MEMBER: f64 = 2.0;
/// A group of which fewer recent commands are left than this is not checked.
const MIN_RECENT_COMMANDS: f64 = 0.5;
/// How soon a health check that reported nothing is sent again, and how often hosts are checked urgently.
pub(super) const HEALTH_CHECK_RETRY: Duration = Duration::from_millis(250);
/// How often a group in use is reviewed for what time alone has changed, at the least.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// A group is quiet of which this router sees fewer commands than this while a position stays fresh.
const QUIET_COMMANDS_PER_REFRESH: f64 = 0.5;
/// The part of the shortest latency objective, as a divisor, for which the one member of a quiet group that was asked
/// for its position is waited for.
const POSITION_PATIENCE_DIVISOR: u64 = 8;
/// How long a host may go without a health check that no command has paid for.
const UNPAID_INTERVAL: Duration = Duration::from_secs(10);
/// The time between two health checks that no command has paid for, of all hosts: a router's own cost for them must not
/// grow with the hosts.
const UNPAID_CHECK_SPACING: Duration = Duration::from_millis(40);
/// So many health checks that are due by time are sent from one tick to the next; the others wait for the next.
pub(super) const MAX_TIMED_CHECKS_PER_TICK: usize = 16;
/// Attempts in a row, cancelled late or timed out without any answer since, that make a host unresponsive.
const UNRESPONSIVE_AFTER: u32 = 2;
/// How often an unresponsive host is tried with a command.
pub(super) const UNRESPONSIVE_TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Failures in a row, of connections, attempts and health checks, that make a host unreachable.
const UNREACHABLE_AFTER: u32 = 3;
/// The part of a staleness bound, as a divisor, kept as a margin at the least where only positions guard a read.
const STALENESS_MARGIN: u64 = 32;
/// The part of it, as a divisor, that is kept at the most for a router that is held up before it writes.
const HELD_UP_MARGIN: u64 = 8;

/// How old a position may be for a read with this bound where only positions guard it.
pub(super) fn usable_age(bound: Duration) -> Duration {
    bound - (bound / STALENESS_MARGIN).max(HELD_UP.min(bound / HELD_UP_MARGIN))
}

impl Router {
    /// Takes in the end of a health check, with the load report that came back.
    pub fn health_checked(
        &mut self, host: Host, outcome: AttemptOutcome, report: HostReport, out: &mut dyn Actions,
    ) {
        let now = out.now();
        let Some(index) = self.hosts.index_of(host) else { return };
        let connect_timeout = self.deployment.connect_timeout;
        let host = &mut self.hosts[index];
        let sent_at = host.health_check_sent.take().unwrap_or(now);
        match outcome {
            AttemptOutcome::NoConnectionSlot => host.record_rejection(self.hash_seed, connect_timeout, now),
            AttemptOutcome::Answered | AttemptOutcome::Error | AttemptOutcome::Overloaded => {
                host.record_sign_of_life(now);
                if report == HostReport::default() {
                    host.retry_health_check(now);
                }
            }
            _ if host.last_sign_of_life < sent_at => host.record_failure(connect_timeout, now),
            _ => {}
        }
        self.review_checks_by(index);
        self.apply_report(index, report, None, out);
        self.drain_queues(self.hosts[index].shard, out);
    }

    pub(super) fn fund_health_checks(&mut self, shard: Shard, now: Timestamp) {
        self.recent_commands.add(1.0, now, RECENT_COMMANDS_WINDOW);
        let Some(group) = self.host_groups.get_mut(&shard) else { return };
        let points = POINTS_PER_COMMAND * if self.refresh_on_demand { TIMER_PART } else { 1.0 };
        let funded = group.health_check_budget + points / self.deployment.health_check_price;
        group.health_check_budget = funded.min(group.members.len() as f64 * SAVED_PER_MEMBER);
        if group.recent_commands.value(now, RECENT_COMMANDS_WINDOW) < MIN_RECENT_COMMANDS {
            // Nobody needed to know its state before.
            group.next_check_review = now;
        }
        group.recent_commands.add(1.0, now, RECENT_COMMANDS_WINDOW);
    }

    /// Checks each host whose time has come, if there is need and someone has paid for it.
    pub(super) fn run_due_health_checks(&mut self, out: &mut dyn Actions) {
        if !self.deployment.may_check_health {
            return;
        }
        let now = out.now();
        let mut due = self.groups_to_review(now);
        // The round goes on where it ended: the first groups must not use up what there is for all.
        let looked_at = due.partition_point(|shard| Some(*shard) <= self.last_checked_group);
        due.rotate_left(looked_at);
        for shard in due {
            if self.timed_checks_left == 0 {
                return;
            }
            self.last_checked_group = Some(shard);
            self.run_due_health_checks_of(shard, out);
            let next_check_review = self.next_check_review(shard, now);
            let group = self.host_groups.get_mut(&shard).expect("a group that was just reviewed");
            group.next_check_review = next_check_review;
        }
    }

    /// The groups of which time alone may have changed something.
    pub(super) fn groups_to_review(&self, now: Timestamp) -> Vec<Shard> {
        let due = self.host_groups.iter().filter(|(_, group)| group.next_check_review <= now);
        due.map(|(shard, _)| *shard).collect()
    }

    /// When a check of a member may be due next, as far as time alone tells: at the latest after a review interval, as
    /// commands may need a check, or have paid for it, without any other event. Of a group that is not in use little
    /// needs to be known, and its next command brings the review forward.
    fn next_check_review(&self, shard: Shard, now: Timestamp) -> Timestamp {
        let group = &self.host_groups[&shard];
        let is_idle = self.refresh_on_demand && !self.is_in_use(group, now);
        if self.timed_checks_left == 0 {
            return now;
        }
        let latest = now + if is_idle { HEALTH_CHECK_INTERVAL } else { REVIEW_INTERVAL };
        let members = self.members_to_check(group, now).iter();
        let next = members.map(|member| self.hosts[*member].next_health_check).filter(|at| *at > now).min();
        next.map_or(latest, |next| next.min(latest))
    }

    /// Sees to it that a host's group is reviewed by the time that the host is to be checked.
    fn review_checks_by(&mut self, index: HostIndex) {
        let at = self.hosts[index].next_health_check;
        self.set_next_health_check(index, at);
    }

    /// The members that a health check may be needed for. Where positions are refreshed on demand, these are none of a
    /// group that is not in use, and only the primary of one that has one and is not in Failover (see
    /// [`Router::is_check_needed`]).
    fn members_to_check<'a>(&self, group: &'a HostGroup, now: Timestamp) -> &'a [HostIndex] {
        match &group.primary {
            _ if self.refresh_on_demand && !self.is_in_use(group, now) => &[],
            Some(primary) if self.refresh_on_demand && group.state != GroupState::Failover => {
                std::slice::from_ref(primary)
            }
            _ => &group.members,
        }
    }

    fn run_due_health_checks_of(&mut self, shard: Shard, out: &mut dyn Actions) {
        let now = out.now();
        let calm_interval = self.tightest_bound.clamp(HEALTH_CHECK_INTERVAL / 5, HEALTH_CHECK_INTERVAL);
        for index in self.due_health_checks(shard, now) {
            if self.timed_checks_left == 0 {
                return;
            }
            let urgent = self.is_check_urgent(index);
            let interval = if urgent { HEALTH_CHECK_RETRY } else { calm_interval };
            let host = &mut self.hosts[index];
            // An answer that carried a report is as good as a health check.
            let reported = now - host.lag_reported_at < interval && now - host.last_sign_of_life < interval;
            if !urgent && reported {
                host.next_health_check = now + interval;
            } else if self.pay_for_health_check(index, now) {
                self.timed_checks_left -= 1;
                self.hosts[index].next_health_check = now + interval;
                self.send_health_check(index, out);
            }
        }
    }

    /// The listed primaries, then the longest due: where few are paid for, each has its turn.
    fn due_health_checks(&self, shard: Shard, now: Timestamp) -> Vec<HostIndex> {
        let is_due = |index: &HostIndex| self.is_check_due(*index, now) && self.is_check_needed(*index, now);
        let members = self.members_to_check(&self.host_groups[&shard], now).iter().copied();
        let mut due: Vec<HostIndex> = members.filter(is_due).collect();
        let is_listed = |index: HostIndex| self.group_of(index).listed_primary == Some(index);
        due.sort_by_key(|index| (!is_listed(*index), self.hosts[*index].next_health_check));
        due
    }

    fn is_check_due(&self, index: HostIndex, now: Timestamp) -> bool {
        let host = &self.hosts[index];
        let drained = host.draining_since.is_some() && host.concurrency.in_flight == Duration::ZERO;
        let is_due = host.next_health_check <= now && host.health_check_sent.is_none();
        is_due && !drained && host.connection_slots.has_free(now)
    }

    fn is_check_urgent(&self, index: HostIndex) -> bool {
        let group = self.group_of(index);
        let is_draining = |primary: HostIndex| self.hosts[primary].draining_since.is_some();
        let lacks_primary = group.state == GroupState::Failover || group.primary.is_none_or(is_draining);
        lacks_primary || self.hosts[index].unresponsive || self.is_doubtful_primary(index)
    }

    /// Whether it is a primary that is Unhealthy or was last seen as a replica: nothing else asks it.
    fn is_doubtful_primary(&self, index: HostIndex) -> bool {
        let group = self.group_of(index);
        let was_replica = self.hosts[index].role == Some(Role::Replica);
        group.primary == Some(index) && (group.state == GroupState::Unhealthy || was_replica)
    }

    /// Where positions are refreshed on demand, replicas are asked as commands need it, and a primary proves
    /// itself by its answers: it is checked if they stay out. Without commands nobody need know.
    fn is_check_needed(&self, index: HostIndex, now: Timestamp) -> bool {
        let group = self.group_of(index);
        let silent = self.hosts[index].silent_for(now) >= HEALTH_CHECK_INTERVAL / 2;
        let needed = (group.state == GroupState::Failover || group.primary.is_none())
            || self.is_doubtful_primary(index)
            || group.primary == Some(index) && silent;
        !self.refresh_on_demand || needed && self.is_in_use(group, now)
    }

    /// Whether commands came for a group lately.
    pub(super) fn is_in_use(&self, group: &HostGroup, now: Timestamp) -> bool {
        group.recent_commands.value(now, RECENT_COMMANDS_WINDOW) >= MIN_RECENT_COMMANDS
    }

    /// Takes the price from the group's budget. What nothing has paid for is free after a long while.
    fn pay_for_health_check(&mut self, index: HostIndex, now: Timestamp) -> bool {
        let group = self.group_of_mut(index);
        if group.health_check_budget >= 1.0 {
            group.health_check_budget -= 1.0;
            return true;
        }
        let long_unchecked = now >= self.hosts[index].next_health_check + UNPAID_INTERVAL;
        let is_free = long_unchecked && now >= self.next_unpaid_check;
        if is_free {
            self.group_of_mut(index).health_check_budget = 0.0;
            self.next_unpaid_check = now + UNPAID_CHECK_SPACING;
        }
        is_free
    }

    /// Asks the subset's members for positions that would soon be too old for this command.
    pub(super) fn refresh_positions(&mut self, id: CommandId, out: &mut dyn Actions) {
        let now = out.now();
        let command = &self.commands[&id];
        let (shard, command_group) = (command.shard, command.command_group);
        let Some(oldest) = self.oldest_useful_position(command, now) else { return };
        let subset = self.subset(shard, now);
        let one_at_a_time = self.is_quiet(shard, now);
        let may_do = |member: &Member| self.may_soon_be_fresh(member, command_group, oldest, now);
        if one_at_a_time && subset.iter().any(may_do) {
            return;
        }
        for member in subset {
            let host = &self.hosts[member.index];
            let asked = host.health_check_sent.is_some() || now < host.next_position_refresh;
            if host.position < oldest && !asked && self.has_capacity(&member, command_group, now) {
                let lag = Some(host.lag).filter(|_| host.position > Timestamp::ZERO);
                let backoff = freshness::refresh_backoff(lag, HEALTH_CHECK_RETRY).min(RECENT_COMMANDS_WINDOW);
                self.hosts[member.index].next_position_refresh = now + backoff;
                self.send_health_check(member.index, out);
                if one_at_a_time {
                    return;
                }
            }
        }
    }

    /// Beyond the design: whether this router sees so few commands of a group that each would pay for all health checks
    /// of a subset alone. Then one member is asked for its position, and the next one only if that is late. A group that
    /// is new here is expected to see as much as others do.
    fn is_quiet(&self, shard: Shard, now: Timestamp) -> bool {
        let lasts = freshness::refresh_after(self.tightest_bound, HEALTH_CHECK_RETRY);
        let usual = self.recent_commands.rate(now, RECENT_COMMANDS_WINDOW) / self.host_groups.len() as f64;
        let own = self.host_groups[&shard].recent_commands.value(now, RECENT_COMMANDS_WINDOW);
        usual.max(own) * lasts.ratio(RECENT_COMMANDS_WINDOW) < QUIET_COMMANDS_PER_REFRESH
    }

    /// Whether a member can take a command and its position does for it, or was asked for a moment ago.
    fn may_soon_be_fresh(
        &self, member: &Member, command_group: usize, oldest: Timestamp, now: Timestamp,
    ) -> bool {
        let host = &self.hosts[member.index];
        let patience = self.shortest_objective / POSITION_PATIENCE_DIVISOR;
        let just_asked = host.health_check_sent.is_some_and(|sent_at| now - sent_at < patience);
        just_asked || host.position >= oldest && self.has_capacity(member, command_group, now)
    }

    /// Positions older than this must be refreshed for a command; none where positions do not guard it.
    fn oldest_useful_position(&self, command: &Command, now: Timestamp) -> Option<Timestamp> {
        // Where sessions are served besides, timers ask too, but few of them are paid for by a quiet router.
        let guard =
            self.deployment.staleness_check == StalenessCheck::Off && self.deployment.may_check_health;
        let group = self.host_groups.get(&command.shard).filter(|_| guard)?;
        let lasts = |bound| freshness::refresh_after(usable_age(bound), HEALTH_CHECK_RETRY);
        let host_time = self.latest_host_time(now).unwrap_or(now);
        match self.settings(command).consistency {
            Consistency::BoundedStaleness(bound) => Some(host_time - lasts(bound)),
            Consistency::Session => Some(command.required_position).filter(|past| *past > Timestamp::ZERO),
            Consistency::Eventual => None,
            // Whether the group keeps a primary in doubt shows in whether its other members move on.
            Consistency::Write | Consistency::Strong => {
                (group.state == GroupState::Unhealthy).then(|| host_time - lasts(SILENCE_TIMEOUT))
            }
        }
    }
}

impl HostState {
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Whether nothing has reached it for a while. One failure is no proof: the host may lack a connection
    /// to spare, or be hard to reach from here alone, and serve all the same.
    pub(super) fn is_unreachable(&self) -> bool {
        self.consecutive_failures >= UNREACHABLE_AFTER
    }

    pub(super) fn record_sign_of_life(&mut self, now: Timestamp) {
        self.last_sign_of_life = now;
        self.consecutive_failures = 0;
        if !self.unresponsive {
            self.ejected_until = self.ejected_until.min(now);
        }
    }

    /// Ejects an unreachable host, for twice as long each time: hundreds of routers try one that is down.
    pub(super) fn record_failure(&mut self, connect_timeout: Duration, now: Timestamp) {
        self.consecutive_failures += 1;
        if self.is_unreachable() {
            let doublings = (self.consecutive_failures - UNREACHABLE_AFTER).min(16);
            self.ejected_until = now + (connect_timeout * (1 << doublings)).min(SILENCE_TIMEOUT);
        }
    }

    /// Hangs, one-way links, hosts too slow to wait for, whatever their health checks say.
    pub(super) fn record_unanswered(&mut self, now: Timestamp) {
        self.unanswered_attempts += 1;
        if self.unanswered_attempts >= UNRESPONSIVE_AFTER && !self.unresponsive {
            self.unresponsive = true;
            self.ejected_until = self.ejected_until.max(now + UNRESPONSIVE_TRIAL_INTERVAL);
        }
    }

    pub(super) fn record_rejection(&mut self, hash_seed: u64, connect_timeout: Duration, now: Timestamp) {
        self.record_sign_of_life(now);
        self.connection_slots.connection_rejected(hash_seed, self.host.number(), connect_timeout, now);
    }

    /// It runs but reports nothing: it has just started, is overloaded, or only its health checks fail.
    fn retry_health_check(&mut self, now: Timestamp) {
        let divisor = if self.position == Timestamp::ZERO { 4 } else { 1 };
        self.next_health_check = self.next_health_check.min(now + HEALTH_CHECK_RETRY / divisor);
    }
}
