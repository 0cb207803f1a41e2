//! Measures the time to classify a statement on a cache hit, on a miss and beyond the parsing budget, and the
//! lexer's throughput by length.

use comethitch_statement::{Catalogue, Classifier, Dialect, Lexer, Secret, cache::Cache};
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use std::hint::black_box;

/// A join of two tables, of about a hundred bytes.
const ORDINARY: &str = "SELECT f.data, c.titulo FROM facts f JOIN capitulos c ON c.id = f.id \
    WHERE f.code = '7f3a9c21' AND c.n > 3";
/// A lookup of one row by its key.
const LOOKUP: &str = "SELECT data FROM facts WHERE code = '7f3a9c21e0b4d655'";

fn admission_paths(criterion: &mut Criterion) {
    let secret = Secret([9; 16]);
    let catalogue = Catalogue::default();
    let classifier = Classifier::new(Dialect::Postgres, &catalogue);
    let mut group = criterion.benchmark_group("ways");
    for (name, text) in [("100 bytes", ORDINARY), ("54 bytes", LOOKUP)] {
        let mut lexer = Lexer::new(Dialect::Postgres);
        let mut cache = Cache::new(4 << 20);
        lexer.tokenize(text.as_bytes());
        cache.insert(secret.key(lexer.shape()), classifier.classify(&lexer), 500, 1);
        group.bench_function(BenchmarkId::new("hit", name), |bench| {
            bench.iter(|| {
                lexer.tokenize(black_box(text.as_bytes()));
                let key = secret.key(lexer.shape());
                cache.get(key, 1).map(|verdict| verdict.effect)
            });
        });
        group.bench_function(BenchmarkId::new("miss", name), |bench| {
            bench.iter(|| {
                lexer.tokenize(black_box(text.as_bytes()));
                classifier.classify(&lexer).effect
            });
        });
        group.bench_function(BenchmarkId::new("beyond the budget", name), |bench| {
            bench.iter(|| {
                lexer.tokenize(black_box(text.as_bytes()));
                classifier.classify_unparsed(&lexer, "spent").effect
            });
        });
    }
    group.finish();
}

fn lexer_throughput(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("reading by length");
    for kib in [1_usize, 32, 1024] {
        let text = format!("SELECT a FROM t WHERE b IN ({}1)", "1234567, ".repeat((kib << 10) / 9));
        let text = &text[..text.len().min(kib << 10)];
        let mut lexer = Lexer::new(Dialect::Postgres);
        group.throughput(Throughput::Bytes(text.len() as u64));
        group.bench_function(BenchmarkId::from_parameter(format!("{kib} KiB")), |bench| {
            bench.iter(|| lexer.tokenize(black_box(text.as_bytes())));
        });
    }
    group.finish();
}

criterion_group!(benches, admission_paths, lexer_throughput);
criterion_main!(benches);
