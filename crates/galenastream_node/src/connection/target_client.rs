//! The HTTP connections to the target beside this node.

use std::{error::Error, time::Duration};

use bytes::Bytes;
use galenastream_ownership::{BootInstant, SliceEpoch, Term};
use galenastream_routing::{NotRunReason, UnknownReason};
use galenastream_wire::{Forward, TicketToken};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;
use volo_http::{
    body::Body,
    client::{Client, ClientBuilder},
    error::ClientError,
    response::Response,
};

use crate::{
    process::{TargetAnnouncement, boot_now},
    request::{Reply, TargetResponse, append_all, end_to_end, format_ticket, headers},
};

/// How long an idle connection to the target is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// An order to the target: a request with the proof of this node's right to have it run.
#[derive(Debug)]
pub struct Order<'a> {
    /// The request.
    pub forward: &'a Forward,
    /// The assignment and its term; `None` for a service that is not divided by key.
    pub assignment: Option<(SliceEpoch, Term)>,
    /// The ticket under which it runs.
    pub ticket: Option<TicketToken>,
    /// When the target has to stop working on it.
    pub deadline: BootInstant,
    /// The longest body of the response.
    pub max_body_bytes: u64,
}

/// The HTTP connections to the target beside this node, kept open between orders.
pub struct TargetClient {
    client: Client,
}

/// What came of an order.
#[derive(Debug)]
pub enum TargetResult {
    /// A reply for the caller.
    Reply(Reply),
    /// No connection could be opened, so the order was not sent.
    Unreachable,
    /// A kept connection had been closed before the order was written to it.
    Stale,
}

impl TargetClient {
    /// Creates a client without connections.
    pub fn new(max_connections: usize) -> anyhow::Result<Self> {
        let mut builder = ClientBuilder::new();
        builder.set_pool_idle_timeout(IDLE_TIMEOUT).set_max_idle_per_host(max_connections);
        builder.http1_config().set_title_case_headers(false);
        Ok(Self { client: builder.build()? })
    }

    /// Hands an order over to the target and waits for the whole response, until the deadline.
    pub async fn send(&self, target: &TargetAnnouncement, order: &Order<'_>) -> TargetResult {
        let Ok(method) = Method::from_bytes(order.forward.method.as_bytes()) else {
            return TargetResult::Reply(Reply::not_run(NotRunReason::Invalid));
        };
        let uri = format!("http://{}{}", target.address, order.forward.path);
        let mut request = self.client.request(method.clone(), uri);
        write_headers(request.headers_mut(), order);
        let request = request.body(Body::from(order.forward.body.clone()));
        let remaining = order.deadline.saturating_since(boot_now());
        let exchange = async {
            match request.send().await {
                Ok(response) => {
                    let reply = read_response(&method, response, order.max_body_bytes).await;
                    TargetResult::Reply(reply)
                }
                Err(error) => classify(&error),
            }
        };
        match timeout(remaining, exchange).await {
            Ok(result) => result,
            Err(_) => TargetResult::Reply(Reply::unknown(UnknownReason::DeadlinePassed)),
        }
    }
}

fn write_headers(fields: &mut HeaderMap, order: &Order<'_>) {
    let forward = order.forward;
    append_all(fields, &forward.headers);
    put(fields, headers::REQUEST_ID, forward.request_id.as_bytes());
    put(fields, headers::CLASS, forward.class.as_bytes());
    put(fields, headers::DEADLINE_BOOT_NS, order.deadline.as_ns().to_string().as_bytes());
    if !forward.key.is_empty() {
        put(fields, headers::KEY, &forward.key);
    }
    if let Some((id, term)) = order.assignment {
        put(fields, headers::SLICE, id.slice.0.to_string().as_bytes());
        put(fields, headers::EPOCH, id.epoch.0.to_string().as_bytes());
        put(fields, headers::TERM, term.0.to_string().as_bytes());
    }
    if let Some(ticket) = &order.ticket {
        put(fields, headers::TICKET, format_ticket(ticket).as_bytes());
    }
}

fn put(fields: &mut HeaderMap, name: &'static str, value: &[u8]) {
    if let Ok(value) = HeaderValue::from_bytes(value) {
        fields.insert(name, value);
    }
}

async fn read_response(method: &Method, response: Response, max_body_bytes: u64) -> Reply {
    let (parts, body) = response.into_parts();
    if let Some(reply) = read_refusal(parts.status, &parts.headers) {
        return reply;
    }
    if !has_provable_length(method, parts.status, &parts.headers) {
        return Reply::unknown(UnknownReason::ConnectionLost);
    }
    let limit = usize::try_from(max_body_bytes).unwrap_or(usize::MAX);
    let Ok(body) = Limited::new(body, limit).collect().await else {
        return Reply::unknown(UnknownReason::ConnectionLost);
    };
    let body: Bytes = body.to_bytes();
    let headers = end_to_end(&parts.headers);
    Reply::ran(TargetResponse { status: parts.status.as_u16(), headers, body })
}

/// Reads the proof of a target that it did not run an order.
fn read_refusal(status: StatusCode, fields: &HeaderMap) -> Option<Reply> {
    let says_not_run = fields.get(headers::OUTCOME).is_some_and(|it| it == "not-run");
    if !says_not_run {
        return None;
    }
    let reason = match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => NotRunReason::Overloaded,
        StatusCode::CONFLICT => NotRunReason::NotOwner,
        _ => return None,
    };
    let retry_after_ms = fields
        .get(headers::RETRY_AFTER_MS)
        .and_then(|it| it.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    Some(Reply::not_run(reason).with_retry_after_ms(retry_after_ms))
}

/// Whether a cut response can be told from a whole one. One that ends with its connection cannot.
fn has_provable_length(method: &Method, status: StatusCode, fields: &HeaderMap) -> bool {
    let has_no_body = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    has_no_body
        || fields.contains_key(header::CONTENT_LENGTH)
        || fields.contains_key(header::TRANSFER_ENCODING)
}

fn classify(error: &ClientError) -> TargetResult {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(error) = cause.downcast_ref::<hyper::Error>() {
            // A cancelled order is one that was never written to its connection.
            if error.is_canceled() {
                return TargetResult::Stale;
            }
            return TargetResult::Reply(Reply::unknown(UnknownReason::ConnectionLost));
        }
        // The connector reports a failed connection as a bare I/O error.
        if cause.is::<std::io::Error>() {
            return TargetResult::Unreachable;
        }
        source = cause.source();
    }
    TargetResult::Reply(Reply::unknown(UnknownReason::ConnectionLost))
}
