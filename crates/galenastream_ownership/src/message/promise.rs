//! The promise of a witness not to help replace a coordinator for a while.

use crate::{CellId, Member, Sequence, Term, WitnessGeneration};

/// Whom a promise entitles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromiseRole {
    /// The coordinator of the term.
    Coordinator,
    /// A deputy while the store is down, entitled to extend leases only.
    Deputy,
}

/// A coordinator or deputy asks a witness for its promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromiseRequest {
    /// The cell.
    pub cell: CellId,
    /// The term.
    pub term: Term,
    /// The sender.
    pub from: Member,
    /// The witness, in the life that the row names.
    pub to: Member,
    /// Orders the requests of the sender.
    pub sequence: Sequence,
    /// The set of witnesses that the sender's last committed row names, or that it is changing.
    pub generation: WitnessGeneration,
    /// What the promise is for.
    pub role: PromiseRole,
}

/// A witness promises. The asker counts from when it sent the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// The cell.
    pub cell: CellId,
    /// The term.
    pub term: Term,
    /// The witness.
    pub from: Member,
    /// The request that is answered.
    pub sequence: Sequence,
    /// The highest generation that the witness has acknowledged.
    pub generation: WitnessGeneration,
    /// How long the promise lasts, counted from when the asker sent the request.
    pub promise_ms: u32,
}
