//! Tests of `quota`.

use super::*;

const LENGTH: Duration = Duration::from_millis(1_500);

/// Returns the total amount that all routers spend at one host in a window, if each has more requests than it
/// may send.
fn total_spent(routers: u64, budget: f64, cost: f64, now: Timestamp) -> f64 {
    let spend = |router: u64| {
        let hash_seed = router.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let window = Window { hash_seed, host_key: 77, now, length: LENGTH };
        let mut usage = WindowUsage::default();
        while usage.admits(cost, budget, &window) {
            usage.add(cost, &window);
        }
        usage.amount
    };
    (0..routers).map(spend).sum()
}

#[test]
fn routers_spend_the_fleet_budget_on_average_for_any_quota() {
    for (routers, budget) in [(300, 0.1), (300, 0.9), (40, 0.5), (40, 2.5), (8, 7.3)] {
        let windows: Vec<f64> = (1..41)
            .map(|k| total_spent(routers, budget, 1.0, Timestamp::from_micros(k * 3_000_000)))
            .collect();
        let mean = windows.iter().sum::<f64>() / windows.len() as f64;
        let expected = routers as f64 * budget;
        assert!(
            (mean / expected - 1.0).abs() < 0.1,
            "{routers} routers with a budget of {budget} spent {mean} on average, expected {expected}"
        );
        let max_spent = windows.iter().fold(0.0, |max: f64, spent| max.max(*spent));
        let improbable = (1..)
            .map(f64::from)
            .find(|amount| overrun_probability(expected, *amount) < 1e-3)
            .expect("the probability decreases with the amount");
        assert!(
            max_spent < improbable,
            "{routers} routers with a budget of {budget} spent {max_spent}, and {improbable} is improbable"
        );
    }
}

#[test]
fn budgets_of_all_routers_add_up_to_load_of_warm_peers() {
    let slow_start = SlowStart {
        routers: 300,
        overload_multiple: 2.5,
        window: LENGTH,
        initial_capacity: 0.2,
        warmup: Duration::from_secs(18),
    };
    // Each router sends 0.1 s of work per window to a warmed-up host, so all 300 routers together send 30 s.
    let peer_load = 100_000.0;
    for router_share in [1.0, 0.3, 0.1] {
        let users = 300.0 * router_share;
        let total = users * slow_start.budget(0.2, router_share, peer_load, 0.0);
        let max_total = 2.5 * 0.2 * 0.4 * 300.0 * peer_load;
        assert!(
            total <= max_total * 1.0001 && total > max_total * 0.8,
            "router share {router_share}: the budgets add up to {total}, expected 80 to 100 % of {max_total}"
        );
    }
    let half_warm = slow_start.warm_fraction(Some(Timestamp::ZERO), Timestamp::from_millis(9_000));
    assert!((half_warm - 0.6).abs() < 1e-9);
    assert_eq!(slow_start.warm_fraction(None, Timestamp::ZERO), 1.0);
    // Without peer load, the budget is half of the overload multiple times the answered work.
    assert_eq!(slow_start.budget(0.2, 1.0, 0.0, 400_000.0), 500_000.0);
}

#[test]
fn windows_of_routers_begin_at_different_times() {
    let number = |router: u64, at: u64| {
        let now = Timestamp::from_micros(at);
        Window { hash_seed: router * 7_919, host_key: 0, now, length: LENGTH }.number()
    };
    let windows_begun =
        |at: u64| (0..300).filter(|router| number(*router, at) != number(*router, at - 15_000)).count();
    let max_begun = (0..100).map(|k| windows_begun(9_000_000 + k * 15_000)).max();
    assert!(max_begun <= Some(12), "{max_begun:?} of 300 windows begin within a hundredth of a window");
}
