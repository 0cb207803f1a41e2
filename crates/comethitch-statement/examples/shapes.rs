//! Compares the cache of shapes with a plain LRU and a library's cache, and measures the effect of a flood of
//! a million distinct shapes on memory and on another client's latency. Prints the tables of
//! docs/measured/statements.md:
//!
//!     cargo run --release -p comethitch-statement --example shapes

use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Consistency, DeduplicationScope, Idempotency, RequestClass};
use comethitch_statement::admission::{StatementAdmission, StatementHints, VerdictSource};
use comethitch_statement::cache::Cache;
use comethitch_statement::{Rules, Secret, ShapeKey};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Zipf};
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// The average size of a verdict in the corpus.
const VALUE_BYTES: usize = 400;
const CACHE_BYTES: usize = 1 << 20;
const LOOKUPS: usize = 400_000;

/// One lookup of a shape by a client.
#[derive(Clone, Copy)]
struct Lookup {
    shape: u64,
    client: u64,
}

fn key(number: u64) -> ShapeKey {
    Secret([5; 16]).key(&number.to_le_bytes())
}

/// A cache under test.
trait ShapeCache {
    /// Looks up a shape, and inserts it on a miss. Returns whether it was a hit.
    fn look_up(&mut self, key: ShapeKey, client: u64) -> bool;
}

/// The cache of this crate.
struct OwnCache(Cache<()>);

impl ShapeCache for OwnCache {
    fn look_up(&mut self, key: ShapeKey, client: u64) -> bool {
        let hit = self.0.get(key, client).is_some();
        if !hit {
            self.0.insert(key, (), VALUE_BYTES, client);
        }
        hit
    }
}

/// Evicts the least recently used entry. Its limit does not include its bookkeeping.
struct PlainLru {
    max_entries: usize,
    /// The number of the last lookup of each key.
    last_lookups: HashMap<ShapeKey, u64>,
    /// The keys by the number of their last lookup.
    keys_by_lookup: BTreeMap<u64, ShapeKey>,
    /// Number of lookups so far.
    lookups: u64,
}

impl ShapeCache for PlainLru {
    fn look_up(&mut self, key: ShapeKey, _: u64) -> bool {
        self.lookups += 1;
        let previous = self.last_lookups.insert(key, self.lookups);
        previous.map(|lookup| self.keys_by_lookup.remove(&lookup));
        self.keys_by_lookup.insert(self.lookups, key);
        if self.last_lookups.len() > self.max_entries
            && let Some((_, oldest)) = self.keys_by_lookup.pop_first()
        {
            self.last_lookups.remove(&oldest);
        }
        previous.is_some()
    }
}

/// The cache of the crate `quick_cache`.
struct QuickCache(quick_cache::unsync::Cache<ShapeKey, ()>);

impl ShapeCache for QuickCache {
    fn look_up(&mut self, key: ShapeKey, _: u64) -> bool {
        let hit = self.0.get(&key).is_some();
        if !hit {
            self.0.insert(key, ());
        }
        hit
    }
}

/// Returns the hit rate of one client in the last three quarters of the lookups.
fn hit_rate(cache: &mut dyn ShapeCache, lookups: &[Lookup], client: u64) -> f64 {
    let mut hits = 0;
    let mut total = 0;
    for (index, lookup) in lookups.iter().enumerate() {
        let hit = cache.look_up(key(lookup.shape), lookup.client);
        if index > lookups.len() / 4 && lookup.client == client {
            hits += usize::from(hit);
            total += 1;
        }
    }
    hits as f64 / total as f64
}

/// Returns the lookups of each kind of traffic, with its name in the table.
fn traffic_patterns() -> Vec<(&'static str, Vec<Lookup>)> {
    let mut random = SmallRng::seed_from_u64(11);
    let zipf = Zipf::new(20_000.0, 0.9).expect("valid parameters of the distribution");
    let draw = |random: &mut SmallRng| zipf.sample(random) as u64;
    let by_first = |shape| Lookup { shape, client: 1 };
    let by_second = |shape| Lookup { shape, client: 2 };
    let steady = (0..LOOKUPS).map(|_| by_first(draw(&mut random))).collect();
    let shifting =
        (0..LOOKUPS as u64).map(|index| by_first(draw(&mut random) + index / 40_000 * 500_000)).collect();
    let looping = (0..LOOKUPS as u64).map(|index| by_first(index % 4_000)).collect();
    let unique = (0..LOOKUPS as u64)
        .map(|index| by_first(if index % 2 == 0 { draw(&mut random) } else { 10_000_000 + index }))
        .collect();
    let mut repeated = Vec::new();
    while repeated.len() < LOOKUPS {
        repeated.push(by_first(draw(&mut random)));
        // The second client looks up each of its shapes five times in a row, and never again.
        let shape = 20_000_000 + repeated.len() as u64;
        repeated.extend([by_second(shape); 5]);
    }
    let mut both = Vec::new();
    while both.len() < LOOKUPS {
        both.push(by_first(draw(&mut random) % 1_000));
        both.extend((0..4).map(|_| by_second(30_000_000 + random.random_range(0..3_000))));
    }
    vec![
        ("steady: Zipf 0.9 over 20,000 shapes", steady),
        ("shifting: other shapes every 40,000 lookups", shifting),
        ("looping: 4,000 shapes in turn", looping),
        ("flood of unique shapes, every second lookup", unique),
        ("another client's flood, each shape five times", repeated),
        ("another client with 3,000 shapes, 4 lookups of 5", both),
    ]
}

fn compare_caches() {
    println!("| traffic, hit rate of client 1 | own | plain LRU | quick_cache |\n| --- | --- | --- | --- |");
    for (name, lookups) in traffic_patterns() {
        let mut own = OwnCache(Cache::new(CACHE_BYTES));
        let own_rate = hit_rate(&mut own, &lookups, 1);
        // The other caches may hold as many entries as the own cache did, whose limit includes its
        // bookkeeping.
        let max_entries = own.0.len();
        let mut plain_lru = PlainLru {
            max_entries,
            last_lookups: HashMap::new(),
            keys_by_lookup: BTreeMap::new(),
            lookups: 0,
        };
        let plain_rate = hit_rate(&mut plain_lru, &lookups, 1);
        let mut quick_cache = QuickCache(quick_cache::unsync::Cache::new(max_entries));
        let quick_cache_rate = hit_rate(&mut quick_cache, &lookups, 1);
        println!("| {name} | {own_rate:.3} | {plain_rate:.3} | {quick_cache_rate:.3} |");
    }
}

/// Returns the resident set size of this process, assuming pages of 4 KiB; 0 if it cannot be read.
fn resident_bytes() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    pages.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4096
}

/// Creates an admission, with the default parsing budget if `limited`.
fn admission(limited: bool) -> StatementAdmission {
    let rules: Rules = serde_json::from_str(
        r#"{"dialect": "postgres", "disagreement": "refuse", "elsewhere": 0, "groups": [
            {"group": "read", "effects": ["read"]},
            {"group": "write", "effects": ["locking_read", "session", "unknown", "write"]}]}"#,
    )
    .expect("the rules have the form of the schema");
    let class = |idempotency, consistency| RequestClass {
        latency_objective: Duration::from_micros(1),
        timeout: Duration::from_micros(1),
        priority_weight: 1.0,
        idempotency,
        deduplication_scope: DeduplicationScope::Everywhere,
        deduplication_window: Duration::ZERO,
        consistency,
    };
    let classes = [
        class(Idempotency::Idempotent, Consistency::Eventual),
        class(Idempotency::NonIdempotent, Consistency::Write),
    ];
    let names = ["read".into(), "write".into()];
    let secret = Secret([5; 16]);
    let admission = if limited {
        StatementAdmission::new(rules, &classes, &names, secret, Timestamp::ZERO)
    } else {
        StatementAdmission::without_parsing_budget(rules, &classes, &names, secret)
    };
    admission.expect("the rules are valid")
}

/// Measures admission under the lookups of two clients, of which one floods it with distinct shapes.
struct FloodRun<'a> {
    admission: StatementAdmission,
    started_at: Instant,
    /// The statements of the steady client.
    steady_statements: &'a [String],
    /// The steady client's admission times before the flood.
    steady_before_ns: Histogram<u64>,
    /// The steady client's admission times during the flood.
    steady_during_ns: Histogram<u64>,
    flood_ns: Histogram<u64>,
    /// Number of the flood's lookups that exceeded the parsing budget.
    over_budget: usize,
    /// Number of the steady client's cache hits during the flood.
    steady_hits: usize,
    /// Number of the steady client's lookups during the flood.
    steady_lookups: usize,
}

const FLOODING_CLIENT: u64 = 1;
const STEADY_CLIENT: u64 = 2;
const STEADY_LOOKUPS: usize = 200_000;
const FLOOD_LOOKUPS: usize = 1_000_000;
/// Lookups of the flood per lookup of the steady client.
const FLOOD_PER_STEADY: usize = 5;

impl<'a> FloodRun<'a> {
    fn new(limited: bool, steady_statements: &'a [String]) -> FloodRun<'a> {
        let histogram = || Histogram::new(3).expect("valid number of significant digits");
        FloodRun {
            admission: admission(limited),
            started_at: Instant::now(),
            steady_statements,
            steady_before_ns: histogram(),
            steady_during_ns: histogram(),
            flood_ns: histogram(),
            over_budget: 0,
            steady_hits: 0,
            steady_lookups: 0,
        }
    }

    fn admit(&mut self, text: &str, client: u64) -> MeasuredAdmission {
        let started_at = self.started_at;
        let clock = || Timestamp::from_micros(started_at.elapsed().as_micros() as u64);
        let before = Instant::now();
        let admitted = self.admission.admit(text.as_bytes(), StatementHints::default(), client, &clock);
        let elapsed_ns = before.elapsed().as_nanos() as u64;
        MeasuredAdmission { elapsed_ns, source: admitted.ok().map(|admitted| admitted.source) }
    }

    fn admit_steady(&mut self, index: usize) -> MeasuredAdmission {
        let statements = self.steady_statements;
        self.admit(&statements[index % statements.len()], STEADY_CLIENT)
    }

    fn warm_up(&mut self, rounds: usize) {
        for index in 0..rounds * self.steady_statements.len() {
            assert!(self.admit_steady(index).source.is_some());
        }
    }

    fn run_steady_client(&mut self) {
        for index in 0..STEADY_LOOKUPS {
            let admission = self.admit_steady(index);
            self.steady_before_ns.record(admission.elapsed_ns).expect("in range");
        }
    }

    fn run_flood(&mut self) {
        for n in 0..FLOOD_LOOKUPS {
            let text = format!("SELECT c{n}, d{} FROM t{} WHERE e{n} = {n} ORDER BY f", n / 3, n % 977);
            let admission = self.admit(&text, FLOODING_CLIENT);
            self.flood_ns.record(admission.elapsed_ns).expect("in range");
            self.over_budget += usize::from(admission.source == Some(VerdictSource::BudgetExceeded));
            if n % FLOOD_PER_STEADY == 0 {
                let admission = self.admit_steady(n / FLOOD_PER_STEADY);
                self.steady_during_ns.record(admission.elapsed_ns).expect("in range");
                self.steady_hits += usize::from(admission.source == Some(VerdictSource::CacheHit));
                self.steady_lookups += 1;
            }
        }
    }

    fn print(&self, budget: &str, resident_growth_bytes: usize) {
        println!("\n| a million distinct shapes, {budget} | |\n| --- | --- |");
        println!("| cache limit | {} KiB |", self.admission.rules().cache.kib);
        println!("| cache size by its own count | {} KiB |", self.admission.memory_bytes() >> 10);
        println!("| growth of resident memory with the cache | {} KiB |", resident_growth_bytes >> 10);
        let parsed = FLOOD_LOOKUPS - self.over_budget;
        println!("| parsed, and beyond the budget | {parsed}, {} |", self.over_budget);
        println!("| steady client's hits | {} of {} |", self.steady_hits, self.steady_lookups);
        for (name, histogram) in [
            ("steady client before the flood", &self.steady_before_ns),
            ("steady client during the flood", &self.steady_during_ns),
            ("flooding client", &self.flood_ns),
        ] {
            let micros = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
            let (median, high) = (micros(0.5), micros(0.999));
            println!("| {name}: median, 99.9th percentile | {median:.2} µs, {high:.2} µs |");
        }
    }
}

/// One admission with its duration.
struct MeasuredAdmission {
    elapsed_ns: u64,
    /// `None` if the statement was rejected.
    source: Option<VerdictSource>,
}

fn measure_flood(limited: bool) {
    let statements: Vec<String> =
        (0..200).map(|n| format!("SELECT a{n} FROM facts WHERE code = 'k'")).collect();
    // Allocates what is built only once, such as the lists of functions, before memory is measured.
    FloodRun::new(false, &statements).warm_up(1);
    let before = resident_bytes();
    let mut run = FloodRun::new(limited, &statements);
    run.warm_up(3);
    run.run_steady_client();
    run.run_flood();
    let growth = resident_bytes().saturating_sub(before);
    run.print(if limited { "by the budget" } else { "all parsed" }, growth);
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("flood") => measure_flood(true),
        Some("unlimited") => measure_flood(false),
        // Each flood runs in a process of its own, since memory that the allocator keeps after one flood
        // would hide the growth during the next.
        _ => {
            compare_caches();
            let program = std::env::current_exe().expect("the path of this program is known");
            for flood in ["flood", "unlimited"] {
                let status = std::process::Command::new(&program).arg(flood).status();
                assert!(status.expect("the process started").success(), "the run {flood} failed");
            }
        }
    }
}
