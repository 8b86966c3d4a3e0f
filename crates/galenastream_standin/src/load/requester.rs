//! Sends the requests of a plan and checks their answers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::Context;
use http::{Method, StatusCode};
use serde::Deserialize;
use tokio::time::timeout;
use volo_http::{
    body::BodyConversion,
    client::{Client, RequestBuilder},
    response::Response,
};

use super::{Arrival, LoadClass, LoadEntry, LoadKind, LoadOutcome, LoadPlan};
use crate::boot_now_ns;

/// How much longer than the deadline a caller waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// How many connections are kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 4_096;

/// Sends the requests of a plan and checks their answers.
pub(crate) struct Requester {
    plan: LoadPlan,
    client: Client,
}

/// What an answer must repeat.
#[derive(Debug, Deserialize)]
struct AnswerBody {
    target: String,
    key: String,
    request_id: String,
    padding: String,
}

/// What came of one request.
#[derive(Debug)]
pub(crate) struct Finish {
    pub outcome: LoadOutcome,
    /// The target that ran it; empty if none is known to have.
    pub target: String,
}

impl From<LoadOutcome> for Finish {
    fn from(outcome: LoadOutcome) -> Self {
        Self { outcome, target: String::new() }
    }
}

/// One request on its way.
struct Exchange<'a> {
    class: &'a LoadClass,
    address: SocketAddr,
    key: String,
    request_id: String,
    intended: Instant,
}

impl Requester {
    pub(crate) fn new(plan: LoadPlan) -> anyhow::Result<Self> {
        let mut builder = Client::builder();
        builder.set_max_idle_per_host(MAX_IDLE_CONNECTIONS);
        let client = builder.build().context("cannot create an HTTP client")?;
        Ok(Self { plan, client })
    }

    /// Sends one request, waits for its answer and judges it.
    pub(crate) async fn request(&self, arrival: Arrival, intended: Instant) -> Finish {
        let class = &self.plan.classes[arrival.class];
        let exchange = Exchange {
            class,
            address: self.address(&arrival),
            key: format!("key-{}", arrival.key),
            request_id: format!("load-{}-{}", self.plan.seed, arrival.number),
            intended,
        };
        let patience = exchange.remaining() + ANSWER_GRACE;
        match timeout(patience, self.carry_out(&exchange)).await {
            Ok(Ok(finish)) => finish,
            Ok(Err(error)) => {
                log::debug!("{}: {error:#}", exchange.request_id);
                LoadOutcome::NoAnswer.into()
            }
            Err(_) => LoadOutcome::NoAnswer.into(),
        }
    }

    fn address(&self, arrival: &Arrival) -> SocketAddr {
        let addresses = self.plan.entry.addresses();
        let index = match self.plan.entry {
            LoadEntry::Nodes(_) => arrival.number,
            LoadEntry::Targets(_) => arrival.key,
        };
        addresses[index as usize % addresses.len()]
    }

    async fn carry_out(&self, exchange: &Exchange<'_>) -> anyhow::Result<Finish> {
        let through_nodes = matches!(self.plan.entry, LoadEntry::Nodes(_));
        let mut ticket = None;
        if through_nodes && exchange.class.kind == LoadKind::Reserve {
            match self.obtain_ticket(exchange).await? {
                Ok(obtained) => ticket = Some(obtained),
                Err(outcome) => return Ok(outcome.into()),
            }
        }
        let mut request = self.build(exchange, through_nodes);
        if let Some(ticket) = ticket {
            request = request.header("galenastream-ticket", ticket);
        }
        judge(exchange, request.send().await?).await
    }

    async fn obtain_ticket(
        &self,
        exchange: &Exchange<'_>,
    ) -> anyhow::Result<Result<String, LoadOutcome>> {
        let uri = format!("http://{}/{}/galenastream/ticket", exchange.address, self.plan.service);
        let request = self
            .client
            .request(Method::POST, uri)
            .header("galenastream-key", exchange.key.as_str())
            .header("galenastream-deadline-ms", exchange.remaining_ms());
        let response: Response = request.send().await?;
        let ticket = response.headers().get("galenastream-ticket");
        if let Some(ticket) = ticket.and_then(|it| it.to_str().ok()) {
            let ticket = ticket.to_owned();
            // A whole answer leaves the connection in order for the next request.
            response.into_body().into_bytes().await.context("the answer was cut")?;
            return Ok(Ok(ticket));
        }
        Ok(Err(outcome_of(&response)))
    }

    fn build(&self, exchange: &Exchange<'_>, through_nodes: bool) -> RequestBuilder<Client> {
        let class = exchange.class;
        let method = match class.kind {
            LoadKind::Read => Method::GET,
            LoadKind::Reserve | LoadKind::Write => Method::POST,
        };
        let address = exchange.address;
        let path = format!("frames?bytes={}", class.answer_bytes);
        let uri = if through_nodes {
            format!("http://{address}/{}/{path}", self.plan.service)
        } else {
            format!("http://{address}/{path}")
        };
        let request = self
            .client
            .request(method, uri)
            .header("galenastream-key", exchange.key.as_str())
            .header("galenastream-request-id", exchange.request_id.as_str())
            .header("galenastream-class", class.name.as_str());
        if through_nodes {
            return request.header("galenastream-deadline-ms", exchange.remaining_ms());
        }
        let deadline_ns = boot_now_ns() + exchange.remaining().as_nanos() as u64;
        request.header("galenastream-deadline-boot-ns", deadline_ns.to_string())
    }
}

impl Exchange<'_> {
    fn remaining(&self) -> Duration {
        let deadline = Duration::from_millis(self.class.deadline_ms);
        deadline.saturating_sub(self.intended.elapsed())
    }

    fn remaining_ms(&self) -> String {
        self.remaining().as_millis().max(1).to_string()
    }
}

async fn judge(exchange: &Exchange<'_>, response: Response) -> anyhow::Result<Finish> {
    let outcome = outcome_of(&response);
    let body = match response.into_body().into_bytes().await {
        Ok(body) => body,
        // The caller sees that an answer is cut; it never takes it for a whole one.
        Err(_) if outcome == LoadOutcome::Ran => return Ok(LoadOutcome::Unknown.into()),
        Err(error) => return Err(error.into()),
    };
    if outcome != LoadOutcome::Ran {
        return Ok(outcome.into());
    }
    let Ok(answer) = serde_json::from_slice::<AnswerBody>(&body) else {
        return Ok(LoadOutcome::Wrong.into());
    };
    let is_own = answer.key == exchange.key && answer.request_id == exchange.request_id;
    let is_whole = answer.padding.len() == exchange.class.answer_bytes;
    if is_own && is_whole {
        return Ok(Finish { outcome: LoadOutcome::Ran, target: answer.target });
    }
    Ok(LoadOutcome::Wrong.into())
}

/// What an answer says. A target that is called directly states only what did not run.
fn outcome_of(response: &Response) -> LoadOutcome {
    let stated = response.headers().get("galenastream-outcome").and_then(|it| it.to_str().ok());
    match stated {
        Some("ran") => LoadOutcome::Ran,
        Some("not-run") => LoadOutcome::NotRun,
        Some("unknown") => LoadOutcome::Unknown,
        Some(_) => LoadOutcome::Wrong,
        None if response.status() == StatusCode::OK => LoadOutcome::Ran,
        None => LoadOutcome::Wrong,
    }
}
