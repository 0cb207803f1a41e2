//! The cache of shapes, the frequency sketch, the parsing budget and the learned costs under load.

use comethitch_policy::time::{Duration, Timestamp};
use comethitch_statement::ShapeKey;
use comethitch_statement::budget::{Budget, BudgetShares, Reservation};
use comethitch_statement::cache::Cache;
use comethitch_statement::cost::{Cost, LookupTime};
use comethitch_statement::frequency_sketch::FrequencySketch;

/// Returns a key with uniformly distributed bits.
fn key(number: u64) -> ShapeKey {
    let mixed = |seed: u64| {
        let mut x = number.wrapping_add(seed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb)
    };
    ShapeKey(u128::from(mixed(1)) << 64 | u128::from(mixed(2)))
}

const CACHE_BYTES: usize = 1 << 20;
const VALUE_BYTES: usize = 240;

/// Looks up a shape, and inserts it on a miss. Returns whether it was a hit.
fn look_up(cache: &mut Cache<u64>, number: u64, client: u64) -> bool {
    let hit = cache.get(key(number), client).copied();
    if hit.is_none() {
        cache.insert(key(number), number, VALUE_BYTES, client);
    }
    assert!(hit.is_none_or(|value| value == number), "the cache returned the value of another shape");
    hit.is_some()
}

/// Returns how many of the shapes below `shapes` are cached.
fn cached_count(cache: &mut Cache<u64>, shapes: u64, client: u64) -> usize {
    (0..shapes).filter(|number| cache.get(key(*number), client).is_some()).count()
}

/// Looks up each of the shapes below `shapes` once per round.
fn warm_up(cache: &mut Cache<u64>, rounds: usize, shapes: u64, client: u64) {
    for _ in 0..rounds {
        for number in 0..shapes {
            look_up(cache, number, client);
        }
    }
}

#[test]
fn scan_of_unique_shapes_does_not_evict_shapes_in_use() {
    let mut cache = Cache::new(CACHE_BYTES);
    warm_up(&mut cache, 3, 500, 1);
    let mut misses = 0;
    for number in 10_000..200_000 {
        look_up(&mut cache, number, 1);
        // Each shape in use is looked up once per 5,000 unique shapes.
        misses += usize::from(number % 10 == 0 && !look_up(&mut cache, number / 10 % 500, 1));
        assert!(cache.memory_bytes() <= CACHE_BYTES, "{} bytes", cache.memory_bytes());
    }
    assert!(misses <= 10, "{misses} of 19000 lookups missed");
    let cached = cached_count(&mut cache, 500, 1);
    assert!(cached >= 490, "{cached} of 500 shapes are cached");
}

#[test]
fn flood_by_one_client_does_not_evict_shapes_of_another() {
    let mut cache = Cache::new(CACHE_BYTES);
    warm_up(&mut cache, 3, 300, 1);
    // Each shape of the flood is looked up repeatedly, so that its frequency exceeds that of the shapes in
    // use.
    for round in 0..50 {
        for number in 0..2_000 {
            for _ in 0..6 {
                look_up(&mut cache, 10_000 + round * 2_000 + number, 2);
            }
        }
    }
    let cached = cached_count(&mut cache, 300, 1);
    assert!(cached >= 290, "{cached} of 300 shapes are cached");
    // A single client may use the complete cache.
    let mut alone = Cache::new(CACHE_BYTES);
    warm_up(&mut alone, 4, 1_200, 3);
    let cached = cached_count(&mut alone, 1_200, 3);
    assert!(cached >= 1_150, "{cached} of 1200 shapes are cached");
}

#[test]
fn shapes_in_use_replace_shapes_no_longer_used() {
    let mut cache = Cache::new(CACHE_BYTES);
    warm_up(&mut cache, 20, 1_400, 1);
    let hits = (0..60).map(|_| (5_000..6_400).filter(|number| look_up(&mut cache, *number, 1)).count());
    let hits_by_round: Vec<usize> = hits.collect();
    assert!(hits_by_round[59] > 1_200, "{hits_by_round:?}");
}

#[test]
fn values_of_any_size_keep_the_cache_within_its_limit() {
    let mut cache = Cache::new(CACHE_BYTES);
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
        assert!(cache.memory_bytes() <= CACHE_BYTES);
    }
    assert!(cache.len() > 50, "{} values are cached", cache.len());
    cache.clear();
    assert_eq!(cache.get(key(1), 1), None);
    (0..2_000).for_each(|number| {
        look_up(&mut cache, number, 1);
    });
    assert!(cache.len() > 1_000, "{} values are cached after clearing", cache.len());
}

#[test]
fn sketch_never_undercounts_recent_keys_and_ages_old_ones() {
    let mut sketch = FrequencySketch::new(1_000);
    for number in 0..500 {
        (0..number % 12).for_each(|_| sketch.increment(key(number)));
    }
    let too_low = (0..500).filter(|number| u64::from(sketch.estimate(key(*number))) < number % 12).count();
    let exact = (0..500).filter(|number| u64::from(sketch.estimate(key(*number))) == number % 12).count();
    assert_eq!(too_low, 0);
    assert!(exact > 450, "{exact} of 500 estimates are exact");
    let before = sketch.estimate(key(11));
    (0..10_000).for_each(|number| sketch.increment(key(50_000 + number)));
    let after = sketch.estimate(key(11));
    assert!(after <= before / 2 + 1, "the estimate went from {before} to {after}");
}

#[test]
fn client_over_its_parsing_budget_does_not_affect_others() {
    let shares = BudgetShares { total: 0.1, client: 0.25 };
    let mut budget = Budget::new(shares, Timestamp::ZERO);
    let mut now = Timestamp::ZERO;
    let mut flood_us = 0_u64;
    let mut steady_us = 0_u64;
    let mut steady_rejected = 0;
    // For ten seconds one client parses without a pause, another a hundred times per second; a parse takes
    // 100 µs.
    for step in 0..100_000_u64 {
        now = now + Duration::from_micros(100);
        let mut is_reserved = |client: u64| match budget.reserve(client, 42, now) {
            Reservation::Reserved(reserved) => {
                budget.correct(client, 42, reserved, Duration::from_micros(100));
                true
            }
            _ => false,
        };
        flood_us += u64::from(is_reserved(1)) * 100;
        if step % 100 == 0 {
            if is_reserved(2) { steady_us += 100 } else { steady_rejected += 1 }
        }
    }
    assert_eq!((steady_rejected, steady_us), (0, 100_000));
    // The budget of ten seconds, and the full bucket of one second at the start.
    let max_flood_us = (11e6 * shares.total * shares.client) as u64;
    assert!(flood_us <= max_flood_us + 200, "the flood used {flood_us} of {max_flood_us} µs");
    assert!(flood_us >= max_flood_us * 9 / 10, "the flood got only {flood_us} of {max_flood_us} µs");
}

#[test]
fn many_clients_together_stay_within_the_total_budget() {
    let mut budget = Budget::new(BudgetShares { total: 0.05, client: 0.5 }, Timestamp::ZERO);
    let mut spent_us = 0;
    let mut exceeded = false;
    for step in 0..200_000_u64 {
        let now = Timestamp::from_micros(step * 20);
        match budget.reserve(step % 97, 42, now) {
            Reservation::Reserved(reserved) => {
                budget.correct(step % 97, 42, reserved, Duration::from_micros(100));
                spent_us += 100;
            }
            reservation => exceeded |= reservation == Reservation::TotalExceeded,
        }
    }
    // The budget of four seconds, and the full bucket of one second at the start.
    assert!(exceeded && spent_us <= 250_200, "{spent_us} µs");
    assert!(spent_us >= 225_000, "{spent_us} µs");
}

#[test]
fn costly_shape_changes_its_cost_band_without_flapping() {
    let bounds = [Duration::from_millis(20)];
    let lookup_time = LookupTime::default();
    let mut cost = Cost::default();
    (0..50).for_each(|_| cost.record(Duration::from_micros(1_500)));
    assert_eq!(cost.band(&bounds, lookup_time, 1.0), 0);
    (0..400).for_each(|_| cost.record(Duration::from_millis(300)));
    assert_eq!(cost.band(&bounds, lookup_time, 1.0), 1, "old latencies decay");
    // Latencies alternate around the bound: the band changes at most once.
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
fn first_cost_estimate_uses_the_average_lookup_time() {
    let mut lookup_time = LookupTime::default();
    (0..1_000).for_each(|_| lookup_time.record(4.0, Duration::from_millis(40)));
    let estimated = lookup_time.estimate(2.0);
    assert!((18_000..=22_000).contains(&estimated.as_micros()), "{estimated:?}");
    // An outlier changes the average little.
    lookup_time.record(1.0, Duration::from_secs(60));
    assert!(lookup_time.estimate(2.0).as_micros() < 25_000, "{:?}", lookup_time.estimate(2.0));
}
