//! Bugs that are injected to check that the simulation detects them.

use galenastream_adapter::HeartbeatReply;
use galenastream_ranges::{Assignment, Holding};

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

/// Completes all moves of an assignment.
pub fn complete_all_moves(assignment: &mut Assignment) {
    for entry in assignment.clone().entries() {
        if let Holding::Leaving { from, .. } = &entry.holding {
            assignment.complete_move(&from.target, entry.range, "");
        }
    }
}
