//! Promises of witnesses on the wire.

use galenastream_ownership::{
    Promise, PromiseRequest, PromiseRole, Sequence, Term, WitnessGeneration,
};
use prost::{Enumeration, Message};

use crate::{
    WireError,
    identity::{MemberMessage, read_cell, read_member},
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
enum PromiseRoleMessage {
    Unspecified = 0,
    Coordinator = 1,
    Deputy = 2,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct PromiseRequestMessage {
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
    #[prost(enumeration = "PromiseRoleMessage", tag = "7")]
    role: i32,
}

impl From<&PromiseRequest> for PromiseRequestMessage {
    fn from(request: &PromiseRequest) -> Self {
        let role = match request.role {
            PromiseRole::Coordinator => PromiseRoleMessage::Coordinator,
            PromiseRole::Deputy => PromiseRoleMessage::Deputy,
        };
        Self {
            cell: request.cell.bits(),
            term: request.term.0,
            from: Some(request.from.into()),
            to: Some(request.to.into()),
            sequence: request.sequence.0,
            generation: request.generation.0,
            role: role.into(),
        }
    }
}

impl TryFrom<PromiseRequestMessage> for PromiseRequest {
    type Error = WireError;

    fn try_from(message: PromiseRequestMessage) -> Result<Self, WireError> {
        let role = match PromiseRoleMessage::try_from(message.role) {
            Ok(PromiseRoleMessage::Coordinator) => PromiseRole::Coordinator,
            Ok(PromiseRoleMessage::Deputy) => PromiseRole::Deputy,
            Ok(PromiseRoleMessage::Unspecified) | Err(_) => {
                return Err(WireError::Invalid { field: "role", value: message.role as u64 });
            }
        };
        Ok(Self {
            cell: read_cell(message.cell)?,
            term: Term(message.term),
            from: read_member("from", message.from)?,
            to: read_member("to", message.to)?,
            sequence: Sequence(message.sequence),
            generation: WitnessGeneration(message.generation),
            role,
        })
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct PromiseMessage {
    #[prost(uint64, tag = "1")]
    cell: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(message, optional, tag = "3")]
    from: Option<MemberMessage>,
    #[prost(uint64, tag = "4")]
    sequence: u64,
    #[prost(uint64, tag = "5")]
    generation: u64,
    #[prost(uint32, tag = "6")]
    promise_ms: u32,
}

impl From<&Promise> for PromiseMessage {
    fn from(promise: &Promise) -> Self {
        Self {
            cell: promise.cell.bits(),
            term: promise.term.0,
            from: Some(promise.from.into()),
            sequence: promise.sequence.0,
            generation: promise.generation.0,
            promise_ms: promise.promise_ms,
        }
    }
}

impl TryFrom<PromiseMessage> for Promise {
    type Error = WireError;

    fn try_from(message: PromiseMessage) -> Result<Self, WireError> {
        Ok(Self {
            cell: read_cell(message.cell)?,
            term: Term(message.term),
            from: read_member("from", message.from)?,
            sequence: Sequence(message.sequence),
            generation: WitnessGeneration(message.generation),
            promise_ms: message.promise_ms,
        })
    }
}
