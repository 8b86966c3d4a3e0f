//! The part of the protocol that an exploration covers.

use std::time::Duration;

use galenastream_ranges::LeaseTerms;

use crate::injected_bug::InjectedBug;

/// The part of the protocol that an exploration covers. Parts that are left out make room for
/// longer orders of the others.
#[derive(Debug, Clone, Copy)]
pub struct Scope {
    pub terms: LeaseTerms,
    pub bug: InjectedBug,
    /// Whether the node cancels departures of its target.
    pub with_cancellations: bool,
    /// Whether planners move the key with a next owner, also back to the first target.
    pub with_moves: bool,
    /// Whether the process of the node restarts.
    pub with_restarts: bool,
    /// Whether rows are also read from peers.
    pub with_peers: bool,
    /// Whether writes take effect late and answers are lost.
    pub with_lost_answers: bool,
    /// Whether programs of an earlier version write the row, without departures.
    pub with_earlier_programs: bool,
}

impl Scope {
    /// Creates a scope of revocations by planners and leases of the node, without faults.
    pub const fn new() -> Self {
        Self {
            terms: LeaseTerms::new(Duration::from_millis(2_000), Duration::from_millis(1_000)),
            bug: InjectedBug::None,
            with_cancellations: false,
            with_moves: false,
            with_restarts: false,
            with_peers: false,
            with_lost_answers: false,
            with_earlier_programs: false,
        }
    }

    pub const fn with_terms(self, row_validity_ms: u64, max_lease_ms: u64) -> Self {
        let terms = LeaseTerms::new(
            Duration::from_millis(row_validity_ms),
            Duration::from_millis(max_lease_ms),
        );
        Self { terms, ..self }
    }

    pub const fn with_bug(self, bug: InjectedBug) -> Self {
        Self { bug, ..self }
    }

    pub const fn with_cancellations(self) -> Self {
        Self { with_cancellations: true, ..self }
    }

    pub const fn with_moves(self) -> Self {
        Self { with_moves: true, ..self }
    }

    pub const fn with_restarts(self) -> Self {
        Self { with_restarts: true, ..self }
    }

    pub const fn with_peers(self) -> Self {
        Self { with_peers: true, ..self }
    }

    pub const fn with_earlier_programs(self) -> Self {
        Self { with_earlier_programs: true, ..self }
    }

    pub const fn with_lost_answers(self) -> Self {
        Self { with_lost_answers: true, ..self }
    }
}
