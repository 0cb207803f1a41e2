//! Tests of `exchange`.

use super::query_text;
use crate::clients::ClientRequest;
use crate::ledger::Operation;
use comethitch_policy::time::{Duration, Timestamp};

const READ: ClientRequest =
    ClientRequest { operation: Operation { id: 1, sent_at: Timestamp::ZERO }, shard: 3, write: false };

#[test]
fn query_sent_again_states_the_remaining_timeout() {
    let text = |remaining| query_text(0x2a, READ, remaining);
    assert!(text(Duration::from_millis(500)).contains("id=000000000000002a,c=read,d=500,cluster=3"));
    assert!(text(Duration::from_millis(500) - Duration::from_micros(130_400)).contains(",d=369,"));
    assert!(text(Duration::ZERO).contains(",d=1,"), "a timeout of 0 would mean no timeout");
}
