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
        let result = timeout(REPLY_TIMEOUT, send(&client, &state.id, control, body)).await;
        if let Ok(Ok(reply)) = result {
            state.apply_reply(reply, sent_at);
        }
        sleep(interval.saturating_sub(sent_at.elapsed())).await;
    }
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
    let body = response.into_body().collect().await.map_err(|it| anyhow::anyhow!("{it}"))?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}

impl TargetState {
    fn heartbeat(&self, address: SocketAddr, sequence: u64) -> String {
        let leases = self.leases();
        heartbeat_body(HeartbeatFields {
            address: &address.to_string(),
            service: &self.service,
            slots: self.capacity.slots,
            sequence,
            held: leases.held(),
            released: leases.released(),
            born_ms: None,
        })
    }
}
