//! Log lines from which the holders of a key can be told for any instant.

use std::time::Duration;

use galenastream_adapter::Grant;
use galenastream_ranges::{Assignment, Holding, KeyRange, RangeEntry, TargetIncarnation};

use super::local_target::LocalTargetState;

/// What proves that a target holds keys no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndEvidence {
    /// The target reported the release.
    Released,
    /// Neither the target nor the leases granted to it name the keys.
    NeverHeld,
    /// Every lease granted before the keys began to leave has ended.
    RowValidity,
    /// Nothing listens at the address of the target, and no connection of it is open.
    ConnectionsClosed,
    /// A target with another id answers at the address.
    AnotherIdentified,
    /// The heartbeats of the target have stopped, and its last lease has ended.
    LeasesExpired,
    /// Every lease on the keys has ended that this process has granted by calls, and none is under way.
    GrantsExpired,
    /// The leases that an earlier process beside the target may have granted have ended.
    EarlierLeasesExpired,
    /// Another node, beside the target, has stated so.
    ReportedByPeer,
}

impl EndEvidence {
    /// Whether the evidence shows that the process of a target is gone, so that nobody can grant keys
    /// to it any more. Otherwise only its leases have ended, and another process may grant new ones.
    pub(super) const fn is_final(self) -> bool {
        match self {
            Self::ConnectionsClosed | Self::AnotherIdentified => true,
            Self::Released
            | Self::NeverHeld
            | Self::RowValidity
            | Self::LeasesExpired
            | Self::GrantsExpired
            | Self::EarlierLeasesExpired
            | Self::ReportedByPeer => false,
        }
    }

    /// The word for the evidence in log lines.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Released => "released",
            Self::NeverHeld => "never-held",
            Self::RowValidity => "row-validity",
            Self::ConnectionsClosed => "connections-closed",
            Self::AnotherIdentified => "another-identified",
            Self::LeasesExpired => "leases-expired",
            Self::GrantsExpired => "grants-expired",
            Self::EarlierLeasesExpired => "earlier-process-leases-expired",
            Self::ReportedByPeer => "reported-by-peer",
        }
    }
}

/// The end of a hold as it is logged.
#[derive(Debug, Clone, Copy)]
pub(super) struct HoldEnd<'a> {
    pub(super) service: &'a str,
    pub(super) range: KeyRange,
    pub(super) target: &'a TargetIncarnation,
    /// The version of the row on which the change of the owner is based.
    pub(super) row_version: u64,
    pub(super) evidence: EndEvidence,
    /// The time since the evidence arose.
    pub(super) age: Duration,
    /// The node that states the evidence.
    pub(super) node: &'a str,
}

impl HoldEnd<'_> {
    pub(super) fn log(&self) {
        log::info!(
            event = "hold_ended",
            service = self.service,
            range:% = self.range,
            target:% = self.target,
            row_version = self.row_version,
            evidence = self.evidence.as_str(),
            evidence_age_ms = millis(self.age),
            node = self.node;
            ""
        );
    }
}

/// Logs the leases in the reply to a heartbeat of the local target.
pub(super) fn log_leases(
    local: &LocalTargetState,
    grants: &[Grant],
    row_version: u64,
    confirmed_age: Duration,
    lease: Duration,
) {
    let service = &*local.service;
    let target = &local.incarnation;
    let (confirmed_age_ms, lease_ms) = (millis(confirmed_age), millis(lease));
    let sequence = local.sequence;
    let ranges: Vec<(KeyRange, u64)> =
        grants.iter().map(|it| (KeyRange { first: it.first, last: it.last }, it.fence)).collect();
    if local.granted.as_ref().is_some_and(|it| it.are_exactly(&ranges)) {
        log::info!(
            event = "leases_renewed",
            service,
            target:%,
            row_version,
            confirmed_age_ms,
            lease_ms,
            sequence;
            ""
        );
        return;
    }
    let ranges: Vec<String> =
        ranges.iter().map(|(range, fence)| format!("{range}#{fence}")).collect();
    let grants = ranges.join(" ");
    log::info!(
        event = "leases_granted",
        service,
        target:%,
        row_version,
        confirmed_age_ms,
        lease_ms,
        sequence,
        grants;
        ""
    );
}

/// Logs that the local target reports keys that the newest known row assigns to another one.
pub(super) fn log_foreign_holds(
    local: &LocalTargetState,
    assignment: &Assignment,
    row_version: u64,
) {
    for held in &local.held {
        let Some(range) = KeyRange::new(held.first, held.last) else {
            continue;
        };
        for entry in assignment.entries_in(range) {
            let Some(part) = entry.range.overlap(range) else {
                continue;
            };
            let holder = entry.holding.holder().map(|it| &it.target);
            let Some(holder) = holder.filter(|it| **it != local.incarnation) else {
                continue;
            };
            log::warn!(
                event = "foreign_hold",
                service = &*local.service,
                range:% = part,
                target:% = local.incarnation,
                fence = held.fence,
                holder:% = holder,
                row_version;
                ""
            );
        }
    }
}

/// Logs how the owners in a write that `node` plans differ from those in the row that it is based on.
pub(super) fn log_owner_changes(
    node: &str,
    service: &str,
    row_version: u64,
    current: &Assignment,
    planned: &Assignment,
) {
    for new in planned.entries() {
        for old in current.entries_in(new.range) {
            let Some(range) = new.range.overlap(old.range) else {
                continue;
            };
            log_owner_change(node, service, row_version, range, old, new);
        }
    }
}

fn log_owner_change(
    planned_by: &str,
    service: &str,
    row_version: u64,
    range: KeyRange,
    old: &RangeEntry,
    new: &RangeEntry,
) {
    match &new.holding {
        Holding::Owned(owner) if new.fence != old.fence => {
            let (target, node, fence) = (&owner.target, &*owner.node, new.fence);
            log::info!(event = "keys_assigned", service, range:%, target:%, node, fence, row_version; "");
        }
        Holding::Leaving { from, to, .. } if old.holding.owner().is_some() => {
            let target = &from.target;
            let next = to.as_ref().map_or_else(|| "none".to_owned(), |it| it.target.to_string());
            let reason = match to {
                Some(_) => "planned",
                // Only the node beside a target knows that its leases have expired.
                None if *from.node == *planned_by => "leases-expired",
                None => "owner-lost",
            };
            log::info!(event = "keys_leave", service, range:%, target:%, to = next, row_version, reason; "");
        }
        Holding::Free | Holding::Owned(_) | Holding::Leaving { .. } => {}
    }
}

/// A duration in whole milliseconds, as log lines state it.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
