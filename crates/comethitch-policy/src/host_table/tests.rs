use super::HostTable;
use crate::host_state::HostState;
use crate::time::{Duration, Timestamp};
use crate::{Endpoint, Host, Lifecycle, histogram::Histogram};

const NOW: Timestamp = Timestamp::from_millis(1_000);
const LATER: Timestamp = Timestamp::from_millis(2_000);

fn host_state(port: u16) -> HostState {
    let endpoint = Endpoint {
        host: Host { address: [10, 0, 0, 1], port },
        zone: 0,
        shard_id: 0,
        lifecycle: Lifecycle::Ready,
        is_primary: false,
        capacity: 1.0,
        started: None,
    };
    HostState::new(&endpoint, Histogram::default(), NOW)
}

#[test]
fn entries_of_released_hosts_are_reused() {
    let mut hosts = HostTable::default();
    let first = hosts.insert(host_state(1));
    hosts.insert(host_state(2));
    hosts.release(first);
    assert!(!hosts.is_used(first));
    assert_eq!(hosts.insert(host_state(3)), first);
    assert_eq!(hosts.len(), 2);
}

#[test]
fn a_host_has_at_most_one_removal_review() {
    let mut hosts = HostTable::default();
    let index = hosts.insert(host_state(1));
    hosts.schedule_removal_review(index, LATER);
    hosts.schedule_removal_review(index, NOW);
    assert_eq!(hosts.next_removal_review(LATER), None, "only reviews due before now");
    let after = LATER + Duration::from_micros(1);
    assert_eq!(hosts.next_removal_review(after), Some(index));
    assert_eq!(hosts.next_removal_review(after), None);
    hosts.schedule_removal_review(index, NOW);
    assert_eq!(hosts.next_removal_review(after), Some(index));
}
