//! The JSON documents of a node's admin interface.

use std::net::{SocketAddr, SocketAddrV4};

use serde::{Deserialize, Serialize};

/// What a node knows about its cells.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CellsDocument {
    pub(crate) node: MemberDocument,
    pub(crate) cells: Vec<CellDocument>,
}

/// A cell.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CellDocument {
    pub(crate) service: String,
    pub(crate) index: u16,
    pub(crate) term: u64,
    pub(crate) coordinator: Option<MemberDocument>,
    pub(crate) is_coordinator: bool,
    pub(crate) witnesses: Vec<MemberDocument>,
    pub(crate) slices: usize,
    pub(crate) held_slices: usize,
    pub(crate) lease_remaining_ms: u64,
}

/// A VM in one life of its node.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct MemberDocument {
    pub(crate) vm: SocketAddrV4,
    pub(crate) incarnation: u64,
}

/// Whose key is looked up.
#[derive(Debug, Serialize)]
pub(crate) struct OwnerQuery<'a> {
    pub(crate) service: &'a str,
    pub(crate) key: &'a str,
}

/// Who owns a key.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct OwnerDocument {
    pub(crate) service: String,
    pub(crate) key: String,
    pub(crate) hash: String,
    pub(crate) epoch: Option<u64>,
    pub(crate) slice: Option<[String; 2]>,
    pub(crate) owner: Option<SocketAddrV4>,
    pub(crate) term: u64,
    pub(crate) coordinator: Option<SocketAddrV4>,
}

/// The targets of a cell, and the one beside the node that answers.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TargetsDocument {
    pub(crate) local: LocalTargetDocument,
    pub(crate) members: Vec<TargetDocument>,
}

/// The target beside a node.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LocalTargetDocument {
    pub(crate) vm: SocketAddrV4,
    pub(crate) target: Option<AnnouncedTarget>,
    pub(crate) draining: bool,
    pub(crate) held_slices: usize,
}

/// What a target said of itself.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct AnnouncedTarget {
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) checks_grants: bool,
}

/// A target of the cell.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TargetDocument {
    pub(crate) vm: SocketAddrV4,
    pub(crate) incarnation: u64,
    pub(crate) slots: u32,
    pub(crate) draining: bool,
    pub(crate) slices: usize,
}

/// An order to move the slice that holds a key.
#[derive(Debug, Serialize)]
pub(crate) struct MoveOrder<'a> {
    pub(crate) service: &'a str,
    pub(crate) key: &'a str,
    pub(crate) to: SocketAddrV4,
}

/// An order to take a cell over.
#[derive(Debug, Serialize)]
pub(crate) struct TakeoverOrder<'a> {
    pub(crate) service: &'a str,
}

/// The answer to an order that was accepted.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct AcceptedDocument {
    pub(crate) accepted: bool,
}

/// The answer to a request that was refused.
#[derive(Debug, Deserialize)]
pub(crate) struct RefusedDocument {
    pub(crate) error: String,
    pub(crate) remedy: String,
}
