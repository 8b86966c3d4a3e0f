//! Tests of the replies of other nodes that count as answers.

use galenastream_adapter::header_names;
use galenastream_wire::{ForwardedReply, Header, ReplyOutcome};

use super::attempt::is_proved;

/// Guards against a reply of another node whose status is no status of HTTP. Its caller would get
/// another status, with the signature of the target.
#[test]
fn a_reply_with_an_invalid_status_is_no_answer() {
    let signature = Header { name: header_names::SIGNATURE.to_owned(), value: "signed".into() };
    let reply = |status| ForwardedReply {
        outcome: ReplyOutcome::Answered as i32,
        status,
        headers: vec![signature.clone()],
        ..Default::default()
    };
    for status in [0, 1, 99, 100, 103, 199, 600, 999, 65_736, u32::MAX] {
        assert!(!is_proved(&reply(status)), "{status}");
    }
    for status in [200, 204, 304, 404, 500, 599] {
        assert!(is_proved(&reply(status)), "{status}");
    }
}
