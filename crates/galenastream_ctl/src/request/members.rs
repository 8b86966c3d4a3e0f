//! `members`.

use std::net::SocketAddr;

use bytes::Bytes;
use clap::ArgMatches;
use galenastream_adapter::Row;
use galenastream_node::{OPERATORS_PORT, STATUS_PATH, StatusPage};
use galenastream_runtime::HttpConnection;
use galenastream_wire::{NodeRow, SHARED_ROWS_TABLE, SharedRowKey};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use prost::Message;
use serde::Serialize;
use tokio::{task::JoinSet, time::timeout};

use crate::{CtlError, OutputFormat, request::fleet::Fleet};

/// The longest status page: a target's leases are bounded by 4 KiB on the wire.
const MAX_PAGE_BYTES: usize = 256 * 1024;

#[derive(Serialize)]
struct MemberDocument {
    node: String,
    address: String,
    data_centre: String,
    /// What the node says of itself.
    status: Option<StatusPage>,
    /// Why it says nothing.
    failure: Option<String>,
}

pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let mut fleet = Fleet::new(matches);
    let mut asked = JoinSet::new();
    for row in fleet.read(SHARED_ROWS_TABLE).await? {
        let Some((node, listed)) = node_of(&row) else {
            continue;
        };
        let limit = fleet.limit;
        asked.spawn(async move {
            let answer = match timeout(limit, ask(&listed.address)).await {
                Ok(answer) => answer,
                Err(_) => Err(format!("no answer within {limit:?}")),
            };
            let (status, failure) = match answer {
                Ok(status) => (Some(status), None),
                Err(reason) => (None, Some(reason)),
            };
            let (address, data_centre) = (listed.address, listed.data_centre);
            MemberDocument { node, address, data_centre, status, failure }
        });
    }
    let mut members = asked.join_all().await;
    members.sort_by(|a, b| a.node.cmp(&b.node));
    output.print(&members, &to_text(&members));
    Ok(())
}

fn node_of(row: &Row) -> Option<(String, NodeRow)> {
    let Some(SharedRowKey::Node(node)) = SharedRowKey::parse(&row.key) else {
        return None;
    };
    let value = row.value.as_ref()?;
    Some((node.to_owned(), NodeRow::decode(value.as_ref()).ok()?))
}

async fn ask(address: &str) -> Result<StatusPage, String> {
    let peers: SocketAddr = address.parse().map_err(|_| format!("{address} is no address"))?;
    let address = SocketAddr::new(peers.ip(), OPERATORS_PORT);
    let request = Request::builder()
        .uri(STATUS_PATH)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|it| it.to_string())?;
    let mut connection = HttpConnection::connect(address, std::time::Duration::MAX)
        .await
        .map_err(|it| it.to_string())?;
    let response =
        connection.exchange(request, MAX_PAGE_BYTES).await.map_err(|it| it.to_string())?;
    if response.parts.status != StatusCode::OK {
        return Err(format!("status {}", response.parts.status));
    }
    serde_json::from_slice(&response.body).map_err(|it| it.to_string())
}

fn to_text(members: &[MemberDocument]) -> String {
    let mut lines = Vec::new();
    for member in members {
        let head = format!("{} at {} in {}", member.node, member.address, member.data_centre);
        match (&member.status, &member.failure) {
            (Some(status), _) => {
                lines.push(format!("{head}: {}", roles(status)));
                lines.push(versions(status));
                lines.push(target(status));
            }
            (None, failure) => {
                lines
                    .push(format!("{head}: silent, {}", failure.as_deref().unwrap_or("no reason")));
            }
        }
    }
    if lines.is_empty() {
        lines.push("no node has announced itself".to_owned());
    }
    lines.join("\n")
}

fn roles(status: &StatusPage) -> String {
    let mut roles = Vec::new();
    let named = [
        (status.is_planner, "plans"),
        (status.reads_rows, "follows the store"),
        (!status.reaches_store, "does not reach the store"),
        (status.is_closing, "stops"),
    ];
    for (holds, name) in named {
        if holds {
            roles.push(name);
        }
    }
    let heard = format!("hears {} of {} nodes", status.peers_heard, status.peers_known);
    roles.push(&heard);
    roles.join(", ")
}

fn versions(status: &StatusPage) -> String {
    let age = match status.rows_confirmed_age {
        Some(age) => format!("{} ms old", age.as_millis()),
        None => "never read".to_owned(),
    };
    format!(
        "  config {}, settings {}, owners {} ({age})",
        status.config_version, status.tree_version, status.rows_version
    )
}

fn target(status: &StatusPage) -> String {
    let Some(target) = &status.target else {
        return "  no target".to_owned();
    };
    let state = match (target.is_draining, target.is_silent) {
        (true, _) => "draining",
        (false, true) => "silent",
        (false, false) => "ready",
    };
    let keys: u32 = target.leases.iter().map(|it| u32::from(it.last - it.first) + 1).sum();
    format!(
        "  target {}@{} of {}: {state}, {} slots, {keys} keys leased",
        target.id, target.born_ms, target.service, target.slots
    )
}
