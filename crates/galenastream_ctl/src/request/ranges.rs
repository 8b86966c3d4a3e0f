//! `ranges`: shows the key ranges of each service and their owners.

use clap::ArgMatches;
use galenastream_ranges::{Assignment, Holding, Owner, RangeEntry};
use galenastream_wire::{SHARED_ROWS_TABLE, SharedRowKey};
use serde::Serialize;

use crate::{
    CtlError, OutputFormat,
    request::{platform_store::PlatformStore, settings_explain::check_name},
};

#[derive(Serialize)]
struct ServiceDocument {
    service: String,
    row_version: u64,
    ranges: Vec<RangeDocument>,
}

#[derive(Serialize)]
struct RangeDocument {
    first: u16,
    last: u16,
    fence: u64,
    /// `free`, `owned` or `leaving`.
    state: &'static str,
    /// Owner of the keys. While they are leaving, it may still hold them but gets no new leases.
    owner: Option<OwnerDocument>,
    /// Next owner of a leaving range, if it is decided.
    next: Option<OwnerDocument>,
}

#[derive(Serialize)]
struct OwnerDocument {
    target: String,
    node: String,
}

pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let key = matches.get_one::<u16>("key").copied();
    let mut services = read_services(&mut PlatformStore::new(matches), key).await?;
    if let Some(service) = matches.get_one::<String>("service") {
        let known: Vec<&str> = services.iter().map(|it| it.service.as_str()).collect();
        check_name("service with keys", service, &known)?;
        services.retain(|it| it.service == *service);
    }
    output.print(&services, &to_text(&services));
    Ok(())
}

async fn read_services(
    store: &mut PlatformStore,
    key: Option<u16>,
) -> Result<Vec<ServiceDocument>, CtlError> {
    let mut services = Vec::new();
    for row in store.read_table(SHARED_ROWS_TABLE).await? {
        let (Some(SharedRowKey::Assignment(service)), Some(value)) =
            (SharedRowKey::parse(&row.key), &row.value)
        else {
            continue;
        };
        let service = service.to_owned();
        let assignment = Assignment::decode_row(value)
            .map_err(|error| CtlError::UnreadableAssignment { service: service.clone(), error })?;
        let entries = assignment.entries().iter();
        let selected = entries.filter(|it| key.is_none_or(|key| it.range.contains(key)));
        let ranges = selected.map(range_document).collect();
        services.push(ServiceDocument { service, row_version: row.version, ranges });
    }
    Ok(services)
}

fn range_document(entry: &RangeEntry) -> RangeDocument {
    let (state, owner, next) = match &entry.holding {
        Holding::Free => ("free", None, None),
        Holding::Owned(owner) => ("owned", Some(owner), None),
        Holding::Leaving { from, to, .. } => ("leaving", Some(from), to.as_ref()),
    };
    RangeDocument {
        first: entry.range.first,
        last: entry.range.last,
        fence: entry.fence,
        state,
        owner: owner.map(owner_document),
        next: next.map(owner_document),
    }
}

fn owner_document(owner: &Owner) -> OwnerDocument {
    OwnerDocument { target: owner.target.to_string(), node: owner.node.to_string() }
}

fn to_text(services: &[ServiceDocument]) -> String {
    let mut lines = Vec::new();
    for service in services {
        lines.push(format!("{}, version {}", service.service, service.row_version));
        for range in &service.ranges {
            let name = |it: &OwnerDocument| format!("{} (node {})", it.target, it.node);
            let ownership = match (&range.owner, &range.next) {
                (None, _) => "free; the planner will assign it to a target".to_owned(),
                (Some(owner), _) if range.state == "owned" => name(owner),
                (Some(owner), Some(next)) => format!("{}, moves to {}", name(owner), name(next)),
                (Some(owner), None) => format!("{}, leaving; next owner undecided", name(owner)),
            };
            lines.push(format!(
                "  {:>5} to {:>5}  fence {:>6}  {ownership}",
                range.first, range.last, range.fence
            ));
        }
    }
    if lines.is_empty() {
        lines.push("no service has a key assignment yet".to_owned());
    }
    lines.join("\n")
}
