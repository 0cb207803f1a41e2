//! Measures the cache of shapes against a plain LRU and a library's cache, and a flood of a million distinct
//! shapes against memory and another client's waits. Prints the tables of docs/measured/statements.md:
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

/// What a verdict holds, on the average of the corpus.
const VALUE: usize = 400;
const BOUND: usize = 1 << 20;
const LOOKUPS: usize = 400_000;

/// One look-up: a shape, and the client that asks for it.
type Lookup = (u64, u64);

fn key(number: u64) -> ShapeKey {
    Secret([5; 16]).key(&number.to_le_bytes())
}

/// A cache under test.
trait ShapeCache {
    /// Looks a shape up, and inserts it on a miss; true on a hit.
    fn look_up(&mut self, key: ShapeKey, client: u64) -> bool;
}

struct Ours(Cache<()>);

impl ShapeCache for Ours {
    fn look_up(&mut self, key: ShapeKey, client: u64) -> bool {
        let hit = self.0.get(key, client).is_some();
        if !hit {
            self.0.insert(key, (), VALUE, client);
        }
        hit
    }
}

/// The entry used longest ago goes first; its own bookkeeping is not counted against it.
struct PlainLru {
    most: usize,
    used: HashMap<ShapeKey, u64>,
    order: BTreeMap<u64, ShapeKey>,
    tick: u64,
}

impl ShapeCache for PlainLru {
    fn look_up(&mut self, key: ShapeKey, _: u64) -> bool {
        self.tick += 1;
        let before = self.used.insert(key, self.tick);
        before.map(|tick| self.order.remove(&tick));
        self.order.insert(self.tick, key);
        if self.used.len() > self.most
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.used.remove(&oldest);
        }
        before.is_some()
    }
}

struct Library(quick_cache::unsync::Cache<ShapeKey, ()>);

impl ShapeCache for Library {
    fn look_up(&mut self, key: ShapeKey, _: u64) -> bool {
        let hit = self.0.get(&key).is_some();
        if !hit {
            self.0.insert(key, ());
        }
        hit
    }
}

/// The hit rate of one client, once a quarter of all look-ups is through.
fn hits(cache: &mut dyn ShapeCache, lookups: &[Lookup], of: u64) -> f64 {
    let mut hits = 0;
    let mut all = 0;
    for (nth, (shape, client)) in lookups.iter().enumerate() {
        let hit = cache.look_up(key(*shape), *client);
        if nth > lookups.len() / 4 && *client == of {
            hits += usize::from(hit);
            all += 1;
        }
    }
    hits as f64 / all as f64
}

fn traffic() -> Vec<(&'static str, Vec<Lookup>)> {
    let mut random = SmallRng::seed_from_u64(11);
    let zipf = Zipf::new(20_000.0, 0.9).expect("a distribution");
    let draw = |random: &mut SmallRng| zipf.sample(random) as u64;
    let steady = (0..LOOKUPS).map(|_| (draw(&mut random), 1)).collect();
    let shifting = (0..LOOKUPS as u64).map(|nth| (draw(&mut random) + nth / 40_000 * 500_000, 1)).collect();
    let looping = (0..LOOKUPS as u64).map(|nth| (nth % 4_000, 1)).collect();
    let unique = (0..LOOKUPS as u64)
        .map(|nth| if nth % 2 == 0 { (draw(&mut random), 1) } else { (10_000_000 + nth, 1) })
        .collect();
    let mut repeated = Vec::new();
    while repeated.len() < LOOKUPS {
        repeated.push((draw(&mut random), 1));
        // The other client asks for each of its shapes five times in a row, and for none of them again.
        let shape = 20_000_000 + repeated.len() as u64;
        repeated.extend([(shape, 2); 5]);
    }
    let mut both = Vec::new();
    while both.len() < LOOKUPS {
        both.push((draw(&mut random) % 1_000, 1));
        both.extend((0..4).map(|_| (30_000_000 + random.random_range(0..3_000), 2)));
    }
    vec![
        ("steady: Zipf 0.9 over 20,000 shapes", steady),
        ("shifting: other shapes every 40,000 asks", shifting),
        ("looping: 4,000 shapes in turn", looping),
        ("flood of unique shapes, every second ask", unique),
        ("another client's flood, each shape five times", repeated),
        ("another client in use of 3,000 shapes, 4 asks of 5", both),
    ]
}

fn caches() {
    println!("| traffic, hits of client 1 | ours | plain LRU | quick_cache |\n| --- | --- | --- | --- |");
    for (name, lookups) in traffic() {
        let mut own = Ours(Cache::new(BOUND));
        let ours = hits(&mut own, &lookups, 1);
        // The others get as many entries as ours has in its bytes, whatever their own bookkeeping takes.
        let most = own.0.len();
        let mut plain_lru = PlainLru { most, used: HashMap::new(), order: BTreeMap::new(), tick: 0 };
        let plain = hits(&mut plain_lru, &lookups, 1);
        let library = hits(&mut Library(quick_cache::unsync::Cache::new(most)), &lookups, 1);
        println!("| {name} | {ours:.3} | {plain:.3} | {library:.3} |");
    }
}

/// The resident bytes of this process.
fn resident() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    pages.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4096
}

fn admission(limited: bool) -> StatementAdmission {
    let rules: Rules = serde_json::from_str(
        r#"{"dialect": "postgres", "disagreement": "refuse", "elsewhere": 0, "groups": [
            {"group": "read", "effects": ["read"]},
            {"group": "write", "effects": ["locking_read", "session", "unknown", "write"]}]}"#,
    )
    .expect("rules");
    let class = |effect, need| RequestClass {
        latency_objective: Duration::from_micros(1),
        timeout: Duration::from_micros(1),
        priority_weight: 1.0,
        idempotency: effect,
        deduplication_scope: DeduplicationScope::Everywhere,
        deduplication_window: Duration::ZERO,
        consistency: need,
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
        StatementAdmission::unlimited(rules, &classes, &names, secret)
    };
    admission.expect("rules")
}

/// Measures one admission under look-ups of two clients.
struct FloodRun<'a> {
    admission: StatementAdmission,
    began: Instant,
    /// The statements of the second client.
    usual: &'a [String],
    /// The second client's times before the flood, and beside it; and those of the flood, in nanoseconds.
    alone: Histogram<u64>,
    beside: Histogram<u64>,
    flooding: Histogram<u64>,
    beyond_budget: usize,
    hits: usize,
    lookups: usize,
}

const FLOODING_CLIENT: u64 = 1;
const STEADY_CLIENT: u64 = 2;
const STEADY_LOOKUPS: usize = 200_000;
const FLOOD_LOOKUPS: usize = 1_000_000;
/// One look-up of the steady client comes with so many of the flood.
const FLOOD_PER_STEADY: usize = 5;

impl<'a> FloodRun<'a> {
    fn new(limited: bool, usual: &'a [String]) -> FloodRun<'a> {
        let histogram = || Histogram::new(3).expect("a histogram");
        FloodRun {
            admission: admission(limited),
            began: Instant::now(),
            usual,
            alone: histogram(),
            beside: histogram(),
            flooding: histogram(),
            beyond_budget: 0,
            hits: 0,
            lookups: 0,
        }
    }

    /// Admits a statement; returns how long it took, in nanoseconds, and where its verdict came from.
    fn admit(&mut self, text: &str, client: u64) -> (u64, Option<VerdictSource>) {
        let began = self.began;
        let clock = || Timestamp::from_micros(began.elapsed().as_micros() as u64);
        let before = Instant::now();
        let admitted = self.admission.admit(text.as_bytes(), StatementHints::default(), client, &clock);
        (before.elapsed().as_nanos() as u64, admitted.ok().map(|admitted| admitted.source))
    }

    fn admit_usual(&mut self, nth: usize) -> (u64, Option<VerdictSource>) {
        let usual = self.usual;
        self.admit(&usual[nth % usual.len()], STEADY_CLIENT)
    }

    fn warm_up(&mut self, rounds: usize) {
        for nth in 0..rounds * self.usual.len() {
            assert!(self.admit_usual(nth).1.is_some());
        }
    }

    fn steady(&mut self) {
        for nth in 0..STEADY_LOOKUPS {
            let (nanos, _) = self.admit_usual(nth);
            self.alone.record(nanos).expect("in range");
        }
    }

    fn flood(&mut self) {
        for nth in 0..FLOOD_LOOKUPS {
            let text =
                format!("SELECT c{nth}, d{} FROM t{} WHERE e{nth} = {nth} ORDER BY f", nth / 3, nth % 977);
            let (nanos, source) = self.admit(&text, FLOODING_CLIENT);
            self.flooding.record(nanos).expect("in range");
            self.beyond_budget += usize::from(source == Some(VerdictSource::BudgetExceeded));
            if nth % FLOOD_PER_STEADY == 0 {
                let (nanos, source) = self.admit_usual(nth / FLOOD_PER_STEADY);
                self.beside.record(nanos).expect("in range");
                self.hits += usize::from(source == Some(VerdictSource::CacheHit));
                self.lookups += 1;
            }
        }
    }

    fn print(&self, budget: &str, grown: usize) {
        println!("\n| a million distinct shapes, {budget} | |\n| --- | --- |");
        println!("| the cache's bound | {} KiB |", self.admission.rules().cache.kib);
        println!("| held by its own count | {} KiB |", self.admission.memory_bytes() >> 10);
        println!("| resident, grown from before the cache was made | {} KiB |", grown >> 10);
        let parsed = FLOOD_LOOKUPS - self.beyond_budget;
        println!("| parsed, and beyond the budget | {parsed}, {} |", self.beyond_budget);
        println!("| the second client's hits | {} of {} |", self.hits, self.lookups);
        for (name, histogram) in [
            ("second client alone", &self.alone),
            ("second client beside the flood", &self.beside),
            ("the flood itself", &self.flooding),
        ] {
            let micros = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
            let (median, high) = (micros(0.5), micros(0.999));
            println!("| {name}: median, 99.9th percentile | {median:.2} µs, {high:.2} µs |");
        }
    }
}

fn flood(limited: bool) {
    let usual: Vec<String> =
        (0..200).map(|nth| format!("SELECT a{nth} FROM facts WHERE code = 'k'")).collect();
    // All that is built once, as the lists of functions, is there before memory is measured.
    FloodRun::new(false, &usual).warm_up(1);
    let before = resident();
    let mut run = FloodRun::new(limited, &usual);
    run.warm_up(3);
    run.steady();
    run.flood();
    let grown = resident().saturating_sub(before);
    run.print(if limited { "by the budget" } else { "all parsed" }, grown);
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("flood") => flood(true),
        Some("unlimited") => flood(false),
        // Each flood in a process of its own: what one leaves to the allocator would hide what the next takes.
        _ => {
            caches();
            let own = std::env::current_exe().expect("this program");
            for flood in ["flood", "unlimited"] {
                let ended = std::process::Command::new(&own).arg(flood).status();
                assert!(ended.expect("started").success());
            }
        }
    }
}
