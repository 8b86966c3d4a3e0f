//! `trace-key`: lists who held a key, by the logs of nodes.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use clap::ArgMatches;
use jiff::Timestamp;
use serde::Serialize;

use crate::{
    CtlError, OutputFormat,
    request::{
        key_history::{
            Change, ChangeKind, Hold, KeyHistory, LeaseCallKind, LogTime, NodeLog, Overlap,
            OverlapKind, OwnerChange, Proof, RowWrite, UnknownGrants, UnreadableLines,
        },
        required_argument,
    },
};

/// Result of the command.
#[derive(Serialize)]
struct KeyTrace {
    #[serde(flatten)]
    history: KeyHistory,
    /// The instant that the history is reduced to.
    at: Option<LogTime>,
    unreadable_lines: Vec<UnreadableLines>,
}

pub(crate) fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let service = required_argument(matches, "service");
    let key = matches.get_one::<u16>("key").copied().unwrap_or_default();
    let paths: Vec<&PathBuf> = matches.get_many("logs").map_or_else(Vec::new, Iterator::collect);
    let mut logs = Vec::new();
    for path in &paths {
        let log = read_log(path, service, key)
            .map_err(|error| CtlError::unreadable_file(*path, &error))?;
        logs.push(log);
    }
    let mut history = KeyHistory::new(service, key, &logs);
    if history.is_empty() {
        let (service, log_count) = (service.to_owned(), logs.len());
        return Err(CtlError::KeyNotInLogs { service, key, log_count });
    }
    let at = matches.get_one::<Timestamp>("at").copied().map(LogTime::new);
    if let Some(at) = at {
        history = history.at(&logs, at);
    }
    let unreadable_lines = logs.iter().filter_map(NodeLog::unreadable).cloned().collect();
    let trace = KeyTrace { history, at, unreadable_lines };
    output.print(&trace, &to_text(&trace));
    Ok(())
}

fn read_log(path: &Path, service: &str, key: u16) -> std::io::Result<NodeLog> {
    let file_name = path.file_name().unwrap_or_default().to_string_lossy();
    let mut log = NodeLog::new(&file_name);
    for line in BufReader::new(File::open(path)?).split(b'\n') {
        log.add(&line?, service, key);
    }
    Ok(log)
}

fn to_text(trace: &KeyTrace) -> String {
    let history = &trace.history;
    let instant = trace.at.map_or_else(String::new, |it| format!(", leases at {it}"));
    let mut lines = vec![format!("service {}, key {}{instant}", history.service, history.key)];
    lines.push("lines of several VMs are ordered only as accurately as their clocks".to_owned());
    lines.push(String::new());
    lines.extend(chronological_lines(history));
    lines.push(String::new());
    lines.push("changes of owner".to_owned());
    for change in &history.owner_changes {
        lines.push(format!("  {}", owner_change_text(change)));
    }
    if history.owner_changes.is_empty() {
        lines.push("  none".to_owned());
    }
    lines.push(String::new());
    lines.push("overlaps".to_owned());
    for overlap in &history.overlaps {
        lines.push(format!("  {}", overlap_text(overlap)));
    }
    if history.overlaps.is_empty() {
        lines.push("  none".to_owned());
    }
    for unknown in &history.unknown_grants {
        lines.push(format!(
            "  not known: {} (node {}) may have held the key from {} to {}",
            unknown.target, unknown.node, unknown.first_at, unknown.lease_ends_at
        ));
    }
    if !trace.unreadable_lines.is_empty() {
        lines.push(String::new());
        lines.push("lines that cannot be read and are left out".to_owned());
    }
    for unreadable in &trace.unreadable_lines {
        let UnreadableLines { log, count, first_line, reason } = unreadable;
        lines.push(format!("  {log}: {count}, the first is line {first_line}: {reason}"));
    }
    lines.join("\n")
}

fn chronological_lines(history: &KeyHistory) -> Vec<String> {
    let mut lines: Vec<(LogTime, &str, String)> = Vec::new();
    for hold in &history.holds {
        lines.push((hold.granted_at, &hold.node, hold_text(hold)));
    }
    for change in &history.changes {
        lines.push((change.time, &change.node, change_text(change)));
    }
    for unknown in &history.unknown_grants {
        lines.push((unknown.first_at, &unknown.node, unknown_text(unknown)));
    }
    if lines.is_empty() {
        return vec!["none".to_owned()];
    }
    lines.sort_by_key(|(time, ..)| *time);
    lines.into_iter().map(|(time, node, text)| format!("{time}  {node}  {text}")).collect()
}

fn hold_text(hold: &Hold) -> String {
    let mut text = format!("granted to {}, fence {}", hold.target, hold.fence);
    let age_ms = hold.rows.iter().map(|it| it.max_confirmed_age_ms).max().unwrap_or_default();
    let versions = match hold.rows.as_slice() {
        [row] => format!("row version {}", row.row_version),
        [first, .., last] => format!("row versions {} to {}", first.row_version, last.row_version),
        [] => "no row".to_owned(),
    };
    text += &format!(", {versions} confirmed at most {age_ms} ms before");
    if hold.renewals > 0 {
        text += &format!(", last renewed {} (renewals: {})", hold.renewed_at, hold.renewals);
    }
    text += &format!(", lease ends {}", hold.lease_ends_at);
    for (word, time) in [
        ("revoked", hold.revoked_at),
        ("under another fence", hold.fence_changed_at),
        ("released", hold.released_at),
    ] {
        if let Some(time) = time {
            text += &format!(", {word} {time}");
        }
    }
    text
}

fn unknown_text(unknown: &UnknownGrants) -> String {
    let mut text = format!(
        "renews leases of {} on keys that the log does not name, last {} (renewals: {}), lease ends {}",
        unknown.target, unknown.renewed_at, unknown.renewals, unknown.lease_ends_at
    );
    if let Some(known_from) = unknown.known_from {
        text += &format!(", keys known from {known_from}");
    }
    text
}

fn change_text(change: &Change) -> String {
    let written = || written_text(change.kind.written());
    match &change.kind {
        ChangeKind::KeysLeave { target, to, reason, based_on, .. } => {
            format!("leaves {target}, to {to}, reason {reason}; on row {based_on}, {}", written())
        }
        ChangeKind::MoveCancelled { target, based_on, .. } => {
            format!("stays at {target}, move cancelled; on row {based_on}, {}", written())
        }
        ChangeKind::HoldEnded {
            target, evidence, evidence_age_ms, reported_by, based_on, ..
        } => {
            let reporter = reporter_text(reported_by.as_deref());
            format!(
                "hold of {target} ended, evidence {evidence}{reporter}, {evidence_age_ms} ms old; on row {based_on}, {}",
                written()
            )
        }
        ChangeKind::KeysAssigned { target, owner_node, fence, based_on, .. } => format!(
            "assigned to {target} (node {owner_node}), fence {fence}; on row {based_on}, {}",
            written()
        ),
        ChangeKind::LeaseWithheld { reason, count, last_at } => {
            format!("lease withheld, reason {reason}, last {last_at} (heartbeats: {count})")
        }
        ChangeKind::LeaseCall { kind, target, fence, lease_ms, outcome, elapsed_ms } => {
            let lease = lease_ms.map_or_else(String::new, |it| format!(" for {it} ms"));
            let kind = match kind {
                LeaseCallKind::Grant => "grant",
                LeaseCallKind::Release => "release",
            };
            format!(
                "{kind} call to {target}, fence {fence}{lease}: {outcome}, {elapsed_ms} ms after it was decided"
            )
        }
        ChangeKind::ForeignHold { target, fence, holder, row_version } => format!(
            "FOREIGN HOLD: {target} reports fence {fence}, but row {row_version} names {holder}"
        ),
    }
}

fn written_text(written: Option<RowWrite>) -> String {
    match written {
        Some(write) => format!("written as {} at {}", write.row_version, write.at),
        None => "planned, but its log has no write of it".to_owned(),
    }
}

fn reporter_text(reported_by: Option<&str>) -> String {
    reported_by.map_or_else(String::new, |node| format!(" of node {node}"))
}

fn owner_change_text(change: &OwnerChange) -> String {
    let from = change.from.as_deref().unwrap_or("no known owner");
    let mut text = format!("fence {}: {from} -> {}", change.fence, change.to);
    match (change.assigned_at, &change.assigned_by) {
        (Some(at), Some(node)) => text += &format!(", assigned {at} by {node}"),
        _ => text += ", no assignment in these logs",
    }
    if let Some(row_version) = change.row_version {
        text += &format!(", row version {row_version}");
    }
    match change.first_granted_at {
        Some(at) => text += &format!(", first granted {at}"),
        None => text += ", no grant in these logs",
    }
    if change.from.is_some() {
        text += &format!("\n    {}", proof_text(change.proof.as_ref()));
    }
    text
}

fn proof_text(proof: Option<&Proof>) -> String {
    let Some(proof) = proof else {
        return "NO PROOF in these logs that the holder before had ended".to_owned();
    };
    let Proof { evidence, age_ms, proven_at, node, .. } = proof;
    let reporter = reporter_text(proof.reported_by.as_deref());
    let reported = proof.reported_evidence.as_ref();
    let reported = reported.map_or_else(String::new, |it| format!(" (there: {it})"));
    format!(
        "proof that the holder before had ended: {evidence}{reporter}{reported}, {age_ms} ms old, of {proven_at}, found by {node}"
    )
}

fn overlap_text(overlap: &Overlap) -> String {
    let Overlap { kind, first, second, from, until, duration_ms, proof } = overlap;
    let (mark, remark) = match kind {
        OverlapKind::Held if proof.is_some() => ("OVERLAP", "the logs disprove the proof"),
        OverlapKind::Held => ("OVERLAP", "nothing in these logs ended the first hold"),
        OverlapKind::Revoked => {
            ("possible overlap", "a reply had revoked the key, but may not have arrived")
        }
        OverlapKind::Proven => ("possible overlap", "only if the proof is wrong"),
    };
    let mut text = format!(
        "{mark}, up to {duration_ms} ms, {from} to {until}: {} (node {}, fence {}) and {} (node {}, fence {}); {remark}",
        first.target, first.node, first.fence, second.target, second.node, second.fence
    );
    if proof.is_some() {
        text += &format!("\n    {}", proof_text(proof.as_ref()));
    }
    text
}
