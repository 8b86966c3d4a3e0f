//! Tests of requests that another node forwards.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use galenastream_runtime::{FrameLink, MemoryBudget, boot_now};
use galenastream_standin::{LocalDeployment, wait_until};
use galenastream_wire::{
    ForwardedReply, ForwardedRequest, PeerFrame, ReplyOutcome, ReplyReason, peer_frame::Body,
};

use super::{TIMEOUT, WORKS, deployment::start};

/// The port where a node accepts connections of other nodes.
pub(super) const PEERS_PORT: u16 = 8_002;

const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// The time that the requests have left when they are sent.
const REMAINING_MS: u32 = 1_000;

/// How long the delayed request was under way.
const DELAY: Duration = Duration::from_millis(600);

/// Number of requests before the delayed one.
const PROMPT_REQUESTS: usize = 10;

async fn forward(
    link: &FrameLink<PeerFrame>,
    deployment: &LocalDeployment,
    id: &str,
    delay: Duration,
) -> ForwardedReply {
    let request = ForwardedRequest {
        request_id: id.to_owned(),
        target_id: deployment.vms[0].target.history().id,
        method: "GET".to_owned(),
        path: "/stock/1".to_owned(),
        host: "shop.example".to_owned(),
        remaining_ms: REMAINING_MS,
        prompt_ms: REMAINING_MS,
        is_idempotent: true,
        target_latency_ms: 900,
        sent_at_ns: boot_now().saturating_sub(delay).as_ns(),
        headers: vec![galenastream_wire::Header {
            name: "x-request-id".to_owned(),
            value: id.to_owned().into(),
        }],
        ..Default::default()
    };
    match link.call(Body::Request(request), REPLY_TIMEOUT).await.expect(WORKS) {
        Body::Reply(reply) => reply,
        other => panic!("{other:?}"),
    }
}

/// Guards against requests that run after their callers have left, as the time that they were under
/// way between two nodes did not count.
#[tokio::test(flavor = "multi_thread")]
async fn the_time_that_a_request_was_under_way_counts_against_its_deadline() {
    let deployment = start("under-way", &["stock"]).await;
    let address = SocketAddr::new(deployment.vms[0].ip, PEERS_PORT);
    let link = FrameLink::connect(address, MemoryBudget::new(1024 * 1024)).await.expect(WORKS);
    // The delay is estimated against the fastest request of the connection, so that one may count for
    // less by the time which that was under way.
    let mut fastest_ms = u128::MAX;
    for _ in 0..PROMPT_REQUESTS {
        let sent_at = Instant::now();
        let prompt = forward(&link, &deployment, "prompt", Duration::ZERO).await;
        assert_eq!(prompt.outcome, ReplyOutcome::Answered as i32, "{prompt:?}");
        fastest_ms = fastest_ms.min(sent_at.elapsed().as_millis() + 1);
    }
    let delayed = forward(&link, &deployment, "delayed", DELAY).await;
    assert_eq!(delayed.outcome, ReplyOutcome::Answered as i32, "{delayed:?}");
    let runs = deployment.vms[0].target.runs();
    let deadline_ms = |id: &str| {
        let run = runs.iter().find(|it| it.request_id == id).expect(WORKS);
        u128::from(run.deadline_ms)
    };
    let left_ms = u128::from(REMAINING_MS) - DELAY.as_millis();
    assert!(deadline_ms("prompt") > left_ms, "{runs:?}");
    assert!(deadline_ms("delayed") <= left_ms + fastest_ms, "{fastest_ms} ms: {runs:?}");
    // A request whose deadline has passed on its way does not run.
    let expired = forward(&link, &deployment, "expired", DELAY * 2).await;
    assert_eq!(expired.reason, ReplyReason::DeadlinePassed as i32, "{expired:?}");
    assert!(!deployment.vms[0].target.runs().iter().any(|it| it.request_id == "expired"));
    deployment.close().unwrap();
}

/// Guards against an entry that has not heard of an evacuation: the node beside the target refuses.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_for_an_evacuated_data_centre_is_refused_beside_the_target() {
    let deployment = start("evacuated", &["stock"]).await;
    let address = SocketAddr::new(deployment.vms[0].ip, PEERS_PORT);
    let link = FrameLink::connect(address, MemoryBudget::new(1024 * 1024)).await.expect(WORKS);
    deployment.store.put("op", "evacuate/east", b"{}");
    wait_until("the evacuation to be known", TIMEOUT, async || {
        deployment.vms[0].log().iter().any(|it| it["kvs"]["event"] == "evacuation_requested")
    })
    .await
    .expect(WORKS);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let refused = forward(&link, &deployment, "late", Duration::ZERO).await;
    assert_eq!(refused.reason, ReplyReason::Evacuated as i32, "{refused:?}");
    assert!(!deployment.vms[0].target.runs().iter().any(|it| it.request_id == "late"));
    deployment.store.remove("op", "evacuate/east");
    wait_until("the target to be used again", TIMEOUT, async || {
        let reply = forward(&link, &deployment, "again", Duration::ZERO).await;
        reply.outcome == ReplyOutcome::Answered as i32
    })
    .await
    .expect(WORKS);
    deployment.close().unwrap();
}
