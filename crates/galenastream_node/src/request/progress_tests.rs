//! Tests of the limits of a request's attempts.

use galenastream_ranges::TargetIncarnation;
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

/// Guards against a request that is given up since a target whose limit may have ended refused it.
#[test]
fn the_refusal_of_a_trial_does_not_count() {
    let mut progress = Progress::new();
    let refused =
        ForwardedReply { reason: ReplyReason::RateLimited as i32, ..ForwardedReply::default() };
    let target = TargetIncarnation::new("t-1", 0);
    assert!(progress.may_try_limit());
    progress.begin_trial(&target);
    assert!(progress.record_not_sent(&refused));
    progress.tried.push(target);
    assert!(!progress.may_try_limit(), "one trial for each request");
    let may_continue = [0; 3].map(|_| progress.record_not_sent(&refused));
    assert_eq!(may_continue, [true, true, false]);
}
