//! What an answer shows about its host before it is known which request the answer belongs to.
//!
//! Hosts may send an answer twice, so an answer on a reused connection is served, and believed, only once it is
//! confirmed. That takes at least a round trip, and forever if the connection has fallen silent. Meanwhile,
//! reads that must see all commits would go on to a host that has already answered that it is a replica.
//!
//! What an answer shows against its host is therefore believed at once, and what it shows for the host only
//! after the confirmation. If the answer was an old one, the shard is in Failover without need until a host next
//! answers as the primary, but no stale data are read. Positions show nothing against a host: the known position
//! of a host is a lower bound, which an older one does not change.

use super::router::Router;
use crate::host_table::HostIndex;
use crate::time::Timestamp;
use crate::{Actions, AttemptOutcome, Consistency, Host, LoadReport, RequestId, Role};

/// The contents of an answer that is complete, but not confirmed.
#[derive(Clone, Copy, Debug)]
pub struct UnconfirmedAnswer {
    /// The host that has answered.
    pub host: Host,
    /// The request of the attempt that was answered; `None` for a health check.
    pub request: Option<RequestId>,
    /// How the attempt or the health check would end if the answer were confirmed.
    pub outcome: AttemptOutcome,
    /// The response trailer; empty for a health check.
    pub trailer: LoadReport,
    /// The load report.
    pub report: LoadReport,
}

impl UnconfirmedAnswer {
    /// Returns whether the answer may show something against its host, so that it must be reported. Most answers
    /// do not, and reporting each would add to the cost of every request.
    pub fn may_show_lost_role(&self) -> bool {
        let is_replica = |report: &LoadReport| report.role == Some(Role::Replica);
        is_replica(&self.trailer) || is_replica(&self.report) || self.outcome == AttemptOutcome::NotPrimary
    }
}

impl Router {
    /// Applies what an unconfirmed answer shows against its host. If the answer is confirmed later, it is
    /// reported once more as the end of its attempt or health check.
    pub fn unconfirmed_answer(&mut self, answer: &UnconfirmedAnswer, actions: &mut dyn Actions) {
        let Some(index) = self.hosts.index_of(answer.host) else { return };
        if self.shows_lost_role(index, answer) {
            self.record_replica(index, actions);
        }
        if self.is_rejected_write(answer) {
            self.record_rejected_write(index, actions);
        }
    }

    /// Returns whether an answer shows that its host is not the primary.
    fn shows_lost_role(&self, index: HostIndex, answer: &UnconfirmedAnswer) -> bool {
        let role = answer.trailer.role.or(self.reported_role(index, &answer.report));
        role == Some(Role::Replica)
    }

    /// Returns whether an answer is that of a host which rejects a write because it is not the primary.
    fn is_rejected_write(&self, answer: &UnconfirmedAnswer) -> bool {
        let request = answer.request.and_then(|id| self.requests.get(id));
        let class = request.map(|request| self.settings.class(request.request_class));
        let is_write = class.is_some_and(|class| class.consistency == Consistency::Write);
        is_write && answer.outcome == AttemptOutcome::NotPrimary
    }

    /// Returns the role in a load report, unless the report may be older than what the router knows.
    ///
    /// A report may have been delayed. If it is older than the last confirmation of the host as the primary, a
    /// role of replica in it is ignored.
    pub(super) fn reported_role(&self, index: HostIndex, report: &LoadReport) -> Option<Role> {
        let last_seen_primary = self.hosts[index].replication.last_seen_primary();
        let last_seen_primary: Timestamp = self.host_clock.estimated(last_seen_primary);
        let is_newer = report.position.is_none_or(|position| position > last_seen_primary);
        report.role.filter(|role| *role == Role::Primary || is_newer)
    }

    /// Records that a host has answered as a replica. Moves its shard to Failover if it is the believed primary.
    pub(super) fn record_replica(&mut self, index: HostIndex, actions: &mut dyn Actions) {
        self.hosts[index].replication.record_role(Role::Replica, actions.now());
        self.fail_over_if_primary(index, actions);
    }

    /// Records that a host has rejected a write because it is not the primary. Moves its shard to Failover if it
    /// is the believed primary.
    pub(super) fn record_rejected_write(&mut self, index: HostIndex, actions: &mut dyn Actions) {
        self.hosts[index].replication.record_rejected_write(actions.now());
        self.fail_over_if_primary(index, actions);
    }

    fn fail_over_if_primary(&mut self, index: HostIndex, actions: &mut dyn Actions) {
        if self.is_primary(index) {
            self.fail_over(self.hosts[index].listing.shard_id(), actions);
        }
    }
}
