//! Tests of the limits of a request's attempts.

use galenastream_wire::{ForwardedReply, ReplyReason};

use super::progress::Progress;

/// Guards against short requests that are refused at the only target of their service.
#[test]
fn the_last_target_of_a_request_has_no_alternative() {
    let mut progress = Progress::new();
    assert!(progress.has_alternatives(2));
    assert!(!progress.has_alternatives(1));
    let refused =
        ForwardedReply { reason: ReplyReason::Overloaded as i32, ..ForwardedReply::default() };
    let may_continue = [0; 3].map(|_| progress.record_not_sent(&refused));
    assert_eq!(may_continue, [true, true, false]);
    assert!(!progress.has_alternatives(20));
}
