//! Explains where a request would go now, and why, without sending it.

use std::{sync::Arc, time::Duration};

use galenastream_adapter::{Route, header_names};
use galenastream_routing::{AdmitDecision, NodeKey};
use galenastream_runtime::boot_now;
use galenastream_utils::BootInstant;
use http::{Request, header, request::Parts};
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};

use super::{
    caller_request::CallerRequest, entry::config_doubt, refusal::Refusal,
    target_choice::TargetChoice, target_run::class_of,
};
use crate::{
    process::{Directory, TrafficState},
    version::{ConfigDoubt, RoutingTable},
};

/// The path of the page that explains a request. Its query names the request: `method`, `host`,
/// `path`, and optionally `key` and `deadline_ms`.
pub const EXPLAIN_PATH: &str = "/explain";

/// The id under which a request is explained.
const EXPLAINED_ID: &str = "explained";

/// Where a request would go now, in the view of one node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestExplanation {
    /// The node that explains.
    pub node: String,
    /// The version of the config in force; `None` if there is none.
    pub config_version: Option<u64>,
    /// For how long the config has been in force, in milliseconds.
    pub config_age_ms: Option<u64>,
    /// Why the config may be older than the newest one.
    pub config_doubt: Option<String>,
    /// The route; `None` if no route matches.
    pub route: Option<ExplainedRoute>,
    /// Why the node would refuse the request without choosing a target.
    pub refusal: Option<String>,
    /// The services among which the route splits its requests.
    pub destinations: Vec<ExplainedDestination>,
    /// What the admission to the target beside this node would decide, if the route leads to it. The
    /// room of the link for a long answer is not part of it.
    pub admission: Option<ExplainedAdmission>,
}

/// A route in an explanation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedRoute {
    /// Its name.
    pub name: String,
    /// Its path prefix.
    pub prefix: String,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the answer is expected to be long.
    pub has_long_answers: bool,
    /// The priority; 0 is the most urgent.
    pub rank: u8,
    /// The time limit of the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// The target latency, in milliseconds.
    pub target_latency_ms: u64,
    /// The maximum number of targets that the request may reach.
    pub max_attempts: u32,
}

/// A service of a route, and the targets that are considered there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedDestination {
    /// The service.
    pub service: String,
    /// The share of the route's requests that it gets, in percent.
    pub share_percent: f64,
    /// Whether the key of the request decides.
    pub is_by_key: bool,
    /// The node beside the target that would be chosen: the owner of the key, or the candidate with
    /// the lowest expected latency. Requests compare a few random candidates each.
    pub chosen_node: Option<String>,
    /// Why no target would be chosen.
    pub no_target: Option<String>,
    /// Whether the budget allows a retry now.
    pub has_retry: bool,
    /// The targets, the most likely ones first.
    pub candidates: Vec<ExplainedCandidate>,
}

/// A target that is considered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedCandidate {
    /// The node beside it.
    pub node: String,
    /// Its id.
    pub target_id: String,
    /// Its data centre.
    pub data_centre: String,
    /// Why it is not chosen, or only if there is no other.
    pub hindrance: Option<String>,
    /// The expected latency of the request with its penalties, in milliseconds.
    pub expected_ms: u64,
    /// Since when this node has heard nothing of its load, in milliseconds; `None` if it never has.
    pub load_age_ms: Option<u64>,
    /// Requests that this node has in progress there.
    pub in_progress: u32,
    /// The requests per second that it takes, in thousandths, if that is limited.
    pub limit_milli_per_s: Option<u64>,
    /// For how long it stays cold, in milliseconds; 0 if it is not.
    pub cold_remaining_ms: u64,
}

/// What the admission to a target would decide.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedAdmission {
    /// The id of the target.
    pub target_id: String,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for it.
    pub waiting: usize,
    /// `start`, `wait` or `refuse`, the last with the reason where it is not lack of room.
    pub decision: String,
    /// After which time the caller would be told to come back, if the request is refused, in
    /// milliseconds.
    pub retry_after_ms: Option<u32>,
    /// For how long the request might wait at most, in milliseconds.
    pub max_wait_ms: Option<u64>,
}

/// Explains the request that the query of the page names. Returns the error in the query, if there is
/// one.
pub fn explain_request(
    traffic: &Arc<TrafficState>,
    query: &str,
) -> Result<RequestExplanation, String> {
    let parts = request_of_query(query)?;
    let now = boot_now();
    let routing = traffic.context.routing.load_full();
    let mut explanation = RequestExplanation {
        node: traffic.context.settings.load().node_name.clone(),
        config_version: routing.as_ref().map(|it| it.version.0),
        config_age_ms: routing.as_ref().map(|it| age_ms(it.in_force_since, now)),
        config_doubt: config_doubt(traffic, None).map(|it| ConfigDoubt::as_str(it).to_owned()),
        route: None,
        refusal: None,
        destinations: Vec::new(),
        admission: None,
    };
    let Some(routing) = routing else {
        explanation.refusal = Some(Refusal::NoConfig.as_str().to_owned());
        return Ok(explanation);
    };
    let request = match CallerRequest::parse(&parts, bytes::Bytes::new(), &routing) {
        Ok(request) => request,
        Err(refusal) => {
            let is_in_doubt = explanation.config_doubt.is_some();
            let refusal = if is_in_doubt { refusal.under_doubt() } else { refusal };
            explanation.refusal = Some(refusal.as_str().to_owned());
            return Ok(explanation);
        }
    };
    explanation.route = Some(explained_route(&request.route));
    let directory = traffic.context.directory.load_full();
    let total: f64 = request.route.destinations.iter().map(|it| it.weight).sum();
    for destination in &request.route.destinations {
        let mut explained =
            explained_destination(traffic, &routing, &directory, &request, &destination.service);
        explained.share_percent = destination.weight / total * 100.0;
        explanation.destinations.push(explained);
    }
    explanation.admission = explained_admission(traffic, &directory, &request, now);
    Ok(explanation)
}

fn request_of_query(query: &str) -> Result<Parts, String> {
    let value = |name: &str| {
        let fields = query.split('&').filter_map(|it| it.split_once('='));
        let encoded = fields.filter(|(it, _)| *it == name).map(|(_, value)| value).next()?;
        Some(percent_decode_str(encoded).decode_utf8_lossy().into_owned())
    };
    let required = |name: &str| value(name).ok_or_else(|| format!("the query lacks `{name}`"));
    let mut builder = Request::builder()
        .method(required("method")?.as_str())
        .uri(required("path")?)
        .header(header::HOST, required("host")?)
        .header(header_names::REQUEST_ID, EXPLAINED_ID);
    if let Some(key) = value("key") {
        builder = builder.header(header_names::KEY, key);
    }
    if let Some(deadline_ms) = value("deadline_ms") {
        builder = builder.header(header_names::DEADLINE_MS, deadline_ms);
    }
    let request = builder.body(()).map_err(|error| format!("no such request: {error}"))?;
    Ok(request.into_parts().0)
}

fn explained_route(route: &Route) -> ExplainedRoute {
    ExplainedRoute {
        name: route.name.clone(),
        prefix: route.prefix.clone(),
        is_idempotent: route.kind.is_idempotent(),
        has_long_answers: route.kind.has_long_answers(),
        rank: route.rank,
        timeout_ms: route.timeout_ms,
        target_latency_ms: route.target_latency_ms,
        max_attempts: route.max_attempts,
    }
}

fn explained_destination(
    traffic: &Arc<TrafficState>,
    routing: &RoutingTable,
    directory: &Directory,
    request: &CallerRequest,
    service: &str,
) -> ExplainedDestination {
    let holds_keys = routing.service(service).is_some_and(|it| it.holds_keys);
    let key = request.key.filter(|_| holds_keys);
    let settings = traffic.effective_settings(service, key);
    let choice = TargetChoice::new(traffic, service, key, settings);
    let owner = key.and_then(|key| {
        let assignment = directory.assignments.get(service)?;
        assignment.entry_of(key).holding.holder().map(|it| it.target.clone())
    });
    let now = boot_now();
    let mut candidates = Vec::new();
    for (node, standing, candidate) in choice.standings(directory) {
        let Some(target) = &node.target else {
            continue;
        };
        if key.is_some() && owner.as_ref() != Some(&target.incarnation) {
            continue;
        }
        let estimate = traffic.placement().estimate(&candidate, choice.remote_penalty(), now);
        let cold = target.cold.filter(|it| now < it.until);
        let explained = ExplainedCandidate {
            node: node.name.to_string(),
            target_id: target.incarnation.id.to_string(),
            data_centre: node.data_centre.to_string(),
            hindrance: standing.hindrance().map(str::to_owned),
            expected_ms: millis(estimate.latency),
            load_age_ms: estimate.load_age.map(millis),
            in_progress: estimate.in_progress,
            limit_milli_per_s: candidate.limit.map(|it| it.milli_per_s()),
            cold_remaining_ms: cold.map_or(0, |it| millis(it.until.saturating_since(now))),
        };
        candidates.push((standing, node.key, explained));
    }
    candidates.sort_by_key(|(standing, _, it)| (standing.precedence(), it.expected_ms));
    let chosen = candidates.first().filter(|(standing, _, _)| standing.may_be_chosen());
    let no_target = match (key, &owner, chosen) {
        (_, _, Some(_)) => None,
        (Some(_), None, None) => Some("nobody holds the key now".to_owned()),
        (Some(_), Some(_), None) => Some("the holder of the key cannot be used".to_owned()),
        (None, _, None) => Some("the service has no target that can be used".to_owned()),
    };
    ExplainedDestination {
        service: service.to_owned(),
        share_percent: 0.0,
        is_by_key: key.is_some(),
        chosen_node: chosen.map(|(_, _, it)| it.node.clone()),
        no_target,
        has_retry: traffic.has_retry(service),
        candidates: candidates.into_iter().map(|(_, _, it): (_, NodeKey, _)| it).collect(),
    }
}

fn explained_admission(
    traffic: &TrafficState,
    directory: &Directory,
    request: &CallerRequest,
    now: BootInstant,
) -> Option<ExplainedAdmission> {
    let local = directory.local.as_ref()?;
    if !request.route.destinations.iter().any(|it| *it.service == *local.service) {
        return None;
    }
    let latency_ms = u32::try_from(request.route.target_latency_ms).unwrap_or(u32::MAX);
    let has_long_answer = request.route.kind.has_long_answers();
    let class = class_of(latency_ms, u32::from(request.route.rank), has_long_answer)
        .with_alternatives(request.key.is_none());
    let preview =
        traffic.admission.preview(local.cold, class, request.soft_deadline, request.deadline);
    let is_leased = || request.key.is_none_or(|it| local.leases.covers(it, now));
    let (decision, retry_after_ms, max_wait_ms) = match preview.decision {
        _ if local.is_evacuated => ("refuse: evacuated", None, None),
        _ if local.holds_keys && !is_leased() => ("refuse: no lease on the key", None, None),
        AdmitDecision::Start => ("start", None, None),
        AdmitDecision::Wait { until, .. } => {
            ("wait", None, Some(millis(until.saturating_since(now))))
        }
        AdmitDecision::Shed { retry_after_ms } => ("refuse", Some(retry_after_ms), None),
    };
    Some(ExplainedAdmission {
        target_id: local.incarnation.id.to_string(),
        running: preview.in_progress,
        waiting: preview.waiting,
        decision: decision.to_owned(),
        retry_after_ms,
        max_wait_ms,
    })
}

fn age_ms(since: BootInstant, now: BootInstant) -> u64 {
    millis(now.saturating_since(since))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
