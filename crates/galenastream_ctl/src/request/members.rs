//! `members`: lists the nodes and the status of each.

use std::net::SocketAddr;

use bytes::Bytes;
use clap::ArgMatches;
use galenastream_adapter::Row;
use galenastream_node::{OPERATORS_PORT, STATUS_PATH, StatusPage};
use galenastream_runtime::{BodyBuffer, HttpConnection};
use galenastream_wire::{NodeRow, SHARED_ROWS_TABLE, SharedRowKey};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use prost::Message;
use serde::Serialize;
use tokio::{task::JoinSet, time::timeout};

use crate::{CtlError, OutputFormat, request::platform_store::PlatformStore};

/// Maximum size of a status page. Its longest part, the leases of one target, also fits in a
/// heartbeat reply of 4 KiB.
const MAX_PAGE_BYTES: usize = 256 * 1024;

#[derive(Serialize)]
struct MemberDocument {
    node: String,
    address: String,
    data_centre: String,
    /// Status page of the node, if it could be fetched.
    status: Option<StatusPage>,
    /// Why the status page could not be fetched.
    failure: Option<String>,
}

pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let mut store = PlatformStore::new(matches);
    let mut queries = JoinSet::new();
    for row in store.read_table(SHARED_ROWS_TABLE).await? {
        let Some((node, node_row)) = decode_node_row(&row) else {
            continue;
        };
        let answer_timeout = store.answer_timeout;
        queries.spawn(async move {
            let answer = match timeout(answer_timeout, fetch_status(&node_row.address)).await {
                Ok(answer) => answer,
                Err(_) => Err(format!("no answer within {answer_timeout:?}")),
            };
            let (status, failure) = match answer {
                Ok(status) => (Some(status), None),
                Err(reason) => (None, Some(reason)),
            };
            let (address, data_centre) = (node_row.address, node_row.data_centre);
            MemberDocument { node, address, data_centre, status, failure }
        });
    }
    let mut members = queries.join_all().await;
    members.sort_by(|a, b| a.node.cmp(&b.node));
    output.print(&members, &to_text(&members));
    Ok(())
}

fn decode_node_row(row: &Row) -> Option<(String, NodeRow)> {
    let Some(SharedRowKey::Node(node)) = SharedRowKey::parse(&row.key) else {
        return None;
    };
    let value = row.value.as_ref()?;
    Some((node.to_owned(), NodeRow::decode(value.as_ref()).ok()?))
}

async fn fetch_status(address: &str) -> Result<StatusPage, String> {
    let peer_address: SocketAddr =
        address.parse().map_err(|_| format!("{address} is not an IP address with a port"))?;
    let address = SocketAddr::new(peer_address.ip(), OPERATORS_PORT);
    let request = Request::builder()
        .uri(STATUS_PATH)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|it| it.to_string())?;
    let mut connection = HttpConnection::connect(address, std::time::Duration::MAX)
        .await
        .map_err(|it| it.to_string())?;
    let response = connection
        .exchange(request, BodyBuffer::new(MAX_PAGE_BYTES))
        .await
        .map_err(|it| it.to_string())?;
    if response.parts.status != StatusCode::OK {
        return Err(format!("the node responded with {}", response.parts.status));
    }
    serde_json::from_slice(&response.body).map_err(|it| it.to_string())
}

fn to_text(members: &[MemberDocument]) -> String {
    let mut lines = Vec::new();
    for member in members {
        let summary = format!("{} at {} in {}", member.node, member.address, member.data_centre);
        match (&member.status, &member.failure) {
            (Some(status), _) => {
                lines.push(format!("{summary}: {}", format_roles(status)));
                lines.push(format_versions(status));
                lines.push(format_target(status));
            }
            (None, failure) => {
                lines.push(format!(
                    "{summary}: status unavailable, {}",
                    failure.as_deref().unwrap_or("unknown reason")
                ));
            }
        }
    }
    if lines.is_empty() {
        lines.push("no node has registered in the store".to_owned());
    }
    lines.join("\n")
}

fn format_roles(status: &StatusPage) -> String {
    let mut roles = Vec::new();
    let role_flags = [
        (status.is_planner, "planner"),
        (status.reads_rows, "reads the store"),
        (!status.reaches_store, "cannot reach the store"),
        (status.is_closing, "stopping"),
    ];
    for (is_set, name) in role_flags {
        if is_set {
            roles.push(name);
        }
    }
    let heard = format!("heard from {} of {} other nodes", status.peers_heard, status.peers_known);
    roles.push(&heard);
    roles.join(", ")
}

fn format_versions(status: &StatusPage) -> String {
    let age = match status.rows_confirmed_age {
        Some(age) => format!("confirmed {} ms ago", age.as_millis()),
        None => "never confirmed".to_owned(),
    };
    format!(
        "  config {}, settings {}, shared rows {} ({age})",
        status.config_version, status.tree_version, status.rows_version
    )
}

fn format_target(status: &StatusPage) -> String {
    let Some(target) = &status.target else {
        return "  no target".to_owned();
    };
    let state = match (target.is_draining, target.is_silent) {
        (true, _) => "draining",
        (false, true) => "heartbeats stopped",
        (false, false) => "ready",
    };
    let keys: u32 = target.leases.iter().map(|it| u32::from(it.last - it.first) + 1).sum();
    format!(
        "  target {}@{} of {}: {state}, {} slots, {keys} keys leased",
        target.id, target.born_ms, target.service, target.slots
    )
}
