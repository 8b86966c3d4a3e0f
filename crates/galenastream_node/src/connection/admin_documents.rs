//! The JSON documents of the admin interface.

use galenastream_ownership::{CellView, HeldSlices, KeyHash, Member};
use serde::{Deserialize, Serialize};

use crate::process::{Node, TargetAnnouncement, boot_now};

/// What a node knows about its cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellsDocument {
    /// The node that answers.
    pub node: MemberDocument,
    /// The cells that it takes part in.
    pub cells: Vec<CellDocument>,
}

/// A cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellDocument {
    /// The name of the service.
    pub service: String,
    /// The position of the cell within its service.
    pub index: u16,
    /// The highest term that the node has seen.
    pub term: u64,
    /// The coordinator, if known.
    pub coordinator: Option<MemberDocument>,
    /// Whether the node that answers is the coordinator.
    pub is_coordinator: bool,
    /// The witnesses, as far as known.
    pub witnesses: Vec<MemberDocument>,
    /// How many slices the cell has; zero if not known.
    pub slices: usize,
    /// How many slices the node that answers holds.
    pub held_slices: usize,
    /// How long the node's lease lasts from now on; zero if it has run out.
    pub lease_remaining_ms: u64,
}

/// A VM in one life of its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDocument {
    /// The VM.
    pub vm: std::net::SocketAddrV4,
    /// The life of its node.
    pub incarnation: u64,
}

/// Who owns a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerDocument {
    /// The name of the service.
    pub service: String,
    /// The key.
    pub key: String,
    /// The position of the key, in hexadecimal digits.
    pub hash: String,
    /// The epoch of the key's slice, if known.
    pub epoch: Option<u64>,
    /// The first and the last position of the slice, in hexadecimal digits.
    pub slice: Option<[String; 2]>,
    /// The owner's VM, if the slice has an owner.
    pub owner: Option<std::net::SocketAddrV4>,
    /// The term that the answer comes from.
    pub term: u64,
    /// The coordinator's VM, if known.
    pub coordinator: Option<std::net::SocketAddrV4>,
}

/// The targets of the cell, and the one beside the node that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetsDocument {
    /// The target beside the node that answers.
    pub local: LocalTargetDocument,
    /// The live members; only the coordinator knows them.
    pub members: Vec<TargetDocument>,
}

/// The target beside a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalTargetDocument {
    /// The node's VM.
    pub vm: std::net::SocketAddrV4,
    /// What the target announced; absent while it is down.
    pub target: Option<TargetAnnouncement>,
    /// Whether the target or the node is leaving.
    pub draining: bool,
    /// How many slices the node holds.
    pub held_slices: usize,
}

/// A target of the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDocument {
    /// The VM.
    pub vm: std::net::SocketAddrV4,
    /// The life of its node.
    pub incarnation: u64,
    /// Slots of the target; zero while no target has announced itself.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How many slices it owns.
    pub slices: usize,
}

/// An order to move the slice that holds a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveOrder {
    /// The name of the service.
    pub service: String,
    /// The key.
    pub key: String,
    /// The new owner's VM.
    pub to: std::net::SocketAddrV4,
}

/// An order to take a cell over without seals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TakeoverOrder {
    /// The name of the service.
    pub service: String,
}

/// The answer to an order that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedDocument {
    /// Always true.
    pub accepted: bool,
}

/// The answer to a request that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDocument {
    /// What is wrong.
    pub error: String,
    /// What to do.
    pub remedy: String,
}

/// The answer of the health endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthDocument {
    /// The state in a word.
    pub status: String,
    /// The version of the settings in force.
    pub settings_version: u64,
}

impl From<Member> for MemberDocument {
    fn from(member: Member) -> Self {
        Self { vm: member.vm.address(), incarnation: member.incarnation.0 }
    }
}

impl CellsDocument {
    /// What a node knows now.
    pub fn of(node: &Node) -> Self {
        let view = node.view.load();
        let serving = node.serving.current();
        let member = Member::new(node.vm(), node.incarnation());
        Self { node: member.into(), cells: vec![cell_document(node, &view, serving.held())] }
    }
}

impl TargetsDocument {
    /// What a node knows now.
    pub fn of(node: &Node) -> Self {
        let view = node.view.load();
        let local = LocalTargetDocument {
            vm: node.vm().address(),
            target: node.target.current().as_deref().cloned(),
            draining: node.target.is_draining(),
            held_slices: node.serving.current().held().slices.len(),
        };
        let members = view.members.iter().map(|member| TargetDocument {
            vm: member.member.vm.address(),
            incarnation: member.member.incarnation.0,
            slots: member.slots,
            draining: member.draining,
            slices: owned_slices(&view, member.member),
        });
        Self { local, members: members.collect() }
    }
}

/// A position as operators see it.
pub fn format_position(hash: KeyHash) -> String {
    hash.to_string()
}

fn cell_document(node: &Node, view: &CellView, held: &HeldSlices) -> CellDocument {
    let lease_remaining = held.expires_at.saturating_since(boot_now());
    CellDocument {
        service: node.bootstrap.service.clone(),
        index: node.cell().index,
        term: view.term.0,
        coordinator: view.coordinator.map(MemberDocument::from),
        is_coordinator: view.coordinator.is_some_and(|it| it.vm == node.vm()),
        witnesses: view.witnesses.iter().map(|it| (*it).into()).collect(),
        slices: view.row.as_ref().map_or(0, |row| row.slices.len()),
        held_slices: held.slices.len(),
        lease_remaining_ms: u64::try_from(lease_remaining.as_millis()).unwrap_or(u64::MAX),
    }
}

fn owned_slices(view: &CellView, member: Member) -> usize {
    let slices = view.row.iter().flat_map(|row| &row.slices);
    slices.filter(|slice| slice.owner == Some(member)).count()
}
