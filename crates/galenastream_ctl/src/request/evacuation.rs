//! `evacuation`: shows which data centres are evacuated, and how far that has come.

use clap::ArgMatches;
use galenastream_adapter::EvacuationChange;
use serde::Serialize;

use crate::{
    CtlError, OutputFormat,
    request::{
        node_pages::{NodeStatusAnswer, fetch_statuses},
        platform_store::PlatformStore,
    },
};

#[derive(Serialize)]
struct EvacuationDocument {
    data_centre: String,
    /// Version of the row; `None` if only nodes know of the evacuation.
    row_version: Option<u64>,
    /// For how long a node has known it, at most.
    known_ms: u64,
    /// Nodes that do not know it, of those that answered.
    unaware: Vec<String>,
    /// Nodes that did not answer.
    silent: Vec<String>,
    /// Targets of the data centre.
    targets: Vec<EvacuatedTarget>,
}

/// A target of an evacuated data centre.
#[derive(Serialize)]
struct EvacuatedTarget {
    node: String,
    service: String,
    leased_keys: u32,
    pending_requests: usize,
}

pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let mut store = PlatformStore::new(matches);
    let requested = store.read_evacuations().await?;
    let nodes = fetch_statuses(&mut store).await?;
    let documents = documents(&requested, &nodes);
    output.print(&documents, &to_text(&documents));
    Ok(())
}

fn documents(
    requested: &[EvacuationChange],
    nodes: &[NodeStatusAnswer],
) -> Vec<EvacuationDocument> {
    let mut data_centres: Vec<String> = requested.iter().map(|it| it.data_centre.clone()).collect();
    let statuses = || nodes.iter().filter_map(|it| it.status.as_ref().ok());
    for status in statuses() {
        data_centres.extend(status.evacuated.iter().map(|it| it.data_centre.clone()));
    }
    data_centres.sort();
    data_centres.dedup();
    let mut documents = Vec::new();
    for data_centre in data_centres {
        let row = requested.iter().find(|it| it.data_centre == data_centre);
        let known =
            statuses().flat_map(|it| &it.evacuated).filter(|it| it.data_centre == data_centre);
        let known_ms = known.map(|it| it.known.as_millis()).max().unwrap_or_default();
        let mut document = EvacuationDocument {
            row_version: row.map(|it| it.row_version),
            known_ms: u64::try_from(known_ms).unwrap_or(u64::MAX),
            unaware: Vec::new(),
            silent: Vec::new(),
            targets: Vec::new(),
            data_centre,
        };
        for node in nodes {
            document.add_node(node);
        }
        documents.push(document);
    }
    documents
}

impl EvacuationDocument {
    fn add_node(&mut self, node: &NodeStatusAnswer) {
        let Ok(status) = &node.status else {
            self.silent.push(node.node.clone());
            return;
        };
        if !status.evacuated.iter().any(|it| it.data_centre == self.data_centre) {
            self.unaware.push(node.node.clone());
        }
        let Some(target) =
            status.target.as_ref().filter(|_| status.data_centre == self.data_centre)
        else {
            return;
        };
        let leased_keys = target.leases.iter().map(|it| u32::from(it.last - it.first) + 1).sum();
        self.targets.push(EvacuatedTarget {
            node: node.node.clone(),
            service: target.service.clone(),
            leased_keys,
            pending_requests: target.pending_requests,
        });
    }
}

fn to_text(documents: &[EvacuationDocument]) -> String {
    if documents.is_empty() {
        return "no data centre is evacuated".to_owned();
    }
    let mut lines = Vec::new();
    for document in documents {
        let source = match document.row_version {
            Some(version) => format!("version {version}"),
            None => "no longer in the store".to_owned(),
        };
        lines.push(format!(
            "{}: {source}, known to a node for {} ms",
            document.data_centre, document.known_ms
        ));
        if !document.unaware.is_empty() {
            lines.push(format!("  not known to {}", document.unaware.join(", ")));
        }
        if !document.silent.is_empty() {
            lines.push(format!("  no answer from {}", document.silent.join(", ")));
        }
        for target in &document.targets {
            lines.push(format!(
                "  target of {} beside {}: {} keys leased, {} requests pending",
                target.service, target.node, target.leased_keys, target.pending_requests
            ));
        }
    }
    lines.join("\n")
}
