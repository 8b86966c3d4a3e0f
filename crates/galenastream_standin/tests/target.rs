//! What the stand-in of a target does with orders, good and bad.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use galenastream_standin::{
    Caller, TargetConfig, TargetEventKind, TargetFaults, TargetStandin, boot_now_ns, wait_until,
};
use http::{Method, StatusCode};
use volo_http::{body::BodyConversion, client::Client, response::Response};

const LIMIT: Duration = Duration::from_secs(10);
const SECOND_NS: u64 = 1_000_000_000;

struct Order {
    key: &'static str,
    epoch: u64,
    deadline_boot_ns: u64,
}

impl Order {
    fn new(key: &'static str) -> Self {
        Self { key, epoch: 1, deadline_boot_ns: boot_now_ns() + 10 * SECOND_NS }
    }

    async fn send(&self, target: SocketAddr) -> anyhow::Result<(StatusCode, String, Bytes)> {
        let response: Response = Client::default()
            .request(Method::POST, format!("http://{target}/reserve?bytes=64"))
            .header("galenastream-key", self.key)
            .header("galenastream-request-id", format!("request-of-{}", self.key))
            .header("galenastream-slice", "7")
            .header("galenastream-epoch", self.epoch.to_string())
            .header("galenastream-deadline-boot-ns", self.deadline_boot_ns.to_string())
            .send()
            .await?;
        let outcome = response.headers().get("galenastream-outcome");
        let outcome = outcome.map_or(Ok(""), |it| it.to_str())?.to_owned();
        let status = response.status();
        Ok((status, outcome, response.into_body().into_bytes().await?))
    }
}

fn count(target: &TargetStandin, kind: TargetEventKind) -> usize {
    target.events().iter().filter(|it| it.event == kind).count()
}

#[tokio::test]
async fn an_order_runs_and_its_answer_names_it() {
    let target = TargetStandin::start(TargetConfig::new("t1", "catalogue")).await.unwrap();
    for counter in 1..=3 {
        let (status, _, body) = Order::new("frame").send(target.address()).await.unwrap();
        let answer: serde_json::Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(status, StatusCode::OK);
        assert_eq!(answer["target"], "t1");
        assert_eq!(answer["key"], "frame");
        assert_eq!(answer["request_id"], "request-of-frame");
        assert_eq!(answer["counter"], counter);
        assert_eq!(answer["padding"].as_str().unwrap().len(), 64);
    }
    assert_eq!(count(&target, TargetEventKind::Committed), 3);
}

#[tokio::test]
async fn an_old_epoch_is_refused_only_where_grants_are_checked() {
    for (checks_grants, expected) in [(true, StatusCode::CONFLICT), (false, StatusCode::OK)] {
        let config = TargetConfig::new("t1", "catalogue").with_checks_grants(checks_grants);
        let target = TargetStandin::start(config).await.unwrap();
        Order { epoch: 5, ..Order::new("a") }.send(target.address()).await.unwrap();
        let (status, outcome, _) =
            Order { epoch: 4, ..Order::new("b") }.send(target.address()).await.unwrap();
        assert_eq!(status, expected, "checks_grants {checks_grants}");
        assert_eq!(outcome == "not-run", checks_grants);
    }
}

#[tokio::test]
async fn a_newer_epoch_ends_work_in_progress_of_an_older_one() {
    let config =
        TargetConfig::new("t1", "catalogue").with_checks_grants(true).with_service_ms(300.0);
    let target = TargetStandin::start(config).await.unwrap();
    let address = target.address();
    let old = tokio::spawn(async move { Order::new("a").send(address).await });
    wait_until("work to begin", LIMIT, async || count(&target, TargetEventKind::Taken) == 1)
        .await
        .unwrap();
    let newer = Order { epoch: 2, ..Order::new("b") };
    assert_eq!(newer.send(address).await.unwrap().0, StatusCode::OK);
    let (status, outcome, _) = old.await.unwrap().unwrap();
    assert_eq!((status, outcome.as_str()), (StatusCode::CONFLICT, "not-run"));
    assert_eq!(count(&target, TargetEventKind::Committed), 1);
}

#[tokio::test]
async fn a_late_order_never_runs() {
    let config = TargetConfig::new("t1", "catalogue").with_service_ms(50.0);
    let target = TargetStandin::start(config).await.unwrap();
    for left_ms in [0, 10] {
        let deadline_boot_ns = boot_now_ns() + left_ms * 1_000_000;
        let order = Order { deadline_boot_ns, ..Order::new("a") };
        let (status, outcome, _) = order.send(target.address()).await.unwrap();
        assert_eq!((status, outcome.as_str()), (StatusCode::SERVICE_UNAVAILABLE, "not-run"));
    }
    assert_eq!(count(&target, TargetEventKind::Committed), 0);
}

#[tokio::test]
async fn orders_beyond_slots_and_backlog_are_shed_at_once() {
    let config = TargetConfig::new("t1", "catalogue").with_slots(1, 1).with_service_ms(200.0);
    let target = TargetStandin::start(config).await.unwrap();
    let address = target.address();
    let orders: Vec<_> = (0..5)
        .map(|_| tokio::spawn(async move { Order::new("a").send(address).await.unwrap().0 }))
        .collect();
    let mut ran = 0;
    for order in orders {
        ran += usize::from(order.await.unwrap() == StatusCode::OK);
    }
    assert_eq!(ran, 2);
    assert_eq!(count(&target, TargetEventKind::Committed), 2);
    assert_eq!(count(&target, TargetEventKind::Refused), 3);
}

#[tokio::test]
async fn a_closed_connection_cancels_the_order() {
    let config = TargetConfig::new("t1", "catalogue").with_service_ms(5_000.0);
    let target = TargetStandin::start(config).await.unwrap();
    let address = target.address();
    let order = tokio::spawn(async move { Order::new("a").send(address).await });
    wait_until("work to begin", LIMIT, async || count(&target, TargetEventKind::Taken) == 1)
        .await
        .unwrap();
    order.abort();
    wait_until("the cancellation", LIMIT, async || count(&target, TargetEventKind::Cancelled) == 1)
        .await
        .unwrap();
    assert_eq!(count(&target, TargetEventKind::Committed), 0);
}

#[tokio::test]
async fn a_frozen_target_goes_on_as_if_nothing_happened() {
    let target = TargetStandin::start(TargetConfig::new("t1", "catalogue")).await.unwrap();
    target.set_faults(TargetFaults { freeze_ms: 200, ..TargetFaults::default() });
    let started = std::time::Instant::now();
    let (status, _, _) = Order::new("a").send(target.address()).await.unwrap();
    assert_eq!(status, StatusCode::OK);
    assert!(started.elapsed() >= Duration::from_millis(190));
}

#[tokio::test]
async fn a_freeze_can_be_ended_early() {
    let target = TargetStandin::start(TargetConfig::new("t1", "catalogue")).await.unwrap();
    target.set_faults(TargetFaults { freeze_ms: 600_000, ..TargetFaults::default() });
    let address = target.address();
    let order = Order { deadline_boot_ns: u64::MAX, ..Order::new("a") };
    let order = tokio::spawn(async move { order.send(address).await.unwrap().0 });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!order.is_finished());
    target.set_faults(TargetFaults::default());
    let status = tokio::time::timeout(LIMIT, order).await;
    assert_eq!(status.unwrap().unwrap(), StatusCode::OK);
}

#[tokio::test]
async fn spoilt_answers_belong_to_orders_that_ran() {
    let target = TargetStandin::start(TargetConfig::new("t1", "catalogue")).await.unwrap();
    target.set_faults(TargetFaults { half_answers: 1, ..TargetFaults::default() });
    assert!(Order::new("a").send(target.address()).await.is_err());
    target.set_faults(TargetFaults { drop_answers: 1, ..TargetFaults::default() });
    let order = Order::new("b");
    let dropped = tokio::time::timeout(Duration::from_millis(200), order.send(target.address()));
    assert!(dropped.await.is_err());
    assert_eq!(count(&target, TargetEventKind::Committed), 2);
}

#[tokio::test]
async fn health_and_load_lie_when_told_to() {
    let target = TargetStandin::start(TargetConfig::new("t1", "catalogue")).await.unwrap();
    target.set_faults(TargetFaults {
        freeze_ms: 60_000,
        lie_health: Some("ok".to_owned()),
        lie_busy_slots: Some(3),
        ..TargetFaults::default()
    });
    let caller = Caller::new().unwrap();
    for (path, expected) in [
        ("/health", serde_json::json!({ "status": "ok" })),
        ("/load", serde_json::json!({ "slots": 20, "busy_slots": 3, "queued": 0 })),
    ] {
        let request = galenastream_standin::CallerRequest::new(Method::GET, path);
        let answer = caller.call(target.address(), &request).await.unwrap();
        assert_eq!(answer.json(), expected);
    }
}
