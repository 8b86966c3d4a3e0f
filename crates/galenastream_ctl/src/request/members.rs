//! `members`: lists the nodes and the status of each.

use clap::ArgMatches;
use galenastream_node::StatusPage;
use serde::Serialize;

use crate::{
    CtlError, OutputFormat,
    request::{node_pages::fetch_statuses, platform_store::PlatformStore},
};

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
    let mut members = Vec::new();
    for answer in fetch_statuses(&mut store).await? {
        let (status, failure) = match answer.status {
            Ok(status) => (Some(status), None),
            Err(reason) => (None, Some(reason)),
        };
        let (address, data_centre) = (answer.row.address, answer.row.data_centre);
        members.push(MemberDocument { node: answer.node, address, data_centre, status, failure });
    }
    output.print(&members, &to_text(&members));
    Ok(())
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
    let refused = status.config_refused.as_ref().map(|it| {
        let version = it.version.map_or("of unknown version".to_owned(), |it| it.to_string());
        format!("; the newest config {version} is refused: {}", it.reason)
    });
    format!(
        "  config {}, settings {}, shared rows {} ({age}){}",
        status.config_version,
        status.tree_version,
        status.rows_version,
        refused.unwrap_or_default()
    )
}

fn format_target(status: &StatusPage) -> String {
    let Some(target) = &status.target else {
        return "  no target".to_owned();
    };
    let state = match target {
        it if it.is_draining => "draining",
        it if it.is_silent => "heartbeats stopped",
        it if it.is_withheld => "unused, may have left",
        _ => "ready",
    };
    let keys: u32 = target.leases.iter().map(|it| u32::from(it.last - it.first) + 1).sum();
    format!(
        "  target {}@{} of {}: {state}, {} slots, {keys} keys leased",
        target.id, target.born_ms, target.service, target.slots
    )
}
