//! Tests of `subset`.

use super::*;

const DRIFT: Duration = Duration::from_secs(100);

/// Returns candidates with equal weights.
fn equal_candidates(hosts: u64) -> impl Iterator<Item = Candidate> {
    (0..hosts).map(|key| Candidate { index: key as usize, host_key: key, weight: 1.0 })
}

fn indices(subset: &[Member]) -> Vec<usize> {
    subset.iter().map(|member| member.index).collect()
}

#[test]
fn hosts_are_selected_in_proportion_to_weight() {
    let weight = |key: u64| [1.0, 2.0, 0.25][key as usize % 3];
    let mut selected = [0.0; 24];
    for hash_seed in 0..4000 {
        let all = (0..24).map(|key| Candidate { index: key as usize, host_key: key, weight: weight(key) });
        select(hash_seed, Timestamp::ZERO, DRIFT, 3, all)
            .iter()
            .for_each(|member| selected[member.index] += 1.0 / 4000.0);
    }
    let all = (0..24).map(|key| Candidate { index: key as usize, host_key: key, weight: weight(key) });
    for member in select(1, Timestamp::ZERO, DRIFT, 24, all) {
        let expected = 3.0 * weight(member.index as u64) / 26.0;
        assert!(
            (selected[member.index] / expected - 1.0).abs() < 0.3,
            "host {} is in a fraction {} of all subsets, expected {expected}",
            member.index,
            selected[member.index]
        );
    }
}

#[test]
fn next_host_in_rank_replaces_omitted_one() {
    let before = indices(&select(5, Timestamp::ZERO, DRIFT, 4, equal_candidates(20)));
    let others = equal_candidates(20).filter(|candidate| candidate.index != before[1]);
    let after = indices(&select(5, Timestamp::ZERO, DRIFT, 4, others));
    assert_eq!([before[0], before[2], before[3]], after[..3]);
    assert!(!before.contains(&after[3]));
}

#[test]
fn subsets_drift_one_member_at_a_time() {
    let mut now = Timestamp::ZERO;
    let first = indices(&select(9, now, DRIFT, 3, equal_candidates(20)));
    let (mut before, mut changes) = (first.clone(), 0);
    for _ in 0..3000 {
        now = now + DRIFT / 1000;
        let subset = indices(&select(9, now, DRIFT, 3, equal_candidates(20)));
        let new = subset.iter().filter(|index| !before.contains(index)).count();
        assert!(new <= 1, "the subset changes from {before:?} to {subset:?}");
        changes += new;
        before = subset;
    }
    assert!((6..=24).contains(&changes), "{changes} changes in three drift periods");
    assert_ne!(first, before);
}

#[test]
fn only_subset_of_all_hosts_uses_weights() {
    let weighted_candidates = |hosts: u64| {
        (0..hosts).map(|key| Candidate { index: key as usize, host_key: key, weight: 1.0 + key as f64 })
    };
    let all = select(1, Timestamp::ZERO, DRIFT, 3, weighted_candidates(2));
    assert!(all.iter().all(|member| member.router_share == 1.0 || member.index == 0));
    let small_subset = select(1, Timestamp::ZERO, DRIFT, 3, weighted_candidates(60));
    assert!(small_subset.windows(2).all(|pair| pair[0].weight == pair[1].weight), "{small_subset:?}");
}
