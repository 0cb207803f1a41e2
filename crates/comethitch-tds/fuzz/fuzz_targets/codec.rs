//! Feeds arbitrary bytes to every decoder: none may panic or exceed its limits, and a token that is cut off
//! must never be read as complete.
#![no_main]

use comethitch_tds::login::{Login, Prelogin};
use comethitch_tds::packet::MessageAssembler;
use comethitch_tds::request::{Batch, Call};
use comethitch_tds::token::{ParsedToken, TokenReader};
use libfuzzer_sys::fuzz_target;

const MAX_PAYLOAD_BYTES: usize = 1_000;

fuzz_target!(|bytes: &[u8]| {
    assemble(bytes);
    let _ = Login::read(bytes);
    let _ = Prelogin::read(bytes);
    let _ = Batch::read(bytes);
    let _ = Call::read(bytes);
    read_tokens(bytes);
});

fn assemble(bytes: &[u8]) {
    let mut message = MessageAssembler::new(MAX_PAYLOAD_BYTES);
    let _ = message.accept(bytes);
    assert!(message.payload().len() <= MAX_PAYLOAD_BYTES);
}

fn read_tokens(bytes: &[u8]) {
    let mut tokens = TokenReader::new();
    let mut position = 0;
    while let Ok(ParsedToken { length, .. }) = tokens.clone().next(&bytes[position..]) {
        assert!(length > 0 && tokens.clone().next(&bytes[position..position + length - 1]).is_err());
        let _ = tokens.next(&bytes[position..]);
        position += length;
        if tokens.is_complete() {
            break;
        }
    }
}
