//! Tests of targets that announce a request limit.

use std::time::{Duration, Instant};

use galenastream_standin::{
    LocalDeployment, SentRequest, TargetAnnouncement, TargetAnswerFault, TargetArrival,
    check_invariants, wait_until,
};

use super::{
    TIMEOUT, WORKS,
    announcement_load::{entries, load_from, load_path},
    deployment::start,
};

/// The announced limit in requests per second, far below what the callers send.
const LIMIT_PER_S: f64 = 12.0;

/// How long after its announcement a limit is in force at the latest.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// How long the callers send requests: long enough for a window of the check.
const LOAD_TIME: Duration = Duration::from_secs(9);

/// The least share of its limit that a target gets while callers want more.
const MIN_RATIO: f64 = 0.9;

/// The longest time in which a request is answered that would have to wait past its target latency
/// of 900 ms.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1_000);

/// Asserts that no target got more than its limit allows, whichever nodes sent the requests.
fn assert_limited(deployment: &LocalDeployment) {
    assert_eq!(check_invariants(&deployment.histories(), &[]), []);
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
    target.announce(TargetAnnouncement::limit(LIMIT_PER_S));
    let announced_at = Instant::now();
    let sent = load_path(&deployment, "/stock/1", false, LOAD_TIME).await;
    assert_limited(&deployment);
    assert_served(&sent, announced_at);
    deployment.close().unwrap();
}

/// Guards against admission that ignores the request limit of the owner of the keys.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_of_keys_gets_no_more_requests_than_its_limit_allows() {
    let deployment = start("limit-keys", &["carts", "stock", "stock"]).await;
    let target = &deployment.vms[0].target;
    target.announce(TargetAnnouncement::limit(LIMIT_PER_S));
    let announced_at = Instant::now();
    let sent = load_path(&deployment, "/carts/1", true, LOAD_TIME).await;
    assert_limited(&deployment);
    assert_served(&sent, announced_at);
    deployment.close().unwrap();
}

/// Guards against a limit that is forgotten when the node beside the target restarts. Each life of
/// the node is shorter than a request, so that it learns of the limit from other nodes alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_while_the_node_beside_the_target_restarts_again_and_again() {
    let mut deployment = start("limit-restarts", &["stock", "carts", "carts"]).await;
    let target = &deployment.vms[0].target;
    target.announce(TargetAnnouncement::limit(0.5));
    let load = load_from(entries(&deployment, 1), "/stock/1", false, LOAD_TIME);
    let slow = Duration::from_millis(900);
    let restarts = async {
        tokio::time::sleep(STABLE_TIME / 2).await;
        deployment.vms[0].target.set_fault(TargetAnswerFault::Slow(slow));
        let until = Instant::now() + LOAD_TIME - STABLE_TIME;
        while Instant::now() < until {
            deployment.vms[0].kill_node().unwrap();
            deployment.vms[0].start_node().unwrap();
            tokio::time::sleep(slow * 2 / 3).await;
        }
    };
    let (sent, ()) = tokio::join!(load, restarts);
    assert!(sent.iter().any(|it| it.status() == 200), "some requests are served");
    assert_limited(&deployment);
    deployment.close().unwrap();
}

/// Guards against limits that hold for one target at a time, and against limits that only rise.
#[tokio::test(flavor = "multi_thread")]
async fn limits_that_fall_rise_and_end_hold_for_all_targets_of_a_service() {
    let deployment = start("limit-steps", &["stock", "stock", "carts"]).await;
    let load = load_path(&deployment, "/stock/1", false, LOAD_TIME * 2);
    let steps = async {
        for (first, second) in [(60.0, 20.0), (5.0, 40.0)] {
            deployment.vms[0].target.announce(TargetAnnouncement::limit(first));
            deployment.vms[1].target.announce(TargetAnnouncement::limit(second));
            tokio::time::sleep(LOAD_TIME * 9 / 10).await;
        }
        for vm in &deployment.vms {
            vm.target.announce(TargetAnnouncement::default());
        }
        Instant::now()
    };
    let (sent, ended_at) = tokio::join!(load, steps);
    assert_limited(&deployment);
    // The lower limit lets a request through every 200 ms, whose response ends it.
    let is_after_end = |it: &&SentRequest| it.sent_at > ended_at + Duration::from_millis(500);
    let after_end: Vec<u16> = sent.iter().filter(is_after_end).map(SentRequest::status).collect();
    assert!(after_end.len() > 10 && after_end.iter().all(|it| *it == 200), "{after_end:?}");
    deployment.close().unwrap();
}

/// A limit that cannot be decoded is none, and is logged once.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_limit_limits_nothing_and_is_logged() {
    let deployment = start("limit-malformed", &["stock"]).await;
    let vm = &deployment.vms[0];
    let limit = Some("1e400".to_owned());
    vm.target.announce(TargetAnnouncement { limit, is_leaving: false });
    let sent = load_path(&deployment, "/stock/1", false, Duration::from_secs(1)).await;
    assert!(sent.iter().all(|it| it.status() == 200), "{sent:?}");
    let lines = || {
        let log = vm.log().into_iter().map(|mut it| it["kvs"].take());
        log.filter(|it| it["event"] == "announcement_malformed").count()
    };
    wait_until("the line in the log", TIMEOUT, async || lines() > 0).await.unwrap();
    assert_eq!(lines(), 1);
    deployment.close().unwrap();
}

/// Guards against a target that gets no request any more, and so cannot show that its limit of zero
/// has ended, while other targets have room.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_is_selected_again_when_its_limit_of_zero_has_ended() {
    let deployment = start("limit-zero", &["stock", "stock", "carts"]).await;
    let target = &deployment.vms[0].target;
    target.announce(TargetAnnouncement::limit(0.0));
    let entry = || vec![(2, deployment.vms[2].callers_address())];
    let _ = load_from(entry(), "/stock/1", false, STABLE_TIME).await;
    target.announce(TargetAnnouncement::default());
    let ended_at = Instant::now();
    let _ = load_from(entry(), "/stock/1", false, LOAD_TIME).await;
    // The limit ends with the first response after it, one request every 2 s being let through.
    let is_after = |it: &&TargetArrival| it.arrived_at > ended_at + STABLE_TIME;
    let after = target.arrivals().iter().filter(is_after).count();
    assert!(after > 20, "{after} requests after the end of the limit");
    deployment.close().unwrap();
}

/// Keys that get all requests in the test of keys under a limit of zero.
const HOT_KEYS: u16 = 24;

/// Time within which the owner of a key without a lease has it.
const MOVE_TIME: Duration = Duration::from_secs(12);

/// Time after the end of a limit of zero within which its target gets requests for keys again: the
/// shortest time without one after which the planner gives it a few keys, and two rounds with moves.
const KEYS_RETURN_TIME: Duration = Duration::from_secs(10);

/// Loads the hot keys from one VM for a period. Returns the statuses of the answers with the times
/// of the requests.
async fn load_hot_keys(
    deployment: &LocalDeployment,
    keys: &[u16],
    name: &str,
    period: Duration,
) -> Vec<(Instant, u16)> {
    let until = Instant::now() + period;
    let mut caller = deployment.vms[2].caller().await.expect(WORKS);
    let mut statuses = Vec::new();
    while Instant::now() < until {
        let id = format!("{name}-{}", statuses.len());
        let key = keys[statuses.len() % keys.len()];
        let sent_at = Instant::now();
        let answer = caller.get("/carts/1", &id, Some(key)).await.expect(WORKS);
        statuses.push((sent_at, answer.status));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    statuses
}

/// Guards against an owner that loses its keys under a limit of zero and, as it gets no request any
/// more, never shows that the limit has ended.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_gets_requests_for_keys_again_when_its_limit_of_zero_has_ended() {
    let deployment = start("limit-zero-keys", &["carts", "carts", "stock"]).await;
    let target = &deployment.vms[0].target;
    let shares = || [0, 1].map(|it: usize| deployment.vms[it].target.key_count());
    wait_until("both targets to hold their shares", TIMEOUT, async || {
        shares().iter().all(|it| *it > 20_000)
    })
    .await
    .unwrap();
    let mut caller = deployment.vms[2].caller().await.unwrap();
    let mut keys = Vec::new();
    for key in (0..=u16::MAX).step_by(300) {
        let answer = caller.get("/carts/1", &format!("find-{key}"), Some(key)).await.unwrap();
        assert_eq!(answer.status, 200, "key {key}: {answer:?}");
        if target.runs().iter().any(|it| it.key == Some(key)) {
            keys.push(key);
        }
    }
    keys.truncate(usize::from(HOT_KEYS));
    target.announce(TargetAnnouncement::limit(0.0));
    let limited = load_hot_keys(&deployment, &keys, "limited", MOVE_TIME).await;
    let is_late = |it: &&(Instant, u16)| it.0 > limited[0].0 + MOVE_TIME - Duration::from_secs(1);
    let late: Vec<u16> = limited.iter().filter(is_late).map(|it| it.1).collect();
    let served = late.iter().filter(|it| **it == 200).count();
    assert!(served * 10 >= late.len() * 9, "the other target serves the keys: {late:?}");
    target.announce(TargetAnnouncement::default());
    let ended_at = Instant::now();
    load_hot_keys(&deployment, &keys, "ended", KEYS_RETURN_TIME + STABLE_TIME).await;
    let is_after = |it: &&TargetArrival| it.arrived_at > ended_at + KEYS_RETURN_TIME;
    let after = target.arrivals().iter().filter(is_after).count();
    assert!(after > 0, "no request for {STABLE_TIME:?}, {KEYS_RETURN_TIME:?} after the limit");
    assert_limited(&deployment);
    deployment.close().unwrap();
}
