//! Sends the requests of a plan and classifies their answers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::Context;
use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use tokio::time::timeout;
use volo_http::{
    body::{Body, BodyConversion},
    client::Client,
    response::Response,
};

use super::{Arrival, LoadClass, LoadKind, LoadOutcome, LoadPlan};
use crate::refusal_reason;

/// How long past the deadline a caller waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// How many idle connections are kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 4_096;

/// The host that the config of a local deployment serves.
const HOST: &str = "shop.example";

/// Sends the requests of a plan and classifies their answers.
pub(crate) struct LoadCaller {
    plan: LoadPlan,
    client: Client,
}

/// The result of one request.
#[derive(Debug)]
pub(crate) struct RequestResult {
    pub(crate) request_id: String,
    pub(crate) path: String,
    pub(crate) outcome: LoadOutcome,
    /// The id of the target that ran the request; empty if it is not known.
    pub(crate) target: String,
    /// The index of the node where the request entered, in the plan.
    pub(crate) entry: usize,
    /// The status of the answer; zero if there is none.
    pub(crate) status: u16,
    /// Whether the answer bears the signature of a target.
    pub(crate) is_signed: bool,
    /// Whether a node refused the request since it crashes targets.
    pub(crate) is_quarantined: bool,
}

/// An answer, classified.
struct Classified {
    outcome: LoadOutcome,
    target: String,
    status: u16,
    is_signed: bool,
    is_quarantined: bool,
}

/// A request in flight.
struct Exchange<'a> {
    class: &'a LoadClass,
    address: SocketAddr,
    key: u64,
    request_id: String,
    intended_start: Instant,
}

impl LoadCaller {
    pub(crate) fn new(plan: LoadPlan) -> anyhow::Result<Self> {
        let mut builder = Client::builder();
        builder.set_max_idle_per_host(MAX_IDLE_CONNECTIONS);
        let client = builder.build().context("cannot create an HTTP client")?;
        Ok(Self { plan, client })
    }

    /// Sends one request, waits for its answer and classifies it.
    pub(crate) async fn request(&self, arrival: Arrival, intended_start: Instant) -> RequestResult {
        let entries = &self.plan.entries;
        let entry = arrival.number as usize % entries.len();
        let exchange = Exchange {
            class: &self.plan.classes[arrival.class],
            address: entries[entry],
            key: arrival.key,
            request_id: format!("load-{}-{}", self.plan.seed, arrival.number),
            intended_start,
        };
        let answer_timeout = exchange.remaining() + ANSWER_GRACE;
        let classified = match timeout(answer_timeout, self.send(&exchange)).await {
            Ok(Ok(classified)) => classified,
            Ok(Err(error)) => {
                log::debug!("request {} got no complete answer: {error:#}", exchange.request_id);
                Classified::no_answer()
            }
            Err(_) => Classified::no_answer(),
        };
        let Classified { outcome, target, status, is_signed, is_quarantined } = classified;
        let (request_id, path) = (exchange.request_id, exchange.class.path.clone());
        RequestResult {
            request_id,
            path,
            outcome,
            target,
            entry,
            status,
            is_signed,
            is_quarantined,
        }
    }

    async fn send(&self, exchange: &Exchange<'_>) -> anyhow::Result<Classified> {
        let class = exchange.class;
        let method = match class.kind {
            LoadKind::Read => Method::GET,
            LoadKind::Write => Method::POST,
        };
        let uri = format!("http://{}{}", exchange.address, class.path);
        let mut request = self
            .client
            .request(method, uri)
            .header(header::HOST, HeaderValue::from_static(HOST))
            .header("x-request-id", exchange.request_id.as_str())
            .header("x-deadline-ms", exchange.remaining_ms());
        if class.has_key {
            request = request.header("x-shard-key", exchange.key.to_string());
        }
        let body = Bytes::from(vec![b'b'; class.body_bytes]);
        classify_answer(exchange, request.body(Body::from(body)).send().await?).await
    }
}

impl Classified {
    fn no_answer() -> Self {
        let outcome = LoadOutcome::NoAnswer;
        let target = String::new();
        Self { outcome, target, status: 0, is_signed: false, is_quarantined: false }
    }
}

impl Exchange<'_> {
    fn remaining(&self) -> Duration {
        let deadline = Duration::from_millis(self.class.deadline_ms);
        deadline.saturating_sub(self.intended_start.elapsed())
    }

    fn remaining_ms(&self) -> String {
        self.remaining().as_millis().max(1).to_string()
    }
}

async fn classify_answer(
    exchange: &Exchange<'_>,
    response: Response,
) -> anyhow::Result<Classified> {
    let status = response.status();
    let echoed = response.headers().get("x-request-id");
    let is_own = echoed.is_some_and(|it| it.as_bytes() == exchange.request_id.as_bytes());
    let has_no_id = echoed.is_none();
    let signature = response.headers().get("x-server-signature").cloned();
    let body = response.into_body().into_bytes().await.context("cannot read the whole answer")?;
    let (answered, target) = classify_body(exchange, &body);
    // The stand-in of a target signs with its id and the id of the request.
    let expected_signature = format!("{target}.{}", exchange.request_id);
    let is_signed = signature.is_some_and(|it| it.as_bytes() == expected_signature.as_bytes());
    let outcome = match status {
        // An answer that ends the request for good does so also without its id.
        _ if has_no_id && ends_for_good(status) => LoadOutcome::Denied,
        _ if !is_own => LoadOutcome::Wrong,
        StatusCode::OK if is_signed => answered,
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::MISDIRECTED_REQUEST
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => LoadOutcome::NotRun,
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => LoadOutcome::Unknown,
        status if status.is_server_error() => LoadOutcome::Failed,
        status if ends_for_good(status) && is_signed => LoadOutcome::Failed,
        status if ends_for_good(status) => LoadOutcome::Denied,
        _ => LoadOutcome::Wrong,
    };
    let is_quarantined = status == StatusCode::SERVICE_UNAVAILABLE
        && refusal_reason(&body).is_some_and(|it| it == "quarantined");
    Ok(Classified { outcome, target, status: status.as_u16(), is_signed, is_quarantined })
}

/// Returns whether callers do not repeat a request after this status.
fn ends_for_good(status: StatusCode) -> bool {
    let is_promise = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
    );
    (status.is_redirection() || status.is_client_error()) && !is_promise
}

/// Classifies the body of an answer of a target, and returns the id of the target that ran the
/// request. The stand-in of a target answers `TARGET ran REQUEST with N
/// bytes`.
fn classify_body(exchange: &Exchange<'_>, body: &[u8]) -> (LoadOutcome, String) {
    let text = String::from_utf8_lossy(body);
    let suffix = format!(" with {} bytes", exchange.class.body_bytes);
    let ran = text.strip_suffix(&suffix).and_then(|it| it.split_once(" ran "));
    match ran {
        Some((target, id)) if id == exchange.request_id => (LoadOutcome::Ran, target.to_owned()),
        Some(_) | None => (LoadOutcome::Wrong, String::new()),
    }
}
