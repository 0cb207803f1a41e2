//! Tests of `share`.

use super::*;

const SPAN: Duration = Duration::from_millis(1_500);

/// What a fleet spends at one host in a span: each router has more commands than it may send.
fn spent_together(routers: u64, budget: f64, cost: f64, now: Timestamp) -> f64 {
    let spend = |salt: u64| {
        let salt = salt.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let mut spent = Spent::default();
        while spent.admits(cost, budget, salt, 77, now, SPAN) {
            spent.add(cost, salt, now, SPAN);
        }
        spent.amount
    };
    (0..routers).map(spend).sum()
}

#[test]
fn all_routers_together_spend_the_budget_whatever_part_of_a_command_each_has() {
    for (routers, budget) in [(300, 0.1), (300, 0.9), (40, 0.5), (40, 2.5), (8, 7.3)] {
        let spans: Vec<f64> = (1..41)
            .map(|k| spent_together(routers, budget, 1.0, Timestamp::from_micros(k * 3_000_000)))
            .collect();
        let mean = spans.iter().sum::<f64>() / spans.len() as f64;
        let expected = routers as f64 * budget;
        assert!((mean / expected - 1.0).abs() < 0.1, "{routers} with {budget}: {mean} for {expected}");
        let most = spans.iter().fold(0.0, |most: f64, one| most.max(*one));
        let rare = (1..).map(f64::from).find(|n| chance_over(expected, *n) < 1e-3).expect("some number");
        assert!(most < rare, "{routers} with {budget}: {most} once, {rare} is rare");
    }
}

#[test]
fn the_budgets_of_all_routers_come_to_what_warm_peers_bear() {
    let ramp = SlowStart {
        routers: 300,
        overload_multiple: 2.5,
        window: SPAN,
        initial_capacity: 0.2,
        warmup: Duration::from_secs(18),
    };
    // Each sends a warm host 0.1 s of work in a span, so that all send it 30 s.
    let peers = 100_000.0;
    for reach in [1.0, 0.3, 0.1] {
        let users = 300.0 * reach;
        let all = users * ramp.budget(0.2, reach, peers, 0.0);
        let most = 2.5 * 0.2 * 0.4 * 300.0 * peers;
        assert!(all <= most * 1.0001 && all > most * 0.8, "{reach}: {all} for {most}");
    }
    assert!((ramp.warmth(Some(Timestamp::ZERO), Timestamp::from_millis(9_000)) - 0.6).abs() < 1e-9);
    assert_eq!(ramp.warmth(None, Timestamp::ZERO), 1.0);
    // What it has borne itself counts as it is, and half of what the multiple allows is used.
    assert_eq!(ramp.budget(0.2, 1.0, 0.0, 400_000.0), 500_000.0);
}

#[test]
fn rounds_of_routers_do_not_begin_together() {
    let round = |salt: u64, at: u64| Spent::round(salt * 7_919, Timestamp::from_micros(at), SPAN);
    let begun = |at: u64| (0..300).filter(|salt| round(*salt, at) != round(*salt, at - 15_000)).count();
    let most = (0..100).map(|k| begun(9_000_000 + k * 15_000)).max();
    assert!(most <= Some(12), "{most:?} of 300 within a hundredth of the span");
}
