//! Tests of targets that announce a request limit.

use std::time::{Duration, Instant};

use galenastream_standin::{TargetAnnouncement, TargetArrival};

use super::{
    announcement_load::{SentRequest, load_path},
    deployment::start,
};

/// The announced limit in requests per second, far below what the callers send.
const LIMIT_PER_S: f64 = 12.0;

/// The bounds of the platform's rule: from this time after the first announcement, a target gets at
/// most [`MAX_RATIO`] of its limit and [`MAX_EXTRA`] requests in any [`WINDOW`].
const STABLE_TIME: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const MAX_RATIO: f64 = 1.5;
const MAX_EXTRA: f64 = 5.0;

/// The least share of its limit that a target gets while callers want more.
const MIN_RATIO: f64 = 0.9;

/// The longest time in which a request is answered that would have to wait past its target latency
/// of 900 ms.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1_000);

fn limit(per_s: f64) -> TargetAnnouncement {
    TargetAnnouncement { limit: Some(per_s.to_string()), is_leaving: false }
}

/// Returns the most arrivals in any window that starts at `from` or later.
fn most_in_window(arrivals: &[TargetArrival], from: Instant) -> usize {
    let counted: Vec<Instant> =
        arrivals.iter().map(|it| it.arrived_at).filter(|it| *it >= from).collect();
    let windows = counted.iter().enumerate().map(|(index, first)| {
        counted[index..].iter().take_while(|it| **it < *first + WINDOW).count()
    });
    windows.max().unwrap_or(0)
}

fn assert_limited(arrivals: &[TargetArrival], announced_at: Instant, per_s: f64) {
    let most = most_in_window(arrivals, announced_at + STABLE_TIME) as f64;
    let allowed = per_s * MAX_RATIO * WINDOW.as_secs_f64() + MAX_EXTRA;
    assert!(most <= allowed, "{most} requests in {WINDOW:?}, {allowed} allowed");
}

/// Asserts that a target gets its limit, and that the other requests are refused in time, with a
/// time to come back.
fn assert_served(sent: &[SentRequest], announced_at: Instant) {
    let from = announced_at + STABLE_TIME;
    let answered: Vec<_> = sent.iter().filter(|it| it.sent_at >= from).collect();
    let first = answered.iter().map(|it| it.sent_at).min().expect("requests were sent");
    let last = answered.iter().map(|it| it.answered_at).max().expect("requests were sent");
    let served = answered.iter().filter(|it| it.status() == 200).count() as f64;
    let wanted = LIMIT_PER_S * MIN_RATIO * (last - first).as_secs_f64();
    assert!(served >= wanted, "{served} served in {:?}, {wanted} wanted", last - first);
    for request in answered {
        assert!(matches!(request.status(), 200 | 503), "{request:?}");
        let took = request.answered_at - request.sent_at;
        assert!(took < MAX_ANSWER_TIME, "{took:?}: {request:?}");
        let retry_after = request.answer.as_ref().and_then(|it| it.header("retry-after"));
        assert_eq!(retry_after.is_some(), request.status() == 503, "{request:?}");
    }
}

/// Guards against admission that ignores the request limit of its target.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_without_keys_gets_no_more_requests_than_its_limit_allows() {
    let deployment = start("limit", &["stock", "carts", "carts"]).await;
    let target = &deployment.vms[0].target;
    target.announce(limit(LIMIT_PER_S));
    let announced_at = Instant::now();
    let sent = load_path(&deployment, "/stock/1", false, STABLE_TIME + WINDOW * 3 / 2).await;
    assert_limited(&target.arrivals(), announced_at, LIMIT_PER_S);
    assert_served(&sent, announced_at);
    deployment.close().unwrap();
}

/// Guards against admission that ignores the request limit of the owner of the keys.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_of_keys_gets_no_more_requests_than_its_limit_allows() {
    let deployment = start("limit-keys", &["carts", "stock", "stock"]).await;
    let target = &deployment.vms[0].target;
    target.announce(limit(LIMIT_PER_S));
    let announced_at = Instant::now();
    let sent = load_path(&deployment, "/carts/1", true, STABLE_TIME + WINDOW * 3 / 2).await;
    assert_limited(&target.arrivals(), announced_at, LIMIT_PER_S);
    assert_served(&sent, announced_at);
    deployment.close().unwrap();
}
