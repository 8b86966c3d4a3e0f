//! `quarantine`: lists and releases the requests that nodes refuse because they crash targets.

use clap::ArgMatches;
use galenastream_adapter::StoreError;
use galenastream_node::decode_suspect;
use galenastream_routing::{RequestFingerprint, Suspicion};
use galenastream_wire::{QuarantineRow, SHARED_ROWS_TABLE, SharedRowKey, SuspectRecord};
use prost::Message;
use serde::Serialize;

use crate::{
    CtlError, OutputFormat,
    request::{platform_store::PlatformStore, required_argument},
};

/// How often a release is tried again after another writer of the row was faster.
const MAX_RELEASE_ATTEMPTS: usize = 8;

#[derive(Serialize)]
struct QuarantineDocument {
    row_version: u64,
    requests: Vec<RequestDocument>,
}

#[derive(Serialize)]
struct RequestDocument {
    fingerprint: String,
    /// `refused`, `suspected` or `released`.
    state: &'static str,
    /// The crashes that count against the request.
    crashes: usize,
    /// Method, host and path, possibly shortened.
    request: String,
}

#[derive(Serialize)]
struct ReleaseResult {
    fingerprint: String,
    row_version: u64,
}

pub(crate) async fn list(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let (row_version, row) = read(&mut PlatformStore::new(matches)).await?;
    let requests = row.records.iter().filter_map(request_document).collect();
    let document = QuarantineDocument { row_version, requests };
    output.print(&document, &to_text(&document));
    Ok(())
}

pub(crate) async fn release(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let text = required_argument(matches, "fingerprint");
    let mut store = PlatformStore::new(matches);
    let mut conflict = CtlError::Conflict { expected: 0, in_force: 0 };
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        let (version, mut row) = read(&mut store).await?;
        let fingerprint = RequestFingerprint::parse(text).map(RequestFingerprint::to_bytes);
        let is_named = |it: &&mut SuspectRecord| {
            fingerprint.is_some_and(|fingerprint| it.fingerprint == fingerprint[..])
        };
        let Some(record) = row.records.iter_mut().find(is_named) else {
            return Err(unknown_request(text, &row));
        };
        for crash in &mut record.crashes {
            crash.is_cleared = true;
        }
        let key = SharedRowKey::Quarantine.key();
        match store.write_row(key, version, row.encode_to_vec().into()).await {
            Ok(row_version) => {
                let result = ReleaseResult { fingerprint: text.to_owned(), row_version };
                output.print(&result, &format!("released {text} with version {row_version}"));
                return Ok(());
            }
            Err(StoreError::Conflict { rows }) => {
                let in_force = rows.first().map_or(0, |it| it.version);
                conflict = CtlError::Conflict { expected: version, in_force };
            }
            Err(StoreError::NoResponse { reason }) => {
                return Err(CtlError::ReleaseOutcomeUnknown { reason });
            }
            Err(error) => return Err(CtlError::store_call_failed(store.address, &error)),
        }
    }
    Err(conflict)
}

async fn read(store: &mut PlatformStore) -> Result<(u64, QuarantineRow), CtlError> {
    let key = SharedRowKey::Quarantine.key();
    let rows = store.read_table(SHARED_ROWS_TABLE).await?;
    let Some(row) = rows.into_iter().find(|it| it.key == key) else {
        return Ok((0, QuarantineRow::default()));
    };
    let decoded = QuarantineRow::decode(row.value.unwrap_or_default())
        .map_err(|error| CtlError::UnreadableQuarantine { reason: error.to_string() })?;
    Ok((row.version, decoded))
}

fn request_document(record: &SuspectRecord) -> Option<RequestDocument> {
    let suspect = decode_suspect(record)?;
    let state = match suspect.suspicion() {
        Suspicion::Quarantined => "refused",
        Suspicion::Suspected => "suspected",
        Suspicion::None => "released",
    };
    Some(RequestDocument {
        fingerprint: suspect.fingerprint.to_string(),
        state,
        crashes: suspect.counted(),
        request: suspect.description.to_string(),
    })
}

fn unknown_request(name: &str, row: &QuarantineRow) -> CtlError {
    let known = row.records.iter().filter_map(request_document).map(|it| it.fingerprint);
    CtlError::UnknownName {
        kind: "request in quarantine",
        name: name.to_owned(),
        suggestion: None,
        known: known.collect(),
    }
}

fn to_text(document: &QuarantineDocument) -> String {
    if document.requests.is_empty() {
        return "no request is in quarantine".to_owned();
    }
    let lines = document.requests.iter().map(|it| {
        format!("{}  {:<9}  {} crashes  {}", it.fingerprint, it.state, it.crashes, it.request)
    });
    lines.collect::<Vec<_>>().join("\n")
}
