//! `route`: explains where a request would go now, and why, without sending it.

use std::net::SocketAddr;

use clap::ArgMatches;
use galenastream_node::{
    EXPLAIN_PATH, ExplainedAdmission, ExplainedCandidate, ExplainedDestination, RequestExplanation,
};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Serialize;
use tokio::time::{Duration, timeout};

use crate::{
    CtlError, OutputFormat,
    request::{
        node_pages::{decode_node_row, fetch_page},
        platform_store::PlatformStore,
        required_argument,
    },
};
use galenastream_wire::SHARED_ROWS_TABLE;

/// The number of candidates of a service that the text lists.
const LISTED_CANDIDATES: usize = 8;

#[derive(Serialize)]
struct RouteDocument {
    /// The explanation of the node that would take the request from its caller.
    entry: RequestExplanation,
    /// What the admission to each chosen target would decide.
    admissions: Vec<AdmissionDocument>,
}

#[derive(Serialize)]
struct AdmissionDocument {
    node: String,
    admission: Option<ExplainedAdmission>,
    /// Why it is not known.
    failure: Option<String>,
}

pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let address = *matches.get_one::<SocketAddr>("node").expect("clap requires --node");
    let timeout_ms = matches.get_one::<u64>("timeout_ms").copied().unwrap_or_default();
    let answer_timeout = Duration::from_millis(timeout_ms);
    let path = explain_path(matches);
    let entry = fetch(&address.to_string(), &path, answer_timeout)
        .await
        .map_err(|reason| CtlError::NodeCallFailed { address, reason })?;
    let mut admissions = Vec::new();
    if matches.get_one::<SocketAddr>("store").is_some() {
        let mut store = PlatformStore::new(matches);
        let rows = store.read_table(SHARED_ROWS_TABLE).await?;
        let nodes: Vec<_> = rows.iter().filter_map(decode_node_row).collect();
        for node in entry.destinations.iter().filter_map(|it| it.chosen_node.clone()) {
            let row = nodes.iter().find(|(name, _)| *name == node);
            let answer = match row {
                Some((_, row)) => fetch(&row.address, &path, answer_timeout).await,
                None => Err("the node has no row in the store".to_owned()),
            };
            let (admission, failure) = match answer {
                Ok(explanation) => (explanation.admission, None),
                Err(reason) => (None, Some(reason)),
            };
            admissions.push(AdmissionDocument { node, admission, failure });
        }
    }
    let document = RouteDocument { entry, admissions };
    output.print(&document, &to_text(&document));
    Ok(())
}

fn explain_path(matches: &ArgMatches) -> String {
    let encoded = |text: &str| utf8_percent_encode(text, NON_ALPHANUMERIC).to_string();
    let mut path = format!(
        "{EXPLAIN_PATH}?method={}&host={}&path={}",
        encoded(required_argument(matches, "method")),
        encoded(required_argument(matches, "host")),
        encoded(required_argument(matches, "path")),
    );
    if let Some(key) = matches.get_one::<u16>("key") {
        path += &format!("&key={key}");
    }
    if let Some(deadline_ms) = matches.get_one::<u32>("deadline_ms") {
        path += &format!("&deadline_ms={deadline_ms}");
    }
    path
}

async fn fetch(
    address: &str,
    path: &str,
    answer_timeout: Duration,
) -> Result<RequestExplanation, String> {
    match timeout(answer_timeout, fetch_page(address, path)).await {
        Ok(answer) => answer,
        Err(_) => Err(format!("no answer within {answer_timeout:?}")),
    }
}

fn to_text(document: &RouteDocument) -> String {
    let entry = &document.entry;
    let mut lines = vec![format_config(entry)];
    if let Some(refusal) = &entry.refusal {
        lines.push(format!("  refused by this node: {refusal}"));
    }
    if let Some(route) = &entry.route {
        let repeats = if route.is_idempotent { "may run again" } else { "runs at most once" };
        let length = if route.has_long_answers { ", long answers" } else { "" };
        lines.push(format!(
            "  route {} at {}: {repeats}{length}, rank {}, target latency {} ms, timeout {} ms, at most {} targets",
            route.name, route.prefix, route.rank, route.target_latency_ms, route.timeout_ms,
            route.max_attempts
        ));
    }
    for destination in &entry.destinations {
        push_destination(&mut lines, destination);
    }
    for admission in &document.admissions {
        lines.push(format_admission(admission));
    }
    lines.join("\n")
}

fn format_config(entry: &RequestExplanation) -> String {
    let Some(version) = entry.config_version else {
        return format!("{} has no config", entry.node);
    };
    let age_ms = entry.config_age_ms.unwrap_or_default();
    let doubt = entry.config_doubt.as_ref().map(|it| format!(", in doubt: {it}"));
    let doubt = doubt.unwrap_or_default();
    format!("{}: config {version}, in force for {age_ms} ms{doubt}", entry.node)
}

fn push_destination(lines: &mut Vec<String>, destination: &ExplainedDestination) {
    let basis = if destination.is_by_key { "owner of the key" } else { "lowest expected latency" };
    let choice = match (&destination.chosen_node, &destination.no_target) {
        (Some(node), _) => format!("to the target beside {node} ({basis})"),
        (None, Some(reason)) => format!("to nobody: {reason}"),
        (None, None) => "to nobody".to_owned(),
    };
    let retry = if destination.has_retry { "allows" } else { "does not allow" };
    lines.push(format!(
        "  {:.0}% to {}: {choice}; the budget {retry} a retry",
        destination.share_percent, destination.service
    ));
    for candidate in destination.candidates.iter().take(LISTED_CANDIDATES) {
        lines.push(format_candidate(candidate));
    }
    let left_out = destination.candidates.len().saturating_sub(LISTED_CANDIDATES);
    if left_out > 0 {
        lines.push(format!("    and {left_out} more"));
    }
}

fn format_candidate(candidate: &ExplainedCandidate) -> String {
    let mut notes = Vec::new();
    match candidate.load_age_ms {
        Some(age_ms) => notes.push(format!("load heard {age_ms} ms ago")),
        None => notes.push("load unknown".to_owned()),
    }
    if let Some(limit) = candidate.limit_milli_per_s {
        notes.push(format!("takes {} requests/s", limit as f64 / 1_000.0));
    }
    if candidate.cold_remaining_ms > 0 {
        notes.push(format!("cold for {} ms", candidate.cold_remaining_ms));
    }
    if let Some(hindrance) = &candidate.hindrance {
        notes.push(format!("not preferred: {hindrance}"));
    }
    format!(
        "    {} in {}: {} ms expected, {} in progress from here, {}",
        candidate.node,
        candidate.data_centre,
        candidate.expected_ms,
        candidate.in_progress,
        notes.join(", ")
    )
}

fn format_admission(document: &AdmissionDocument) -> String {
    let node = &document.node;
    let Some(admission) = &document.admission else {
        let failure = document.failure.as_deref().unwrap_or("its target is of another service");
        return format!("  admission beside {node}: not known, {failure}");
    };
    let decision = match (admission.retry_after_ms, admission.max_wait_ms) {
        (Some(retry_after_ms), _) => format!("refuse, come back after {retry_after_ms} ms"),
        (None, Some(max_wait_ms)) => format!("wait, at most {max_wait_ms} ms"),
        (None, None) => admission.decision.clone(),
    };
    format!(
        "  admission beside {node}: {decision}; {} running, {} waiting",
        admission.running, admission.waiting
    )
}
