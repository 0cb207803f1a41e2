//! Checks in both dialects that arbitrary bytes get a verdict and are a read only if they are UTF-8, and that
//! a read followed by a write is not a read.
#![no_main]

use comethitch_statement::{Catalogue, Classifier, Dialect, Effect, Lexer};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    let catalogue = Catalogue::default();
    for dialect in [Dialect::Postgres, Dialect::Tsql] {
        let classifier = Classifier::new(dialect, &catalogue);
        let mut lexer = Lexer::new(dialect);
        lexer.tokenize(bytes);
        if classifier.classify(&lexer).effect == Effect::Read {
            assert!(std::str::from_utf8(bytes).is_ok());
            lexer.tokenize(&[bytes, b"\n;DELETE FROM t"].concat());
            assert_ne!(classifier.classify(&lexer).effect, Effect::Read);
        }
    }
});
