//! Bugs that are injected to check that the simulation detects them.

use std::collections::BTreeMap;

use galenastream_adapter::HeartbeatReply;
use galenastream_ranges::{Assignment, Holding, KeyRange, TargetIncarnation};

/// A bug that is injected to check that the invariants of the simulation detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// Targets get leases of three times the granted duration.
    LongerLeases,
    /// All grants carry the same fencing token.
    ConstantFences,
    /// A node takes a change of an assignment for committed before it is written.
    UncommittedChange,
    /// Moves are completed when they begin, without waiting for the release of the keys.
    HandoverBeforeRelease,
    /// The rows of a store that was restored from an older copy are in force at once.
    RestoredRowsInForce,
    /// The wait for the leases of a departure counts from the first departure of the same target and
    /// keys, whatever has happened since.
    DepartureFromFirstSight,
    /// No open connection to a target counts when its address has refused a probe.
    UncountedConnections,
    /// A call whose connection was closed without an answer counts as not sent.
    ForgottenCalls,
    /// Rows that cannot be decoded are left out while the version that they belong to is confirmed.
    SkippedRows,
}

/// Applies the bug to a reply to a heartbeat.
pub fn apply_to_reply(reply: HeartbeatReply, bug: InjectedBug) -> HeartbeatReply {
    let HeartbeatReply::Leases { mut grants, mut lease_ms } = reply else {
        return reply;
    };
    if bug == InjectedBug::LongerLeases {
        lease_ms *= 3;
    }
    if bug == InjectedBug::ConstantFences {
        for grant in &mut grants {
            grant.fence = 1;
        }
    }
    HeartbeatReply::Leases { grants, lease_ms }
}

/// How long the leases on a row last, by the bounds of the simulated settings.
const ROW_VALIDITY_MS: u64 = 12_000;

/// When ranges were first seen to leave their targets.
#[derive(Debug, Default)]
pub struct FirstSights {
    leaving: BTreeMap<(TargetIncarnation, KeyRange), u64>,
}

impl FirstSights {
    /// Completes the moves of ranges that were first seen to leave long ago.
    pub fn complete_old_moves(&mut self, assignment: &mut Assignment, now_ms: u64) {
        for entry in assignment.clone().entries() {
            let Holding::Leaving { from, .. } = &entry.holding else {
                continue;
            };
            let leaving = (from.target.clone(), entry.range);
            let since_ms = *self.leaving.entry(leaving).or_insert(now_ms);
            if now_ms >= since_ms + ROW_VALIDITY_MS {
                assignment.complete_move(&from.target, entry.range, "");
            }
        }
    }
}

/// Completes all moves of an assignment.
pub fn complete_all_moves(assignment: &mut Assignment) {
    for entry in assignment.clone().entries() {
        if let Holding::Leaving { from, .. } = &entry.holding {
            assignment.complete_move(&from.target, entry.range, "");
        }
    }
}
