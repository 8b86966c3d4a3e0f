//! Tests of the requests that are sent to a target to find out whether its limit has ended.

use std::time::Duration;

use galenastream_routing::{
    Admission, AdmissionLimits, AdmitDecision, Class, Deadline, LimitTrials, NodeKey, RequestRate,
};
use galenastream_utils::BootInstant;

const TARGET: NodeKey = NodeKey(1);

/// The largest deployment to design for.
const NODES: usize = 7_700;

/// Time between two requests of a node for the service.
const STEP_MS: u64 = 100;

/// The target wants a trial when it has got no request for this long.
const TRIAL_AFTER_MS: u64 = 2_000;

/// Time after which all nodes know a change at the node beside the target: half a second until it is
/// published, and a status each second.
const STATUS_DELAY_MS: u64 = 1_500;

fn at(ms: u64) -> BootInstant {
    BootInstant::new(0) + Duration::from_millis(1_000_000 + ms)
}

/// Replays a limit of zero. The nodes with an index below `senders` have requests for the service in
/// every step. Returns when the trials are sent; the first one of those that the nodes send while a
/// trial is wanted starts at the target.
fn trial_times_ms(senders: usize, end_ms: u64) -> Vec<u64> {
    let mut nodes: Vec<_> = (0..senders).map(|it| LimitTrials::new(it as u64)).collect();
    let (mut last_start_ms, mut wanted_since_ms, mut known_until_ms) = (0, None, 0);
    let mut sent = Vec::new();
    for now_ms in (0..end_ms).step_by(STEP_MS as usize) {
        if wanted_since_ms.is_some() && now_ms >= known_until_ms {
            wanted_since_ms = None;
        }
        let wanted_at_ms = last_start_ms + TRIAL_AFTER_MS + STATUS_DELAY_MS;
        if wanted_since_ms.is_none() && now_ms >= wanted_at_ms {
            (wanted_since_ms, known_until_ms) = (Some(now_ms), u64::MAX);
        }
        let Some(since_ms) = wanted_since_ms else {
            continue;
        };
        for node in &mut nodes {
            if !node.is_due(TARGET, at(since_ms), NODES, at(now_ms)) {
                continue;
            }
            node.begin(TARGET, at(now_ms));
            sent.push(now_ms);
            if known_until_ms == u64::MAX {
                (last_start_ms, known_until_ms) = (now_ms, now_ms + STATUS_DELAY_MS);
            }
        }
    }
    sent
}

/// Guards against thousands of nodes that all try a target whose limit stays at zero.
#[test]
fn few_requests_of_many_nodes_go_to_a_target_whose_limit_of_zero_lasts() {
    let minutes = 10;
    let sent = trial_times_ms(NODES, minutes * 60_000);
    let per_s = sent.len() as f64 / (minutes * 60) as f64;
    assert!(per_s > 0.2, "{per_s} trials per second");
    assert!(per_s < 20.0, "{per_s} trials per second from {NODES} nodes");
}

#[test]
fn a_single_node_with_requests_sends_a_trial_within_seconds() {
    for _ in 0..20 {
        let sent = trial_times_ms(1, 60_000);
        assert!(sent.len() >= 5, "{sent:?}");
        let longest = sent.windows(2).map(|it| it[1] - it[0]).max().unwrap_or(u64::MAX);
        assert!(longest < 12_000, "{sent:?}");
    }
}

#[test]
fn a_node_of_a_small_deployment_sends_a_trial_at_once_and_not_again_for_some_time() {
    let mut trials = LimitTrials::new(1);
    assert!(trials.is_due(TARGET, at(0), 4, at(0)));
    trials.begin(TARGET, at(0));
    assert!(!trials.is_due(TARGET, at(0), 4, at(2_900)));
    assert!(trials.is_due(TARGET, at(0), 4, at(3_000)));
    assert!(trials.is_due(NodeKey(2), at(0), 4, at(10)), "each target has its own trials");
}

/// Guards against a request that waits for a token although another target could run it at once.
#[test]
fn a_request_with_alternatives_does_not_wait_for_a_target_with_a_limit_close_to_zero() {
    let limits = AdmissionLimits {
        slots: 8,
        queue_limit: 16,
        queue_wait_ms: 10_000,
        retry_after_ms: 100,
        ramp_up_ms: 0,
    };
    let class = Class::new(0, 100);
    let mut admission = Admission::new(limits, at(0));
    admission.set_request_limit(at(0), Some(RequestRate::new(0)));
    let mut arrive = |ms: u64, class: Class| {
        admission.arrive(at(ms), class, Deadline::new(at(ms), 3_000)).decision
    };
    let refused = arrive(1_500, class.with_alternatives(true));
    assert!(matches!(refused, AdmitDecision::Shed { .. }), "{refused:?}");
    assert_eq!(arrive(2_000, class.with_alternatives(true)), AdmitDecision::Start);
    let refused = arrive(2_100, class.with_alternatives(true));
    assert!(matches!(refused, AdmitDecision::Shed { .. }), "{refused:?}");
    let waits = arrive(2_100, class);
    assert!(matches!(waits, AdmitDecision::Wait { .. }), "{waits:?}");
}
