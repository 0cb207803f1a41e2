//! The cache of shapes, the frequency sketch, the parsing budget and the learned costs, each under its own kind of load.

use comethitch_policy::time::{Duration, Timestamp};
use comethitch_statement::ShapeKey;
use comethitch_statement::budget::{Budget, BudgetShares, Reservation};
use comethitch_statement::cache::Cache;
use comethitch_statement::cost::{Cost, LookupTime};
use comethitch_statement::frequency_sketch::FrequencySketch;

/// A key as a hash would give it.
fn key(number: u64) -> ShapeKey {
    let mixed = |seed: u64| {
        let mut x = number.wrapping_add(seed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb)
    };
    ShapeKey(u128::from(mixed(1)) << 64 | u128::from(mixed(2)))
}

const BOUND: usize = 1 << 20;
const VALUE: usize = 240;

/// Looks a shape up, and inserts it if it is not there; true if it was.
fn look_up(cache: &mut Cache<u64>, number: u64, client: u64) -> bool {
    let hit = cache.get(key(number), client).copied();
    if hit.is_none() {
        cache.insert(key(number), number, VALUE, client);
    }
    assert!(hit.is_none_or(|value| value == number), "another's value");
    hit.is_some()
}

/// A client looks so many shapes up in turn, several times.
fn warm_up(cache: &mut Cache<u64>, rounds: usize, shapes: u64, client: u64) {
    for _ in 0..rounds {
        for number in 0..shapes {
            look_up(cache, number, client);
        }
    }
}

#[test]
fn scan_of_unique_shapes_evicts_no_entry_in_use() {
    let mut cache = Cache::new(BOUND);
    warm_up(&mut cache, 3, 500, 1);
    let mut missed = 0;
    for number in 10_000..200_000 {
        look_up(&mut cache, number, 1);
        // A shape in use is looked up once in five thousand.
        missed += usize::from(number % 10 == 0 && !look_up(&mut cache, number / 10 % 500, 1));
        assert!(cache.memory_bytes() <= BOUND, "{} bytes", cache.memory_bytes());
    }
    assert!(missed <= 10, "{missed} of 19000 look-ups missed");
    let kept = (0..500).filter(|number| cache.get(key(*number), 1).is_some()).count();
    assert!(kept >= 490, "{kept} of 500 are left");
}

#[test]
fn flood_by_one_client_costs_another_no_cache_hits() {
    let mut cache = Cache::new(BOUND);
    warm_up(&mut cache, 3, 300, 1);
    // Each shape of the flood comes again and again, so that its frequency does not give it away.
    for round in 0..50 {
        for number in 0..2_000 {
            for _ in 0..6 {
                look_up(&mut cache, 10_000 + round * 2_000 + number, 2);
            }
        }
    }
    let kept = (0..300).filter(|number| cache.get(key(*number), 1).is_some()).count();
    assert!(kept >= 290, "{kept} of 300 are left");
    // Alone, a client may use the whole cache.
    let mut alone = Cache::new(BOUND);
    warm_up(&mut alone, 4, 1_200, 3);
    let kept = (0..1_200).filter(|number| alone.get(key(*number), 3).is_some()).count();
    assert!(kept >= 1_150, "{kept} of 1200 are there");
}

#[test]
fn entries_in_use_replace_those_used_long_ago() {
    let mut cache = Cache::new(BOUND);
    warm_up(&mut cache, 20, 1_400, 1);
    let hits = (0..60).map(|_| (5_000..6_400).filter(|number| look_up(&mut cache, *number, 1)).count());
    let hits: Vec<usize> = hits.collect();
    assert!(hits[59] > 1_200, "{hits:?}");
}

#[test]
fn cache_stays_within_its_bound_for_values_of_any_size() {
    let mut cache = Cache::new(BOUND);
    let mut seed = 7_u64;
    let mut draw = |below: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % below
    };
    for _ in 0..200_000 {
        let number = draw(6_000);
        let client = draw(90);
        let bytes = draw(20_000) as usize;
        match cache.get(key(number), client) {
            Some(value) => assert_eq!(*value, number),
            None => cache.insert(key(number), number, bytes, client),
        }
        assert!(cache.memory_bytes() <= BOUND);
    }
    assert!(cache.len() > 50, "{} are held", cache.len());
    cache.clear();
    assert_eq!(cache.get(key(1), 1), None);
    (0..2_000).for_each(|number| {
        look_up(&mut cache, number, 1);
    });
    assert!(cache.len() > 1_000, "{} are held after a new start", cache.len());
}

#[test]
fn the_sketch_never_undercounts_and_ages() {
    let mut sketch = FrequencySketch::new(1_000);
    for number in 0..500 {
        (0..number % 12).for_each(|_| sketch.increment(key(number)));
    }
    let low = (0..500).filter(|number| u64::from(sketch.estimate(key(*number))) < number % 12).count();
    let exact = (0..500).filter(|number| u64::from(sketch.estimate(key(*number))) == number % 12).count();
    assert_eq!(low, 0);
    assert!(exact > 450, "{exact} of 500 are exact");
    let before = sketch.estimate(key(11));
    (0..10_000).for_each(|number| sketch.increment(key(50_000 + number)));
    assert!(sketch.estimate(key(11)) <= before / 2 + 1, "{before} has become {}", sketch.estimate(key(11)));
}

#[test]
fn client_over_its_budget_leaves_others_theirs() {
    let shares = BudgetShares { total: 0.1, client: 0.25 };
    let second = Duration::from_secs(1);
    let mut budget = Budget::new(shares, Timestamp::ZERO);
    let mut now = Timestamp::ZERO;
    let mut flood = 0_u64;
    let mut steady = 0_u64;
    let mut refused = 0;
    // For ten seconds one client asks without end, another a hundred times a second; a parse takes 100 µs.
    for step in 0..100_000_u64 {
        now = now + Duration::from_micros(100);
        let mut is_reserved = |client: u64| match budget.reserve(client, 42, now) {
            Reservation::Reserved(reserved) => {
                budget.correct(client, 42, reserved, Duration::from_micros(100));
                true
            }
            _ => false,
        };
        flood += u64::from(is_reserved(1)) * 100;
        if step % 100 == 0 {
            if is_reserved(2) { steady += 100 } else { refused += 1 }
        }
    }
    assert_eq!((refused, steady), (0, 100_000));
    let most = (second.as_micros() as f64 * 11.0 * shares.total * shares.client) as u64;
    assert!(flood <= most + 200, "the flood had {flood} µs of {most}");
    assert!(flood >= most * 9 / 10, "and what is its own: {flood} µs");
}

#[test]
fn all_clients_together_stay_within_the_total_budget() {
    let mut budget = Budget::new(BudgetShares { total: 0.05, client: 0.5 }, Timestamp::ZERO);
    let mut spent = 0;
    let mut exceeded = false;
    for step in 0..200_000_u64 {
        let now = Timestamp::from_micros(step * 20);
        match budget.reserve(step % 97, 42, now) {
            Reservation::Reserved(reserved) => {
                budget.correct(step % 97, 42, reserved, Duration::from_micros(100));
                spent += 100;
            }
            refused => exceeded |= refused == Reservation::TotalExceeded,
        }
    }
    // Four seconds, and what was saved up at first.
    assert!(exceeded && spent <= 250_200, "{spent} µs");
    assert!(spent >= 225_000, "{spent} µs");
}

#[test]
fn costly_shape_changes_its_band_without_flapping() {
    let bounds = [Duration::from_millis(20)];
    let lookup_time = LookupTime::default();
    let mut cost = Cost::default();
    (0..50).for_each(|_| cost.record(Duration::from_micros(1_500)));
    assert_eq!(cost.band(&bounds, lookup_time, 1.0), 0);
    (0..400).for_each(|_| cost.record(Duration::from_millis(300)));
    assert_eq!(cost.band(&bounds, lookup_time, 1.0), 1, "what was long ago fades");
    // Answers about the bound, in turns: it changes its band once at the most.
    let mut changes = 0;
    let mut band = 1;
    for round in 0..2_000_u64 {
        cost.record(Duration::from_micros(if round / 40 % 2 == 0 { 18_500 } else { 21_500 }));
        let now = cost.band(&bounds, lookup_time, 1.0);
        changes += u32::from(now != band);
        band = now;
    }
    assert!(changes <= 1, "{changes} changes");
}

#[test]
fn first_estimate_is_the_average_lookup_time() {
    let mut lookup_time = LookupTime::default();
    (0..1_000).for_each(|_| lookup_time.record(4.0, Duration::from_millis(40)));
    let estimated = lookup_time.estimate(2.0);
    assert!((18_000..=22_000).contains(&estimated.as_micros()), "{estimated:?}");
    // One answer that took for ever moves it little.
    lookup_time.record(1.0, Duration::from_secs(60));
    assert!(lookup_time.estimate(2.0).as_micros() < 25_000, "{:?}", lookup_time.estimate(2.0));
}
