//! The heartbeats of a target.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http::header;
use http_body_util::BodyExt;
use tokio::time::{sleep, timeout};
use volo_http::{body::Body, client::Client};

use super::{
    heartbeat_body::{HeartbeatFields, heartbeat_body},
    platform_target_standin::TargetState,
    target_leases::HeartbeatReply,
};

/// How long a target waits for the reply to a heartbeat.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval of heartbeats while ranges are yet to be released; the protocol allows 100 ms.
const RELEASE_INTERVAL: Duration = Duration::from_millis(80);

/// Of this many heartbeats, one is late while heartbeats are delayed.
const LATE_HEARTBEAT_PERIOD: u64 = 6;

/// Sends heartbeats to the node beside a target until the task is aborted.
pub(super) async fn send_heartbeats(
    state: Arc<TargetState>,
    address: SocketAddr,
    control: SocketAddr,
    interval: Duration,
) {
    let client = Client::default();
    for sequence in 1_u64.. {
        let sent_at = Instant::now();
        let body = state.heartbeat(address, sequence);
        let max_delay = state.max_heartbeat_delay();
        if let Some(delay) = heartbeat_delay(max_delay, sequence) {
            // A heartbeat under way outlives its target.
            tokio::spawn(send_late(client.clone(), state.clone(), control, body, delay));
            sleep(REPLY_TIMEOUT).await;
            continue;
        }
        let result = timeout(REPLY_TIMEOUT, send(&client, &state.id, control, body)).await;
        if let Ok(Ok(reply)) = result {
            state.apply_reply(reply, sent_at);
        }
        let interval = match state.leases().is_releasing() {
            true => interval.min(RELEASE_INTERVAL),
            false => interval,
        };
        sleep(interval.saturating_sub(sent_at.elapsed())).await;
    }
}

/// Sends a heartbeat after a delay. The target no longer waits for the reply.
async fn send_late(
    client: Client,
    state: Arc<TargetState>,
    control: SocketAddr,
    body: String,
    delay: Duration,
) {
    sleep(delay).await;
    let _ = timeout(REPLY_TIMEOUT, send(&client, &state.id, control, body)).await;
}

/// Returns how long a heartbeat is under way; `None` if it is not late.
pub(super) fn heartbeat_delay(max_delay: Duration, sequence: u64) -> Option<Duration> {
    let is_late = sequence % LATE_HEARTBEAT_PERIOD == LATE_HEARTBEAT_PERIOD / 2;
    // Spread over the whole range, so that some arrive in another order.
    let percent = u32::try_from(sequence * 61 % 100).unwrap_or(0);
    (is_late && !max_delay.is_zero()).then(|| max_delay * percent / 100)
}

async fn send(
    client: &Client,
    id: &str,
    control: SocketAddr,
    body: String,
) -> anyhow::Result<HeartbeatReply> {
    let uri = format!("http://{control}/galenastream/instances/{id}/heartbeat");
    let request = client.post(uri).header(header::CONTENT_TYPE, "application/json");
    let response = request.body(Body::from(body)).send().await?;
    anyhow::ensure!(response.status().is_success(), "the heartbeat was refused");
    let body = response.into_body().collect().await.map_err(|it| anyhow::anyhow!("{it}"))?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}

impl TargetState {
    fn heartbeat(&self, address: SocketAddr, sequence: u64) -> String {
        let mut leases = self.leases();
        let (held, released) = leases.report();
        heartbeat_body(HeartbeatFields {
            address: &address.to_string(),
            service: &self.service,
            slots: self.capacity.slots,
            sequence,
            held: &held,
            released,
            born_ms: self.started_unix_ms,
        })
    }
}
