//! Keys that a target holds no longer.

use crate::KeyRange;

/// A range that a target provably holds no longer, although it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedPart {
    /// The keys.
    pub range: KeyRange,
    /// The handover token of the target; empty if there is none.
    pub handover: String,
    /// What proves it.
    pub proof: EndProof,
}

/// What proves that a running target holds keys no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndProof {
    /// The target has answered a release that was sent after its answer to the last grant, and no
    /// grant is left that it may carry out late.
    Released,
    /// No grant of the keys is left whose lease can last.
    Expired,
}
