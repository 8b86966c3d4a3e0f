//! The final end of a witness's promises to a term's coordinator.

use crate::{CellId, Member, Sequence, Term, WitnessGeneration};

/// A candidate asks a witness to seal a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SealRequest {
    /// The cell.
    pub cell: CellId,
    /// The term to end.
    pub term: Term,
    /// The candidate.
    pub from: Member,
    /// The witness, in the life that the row names.
    pub to: Member,
    /// Orders the requests of the candidate.
    pub sequence: Sequence,
    /// The set of witnesses that the candidate read in the row.
    pub generation: WitnessGeneration,
}

/// A witness answers a candidate, or refuses a promise with the same words.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SealReply {
    /// The cell.
    pub cell: CellId,
    /// The term of the request.
    pub term: Term,
    /// The witness.
    pub from: Member,
    /// The request that is answered.
    pub sequence: Sequence,
    /// The answer.
    pub outcome: SealOutcome,
}

/// What a witness answers to a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SealOutcome {
    /// The witness's promise has run out, and it never promises to this term's coordinator again.
    Sealed {
        /// Whether this is the first seal that the witness gave for the term, and still the only.
        first: bool,
    },
    /// A promise is still live.
    Promised {
        /// How long it lasts at the witness.
        remaining_ms: u32,
    },
    /// The request names an older term or an older set of witnesses than the witness knows.
    Stale {
        /// The highest term that the witness has seen.
        term: Term,
        /// The highest generation that the witness has acknowledged.
        generation: WitnessGeneration,
    },
}
