use super::{HostResponse, MAX_SESSION_TOKEN_BYTES};
use comethitch_tds::packet::{INITIAL_PACKET_BYTES, MessageKind, put_packets};
use comethitch_tds::token::{code, env_change_type};
use comethitch_tds::write::{put_done, put_env_change};

/// Guards against a response whose session tokens never end, which no timeout of the host's own would end.
#[test]
fn response_with_endless_session_tokens_is_malformed() {
    let mut tokens = Vec::new();
    put_env_change(&mut tokens, env_change_type::DATABASE, "crm", "master");
    let mut packets = Vec::new();
    let repetitions = MAX_SESSION_TOKEN_BYTES / tokens.len();
    let payload = tokens.repeat(repetitions);
    put_packets(&mut packets, MessageKind::Response, INITIAL_PACKET_BYTES, &payload, 0, false);
    let mut response = HostResponse::new();
    assert_eq!(response.accept(&packets), Ok(packets.len()), "tokens up to the bound are accepted");
    put_done(&mut tokens, code::DONE, 0, 0);
    let mut surplus = Vec::new();
    put_packets(&mut surplus, MessageKind::Response, INITIAL_PACKET_BYTES, &tokens, 0, true);
    assert!(response.accept(&surplus).is_err(), "one more token exceeds the bound");
}
