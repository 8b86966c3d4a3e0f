//! Rules that are broken on purpose.

use galenastream_adapter::HeartbeatReply;
use galenastream_ranges::{Assignment, Holding};

/// A rule that is broken on purpose, to see that the judge notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Planted {
    Nothing,
    /// Targets are told to hold keys for three times as long.
    LongerHolds,
    /// All grants carry the same fencing token.
    FlatFences,
    /// A node takes a change for written before it is.
    UnwrittenChange,
    /// Keys are passed on as soon as they are to leave their owner.
    NoRelease,
}

/// What a target is told, with the planted fault.
pub fn tamper(reply: HeartbeatReply, planted: Planted) -> HeartbeatReply {
    let HeartbeatReply::Leases { mut grants, mut lease_ms } = reply else {
        return reply;
    };
    if planted == Planted::LongerHolds {
        lease_ms *= 3;
    }
    if planted == Planted::FlatFences {
        for grant in &mut grants {
            grant.fence = 1;
        }
    }
    HeartbeatReply::Leases { grants, lease_ms }
}

/// Passes on all keys that are to leave their owners.
pub fn complete_all(assignment: &mut Assignment) {
    for entry in assignment.clone().entries() {
        if let Holding::Leaving { from, .. } = &entry.holding {
            assignment.complete_move(&from.target, entry.range, "");
        }
    }
}
