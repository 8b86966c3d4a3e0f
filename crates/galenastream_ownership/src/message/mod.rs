//! Messages between the control threads of nodes.

mod beat;
mod grant;
mod promise;
mod seal;

pub use beat::*;
pub use grant::*;
pub use promise::*;
pub use seal::*;

use crate::{CellId, Term};

/// A message between the control threads of two nodes. It may be lost, doubled or late.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlMessage {
    /// A member asks for its leases.
    Beat(Beat),
    /// A coordinator or deputy confers leases.
    Grant(Grant),
    /// The receiver of a beat does not grant.
    BeatRefusal(BeatRefusal),
    /// A coordinator asks a member to send its next beat now. Confers nothing.
    Nudge(Nudge),
    /// A coordinator or deputy asks a witness for its promise.
    PromiseRequest(PromiseRequest),
    /// A witness promises.
    Promise(Promise),
    /// A candidate asks a witness to seal a term.
    SealRequest(SealRequest),
    /// A witness answers a candidate.
    SealReply(SealReply),
}

impl ControlMessage {
    /// The cell that the message is about.
    pub fn cell(&self) -> CellId {
        match self {
            Self::Beat(it) => it.cell,
            Self::Grant(it) => it.cell,
            Self::BeatRefusal(it) => it.cell,
            Self::Nudge(it) => it.cell,
            Self::PromiseRequest(it) => it.cell,
            Self::Promise(it) => it.cell,
            Self::SealRequest(it) => it.cell,
            Self::SealReply(it) => it.cell,
        }
    }
}

/// A coordinator asks a member to send its next beat now. Confers nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Nudge {
    /// The cell.
    pub cell: CellId,
    /// The coordinator's term.
    pub term: Term,
}
