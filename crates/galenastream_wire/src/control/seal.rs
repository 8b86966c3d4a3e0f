//! Seals of terms on the wire.

use galenastream_ownership::{
    SealOutcome, SealReply, SealRequest, Sequence, Term, WitnessGeneration,
};
use prost::{Message, Oneof};

use crate::{
    WireError,
    identity::{MemberMessage, read_cell, read_member},
};

#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct SealRequestMessage {
    #[prost(uint64, tag = "1")]
    cell: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(message, optional, tag = "3")]
    from: Option<MemberMessage>,
    #[prost(message, optional, tag = "4")]
    to: Option<MemberMessage>,
    #[prost(uint64, tag = "5")]
    sequence: u64,
    #[prost(uint64, tag = "6")]
    generation: u64,
}

impl From<&SealRequest> for SealRequestMessage {
    fn from(request: &SealRequest) -> Self {
        Self {
            cell: request.cell.bits(),
            term: request.term.0,
            from: Some(request.from.into()),
            to: Some(request.to.into()),
            sequence: request.sequence.0,
            generation: request.generation.0,
        }
    }
}

impl TryFrom<SealRequestMessage> for SealRequest {
    type Error = WireError;

    fn try_from(message: SealRequestMessage) -> Result<Self, WireError> {
        Ok(Self {
            cell: read_cell(message.cell)?,
            term: Term(message.term),
            from: read_member("from", message.from)?,
            to: read_member("to", message.to)?,
            sequence: Sequence(message.sequence),
            generation: WitnessGeneration(message.generation),
        })
    }
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct SealReplyMessage {
    #[prost(uint64, tag = "1")]
    cell: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(message, optional, tag = "3")]
    from: Option<MemberMessage>,
    #[prost(uint64, tag = "4")]
    sequence: u64,
    #[prost(oneof = "SealOutcomeMessage", tags = "5, 6, 7")]
    outcome: Option<SealOutcomeMessage>,
}

#[derive(Clone, Copy, PartialEq, Oneof)]
enum SealOutcomeMessage {
    #[prost(bool, tag = "5")]
    SealedFirst(bool),
    #[prost(uint32, tag = "6")]
    PromisedMs(u32),
    #[prost(message, tag = "7")]
    Stale(StaleMessage),
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct StaleMessage {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(uint64, tag = "2")]
    generation: u64,
}

impl From<&SealReply> for SealReplyMessage {
    fn from(reply: &SealReply) -> Self {
        Self {
            cell: reply.cell.bits(),
            term: reply.term.0,
            from: Some(reply.from.into()),
            sequence: reply.sequence.0,
            outcome: Some(reply.outcome.into()),
        }
    }
}

impl TryFrom<SealReplyMessage> for SealReply {
    type Error = WireError;

    fn try_from(message: SealReplyMessage) -> Result<Self, WireError> {
        let outcome = message.outcome.ok_or(WireError::Missing { field: "outcome" })?;
        Ok(Self {
            cell: read_cell(message.cell)?,
            term: Term(message.term),
            from: read_member("from", message.from)?,
            sequence: Sequence(message.sequence),
            outcome: outcome.into(),
        })
    }
}

impl From<SealOutcome> for SealOutcomeMessage {
    fn from(outcome: SealOutcome) -> Self {
        match outcome {
            SealOutcome::Sealed { first } => Self::SealedFirst(first),
            SealOutcome::Promised { remaining_ms } => Self::PromisedMs(remaining_ms),
            SealOutcome::Stale { term, generation } => {
                Self::Stale(StaleMessage { term: term.0, generation: generation.0 })
            }
        }
    }
}

impl From<SealOutcomeMessage> for SealOutcome {
    fn from(message: SealOutcomeMessage) -> Self {
        match message {
            SealOutcomeMessage::SealedFirst(first) => Self::Sealed { first },
            SealOutcomeMessage::PromisedMs(remaining_ms) => Self::Promised { remaining_ms },
            SealOutcomeMessage::Stale(it) => {
                Self::Stale { term: Term(it.term), generation: WitnessGeneration(it.generation) }
            }
        }
    }
}
