use super::{AdmissionQueue, WaitingFor};

fn queue_of(shards: &[u16]) -> AdmissionQueue {
    let mut queue = AdmissionQueue::default();
    for shard_id in shards {
        queue.insert(*shard_id, WaitingFor::FirstAttempt, u32::from(*shard_id), |_| false);
    }
    queue
}

#[test]
fn rounds_reach_every_shard_in_turn() {
    let mut queue = queue_of(&[1, 2, 3]);
    assert_eq!(queue.next_round(2), [1, 2]);
    assert_eq!(queue.next_round(2), [3, 1]);
    assert_eq!(queue.next_round(9), [2, 3, 1], "each shard at most once");
}

#[test]
fn requests_queued_during_a_drain_go_behind_the_rest() {
    let mut queue = AdmissionQueue::default();
    queue.insert(1, WaitingFor::Retry, 10, |_| true);
    queue.insert(1, WaitingFor::Retry, 11, |_| true);
    assert_eq!(queue.take(1, WaitingFor::Retry), [10, 11]);
    queue.insert(1, WaitingFor::Retry, 12, |_| true);
    queue.restore(1, WaitingFor::Retry, vec![11]);
    assert_eq!(queue.take(1, WaitingFor::Retry), [11, 12]);
}

#[test]
fn a_drained_shard_leaves_the_queue() {
    let mut queue = queue_of(&[4]);
    let drained = queue.take(4, WaitingFor::FirstAttempt);
    assert_eq!(drained, [4]);
    queue.restore(4, WaitingFor::FirstAttempt, Vec::new());
    assert!(queue.is_empty());
}
