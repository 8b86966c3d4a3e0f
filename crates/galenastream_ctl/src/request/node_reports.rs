//! `cells`, `owner` and `targets`.

use clap::ArgMatches;
use galenastream_node::{
    CellDocument, CellsDocument, MemberDocument, OwnerDocument, TargetsDocument,
};

use crate::{
    CtlError, OutputFormat,
    request::{admin_client::AdminClient, argument, owner_query::OwnerQuery},
};

/// `cells`.
pub(crate) async fn cells(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let document: CellsDocument = AdminClient::new(matches).get("/admin/cells").await?;
    let mut blocks = Vec::new();
    for cell in &document.cells {
        blocks.push(cell_text(cell, &document.node));
    }
    output.print(&document, &blocks.join("\n\n"));
    Ok(())
}

/// `owner`.
pub(crate) async fn owner(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let query = OwnerQuery { service: argument(matches, "service"), key: argument(matches, "key") };
    let client = AdminClient::new(matches);
    let document: OwnerDocument = client.get_with_query("/admin/owner", &query).await?;
    output.print(&document, &owner_text(&document));
    Ok(())
}

/// `targets`.
pub(crate) async fn targets(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let document: TargetsDocument = AdminClient::new(matches).get("/admin/targets").await?;
    output.print(&document, &targets_text(&document));
    Ok(())
}

fn cell_text(cell: &CellDocument, node: &MemberDocument) -> String {
    let coordinator = match &cell.coordinator {
        Some(coordinator) if cell.is_coordinator => {
            format!("{}, the node that answers", member_text(coordinator))
        }
        Some(coordinator) => member_text(coordinator),
        None => "not known".to_owned(),
    };
    [
        format!("{}, cell {}", cell.service, cell.index),
        format!("  term         {}", cell.term),
        format!("  coordinator  {coordinator}"),
        format!("  witnesses    {}", witnesses_text(cell)),
        format!("  slices       {}", cell.slices),
        format!(
            "  this node    {}, holds {} slices, lease ends in {} ms",
            member_text(node),
            cell.held_slices,
            cell.lease_remaining_ms
        ),
    ]
    .join("\n")
}

fn owner_text(document: &OwnerDocument) -> String {
    let Some(owner) = document.owner else {
        let coordinator = match document.coordinator {
            Some(coordinator) => format!("coordinator {coordinator}"),
            None => "no coordinator known".to_owned(),
        };
        return format!("no owner at present (term {}, {coordinator})", document.term);
    };
    let mut text = format!("{owner}");
    if let Some(epoch) = document.epoch {
        text.push_str(&format!(" epoch {epoch}"));
    }
    if let Some([first, last]) = &document.slice {
        text.push_str(&format!(" slice {first}-{last}"));
    }
    format!("{text} term {}", document.term)
}

fn targets_text(document: &TargetsDocument) -> String {
    let local = &document.local;
    let target = match &local.target {
        Some(target) => format!(
            "{} at {}, {} slots, {} connections, {}",
            target.service,
            target.address,
            target.slots,
            target.connections,
            if target.checks_grants { "checks grants" } else { "does not check grants" },
        ),
        None => "no target has announced itself".to_owned(),
    };
    let mut lines = vec![format!(
        "beside node {}: {target}{}, {} slices held",
        local.vm,
        draining_text(local.draining),
        local.held_slices
    )];
    if document.members.is_empty() {
        lines.push(
            "the cell's members: only the coordinator lists them; `galenastreamctl cells` names it"
                .to_owned(),
        );
    }
    for member in &document.members {
        lines.push(format!(
            "{}#{}  {} slots, {} slices{}",
            member.vm,
            member.incarnation,
            member.slots,
            member.slices,
            draining_text(member.draining)
        ));
    }
    lines.join("\n")
}

fn draining_text(draining: bool) -> &'static str {
    if draining { ", draining" } else { "" }
}

fn member_text(member: &MemberDocument) -> String {
    format!("{}#{}", member.vm, member.incarnation)
}

fn witnesses_text(cell: &CellDocument) -> String {
    let witnesses: Vec<String> = cell.witnesses.iter().map(member_text).collect();
    match (witnesses.is_empty(), cell.is_coordinator) {
        (false, _) => witnesses.join(", "),
        (true, true) => "none, the cell runs on the store alone".to_owned(),
        (true, false) => "not known here; ask the coordinator".to_owned(),
    }
}
