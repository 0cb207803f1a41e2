//! Measures the cache of shapes against a plain LRU and a library's cache, and a flood of a million distinct
//! shapes against memory and another client's waits. Prints the tables of docs/measured/statements.md:
//!
//!     cargo run --release -p comethitch-statement --example shapes

use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{CommandGroup, Consistency, DeduplicationScope, Idempotency};
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
const ASKED: usize = 400_000;

/// One ask: a shape, and the client that asks.
type Ask = (u64, u64);

fn key(number: u64) -> ShapeKey {
    Secret([5; 16]).key(&number.to_le_bytes())
}

trait Kept {
    fn ask(&mut self, key: ShapeKey, client: u64) -> bool;
}

struct Ours(Cache<()>);

impl Kept for Ours {
    fn ask(&mut self, key: ShapeKey, client: u64) -> bool {
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

impl Kept for PlainLru {
    fn ask(&mut self, key: ShapeKey, _: u64) -> bool {
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

impl Kept for Library {
    fn ask(&mut self, key: ShapeKey, _: u64) -> bool {
        let hit = self.0.get(&key).is_some();
        if !hit {
            self.0.insert(key, ());
        }
        hit
    }
}

/// The part of the asks of one client that hit, once a quarter of all is through.
fn hits(kept: &mut dyn Kept, asks: &[Ask], of: u64) -> f64 {
    let (mut hits, mut all) = (0, 0);
    for (nth, (shape, client)) in asks.iter().enumerate() {
        let hit = kept.ask(key(*shape), *client);
        if nth > asks.len() / 4 && *client == of {
            hits += usize::from(hit);
            all += 1;
        }
    }
    hits as f64 / all as f64
}

fn traffic() -> Vec<(&'static str, Vec<Ask>)> {
    let mut random = SmallRng::seed_from_u64(11);
    let zipf = Zipf::new(20_000.0, 0.9).expect("a distribution");
    let draw = |random: &mut SmallRng| zipf.sample(random) as u64;
    let steady = (0..ASKED).map(|_| (draw(&mut random), 1)).collect();
    let shifting = (0..ASKED as u64).map(|nth| (draw(&mut random) + nth / 40_000 * 500_000, 1)).collect();
    let looping = (0..ASKED as u64).map(|nth| (nth % 4_000, 1)).collect();
    let unique = (0..ASKED as u64)
        .map(|nth| if nth % 2 == 0 { (draw(&mut random), 1) } else { (10_000_000 + nth, 1) })
        .collect();
    let mut repeated = Vec::new();
    while repeated.len() < ASKED {
        repeated.push((draw(&mut random), 1));
        // The other client asks for each of its shapes five times in a row, and for none of them again.
        let shape = 20_000_000 + repeated.len() as u64;
        repeated.extend([(shape, 2); 5]);
    }
    let mut both = Vec::new();
    while both.len() < ASKED {
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
    for (name, asks) in traffic() {
        let mut own = Ours(Cache::new(BOUND));
        let ours = hits(&mut own, &asks, 1);
        // The others get as many entries as ours has in its bytes, whatever their own bookkeeping takes.
        let most = own.0.len();
        let (used, order) = (HashMap::new(), BTreeMap::new());
        let plain = hits(&mut PlainLru { most, used, order, tick: 0 }, &asks, 1);
        let library = hits(&mut Library(quick_cache::unsync::Cache::new(most)), &asks, 1);
        println!("| {name} | {ours:.3} | {plain:.3} | {library:.3} |");
    }
}

/// The resident bytes of this process.
fn resident() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    pages.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4096
}

fn desk(limited: bool) -> StatementAdmission {
    let rules: Rules = serde_json::from_str(
        r#"{"dialect": "postgres", "disagreement": "refuse", "elsewhere": 0, "groups": [
            {"group": "read", "effects": ["read"]},
            {"group": "write", "effects": ["locking_read", "session", "unknown", "write"]}]}"#,
    )
    .expect("rules");
    let group = |effect, need| CommandGroup {
        latency_objective: Duration::from_micros(1),
        timeout: Duration::from_micros(1),
        priority_weight: 1.0,
        idempotency: effect,
        deduplication_scope: DeduplicationScope::Everywhere,
        deduplication_window: Duration::ZERO,
        consistency: need,
    };
    let groups = [
        group(Idempotency::Idempotent, Consistency::Eventual),
        group(Idempotency::NonIdempotent, Consistency::Write),
    ];
    let names = ["read".into(), "write".into()];
    match limited {
        true => {
            StatementAdmission::new(rules, &groups, &names, Secret([5; 16]), Timestamp::ZERO).expect("rules")
        }
        false => StatementAdmission::unlimited(rules, &groups, &names, Secret([5; 16])).expect("rules"),
    }
}

fn flood(limited: bool) {
    let began = Instant::now();
    let clock = || Timestamp::from_micros(began.elapsed().as_micros() as u64);
    // All that is built once, as the lists of functions, is there before the first look.
    let usual: Vec<String> =
        (0..200).map(|nth| format!("SELECT a{nth} FROM facts WHERE code = 'k'")).collect();
    let ask = |desk: &mut StatementAdmission, text: &str, client: u64| {
        let before = Instant::now();
        let path = desk
            .admit(text.as_bytes(), StatementHints::default(), client, &clock)
            .map(|passed| passed.source);
        (before.elapsed(), path)
    };
    let mut first = desk(false);
    usual.iter().for_each(|text| assert!(ask(&mut first, text, 2).1.is_ok()));
    drop(first);
    let before = resident();
    let mut desk = desk(limited);
    for _ in 0..3 {
        usual.iter().for_each(|text| assert!(ask(&mut desk, text, 2).1.is_ok()));
    }
    let mut alone = Histogram::<u64>::new(3).expect("a histogram");
    let mut beside = Histogram::<u64>::new(3).expect("a histogram");
    let mut flooding = Histogram::<u64>::new(3).expect("a histogram");
    for nth in 0..200_000 {
        let (took, _) = ask(&mut desk, &usual[nth % usual.len()], 2);
        alone.record(took.as_nanos() as u64).expect("in range");
    }
    let (mut hit, mut asked, mut beyond) = (0, 0, 0);
    for nth in 0..1_000_000_usize {
        let text = format!("SELECT c{nth}, d{} FROM t{} WHERE e{nth} = {nth} ORDER BY f", nth / 3, nth % 977);
        let (took, path) = ask(&mut desk, &text, 1);
        flooding.record(took.as_nanos() as u64).expect("in range");
        beyond += usize::from(path == Ok(VerdictSource::BudgetExceeded));
        if nth % 5 == 0 {
            let (took, path) = ask(&mut desk, &usual[nth / 5 % usual.len()], 2);
            beside.record(took.as_nanos() as u64).expect("in range");
            hit += usize::from(path == Ok(VerdictSource::CacheHit));
            asked += 1;
        }
    }
    let grown = resident().saturating_sub(before);
    let budget = if limited { "by the budget" } else { "all parsed" };
    println!("\n| a million distinct shapes, {budget} | |\n| --- | --- |");
    println!("| the cache's bound | {} KiB |", desk.rules().cache.kib);
    println!("| held by its own count | {} KiB |", desk.held() >> 10);
    println!("| resident, grown from before the cache was made | {} KiB |", grown >> 10);
    println!("| parsed, and beyond the budget | {}, {beyond} |", 1_000_000 - beyond);
    println!("| the second client's hits | {hit} of {asked} |");
    let at = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    for (name, histogram) in [
        ("second client alone", &alone),
        ("second client beside the flood", &beside),
        ("the flood itself", &flooding),
    ] {
        let (half, most) = (at(histogram, 0.5), at(histogram, 0.999));
        println!("| {name}: median, 99.9th percentile | {half:.2} µs, {most:.2} µs |");
    }
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
