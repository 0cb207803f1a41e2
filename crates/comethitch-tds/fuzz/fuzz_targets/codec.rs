//! Any bytes are read, or told to be none, within their bounds; what is cut off is never taken for whole.
#![no_main]

use comethitch_tds::login::{Login, Prelogin};
use comethitch_tds::packet::Assembly;
use comethitch_tds::request::{Batch, Call};
use comethitch_tds::token::Tokens;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    let mut message = Assembly::new(1_000);
    let _ = message.take(bytes);
    assert!(message.payload().len() <= 1_000);
    let _ = (Login::read(bytes), Prelogin::read(bytes), Batch::read(bytes), Call::read(bytes));
    let (mut tokens, mut at) = (Tokens::new(), 0);
    while let Ok((_, length)) = tokens.clone().next(&bytes[at..]) {
        assert!(length > 0 && tokens.clone().next(&bytes[at..at + length - 1]).is_err());
        let _ = tokens.next(&bytes[at..]);
        at += length;
        if tokens.over() {
            break;
        }
    }
});
