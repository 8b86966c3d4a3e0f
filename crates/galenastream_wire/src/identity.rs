//! Identifiers as messages and rows carry them.

use galenastream_ownership::{CellId, Incarnation, Member, PlaceId, VmId, Witness, WitnessSet};
use prost::Message;

use crate::WireError;

/// Numbers of VMs and cells have at most this many bits.
const IDENTITY_BITS: u32 = 48;

/// A member on the wire.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct MemberMessage {
    #[prost(uint64, tag = "1")]
    pub vm: u64,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

impl From<Member> for MemberMessage {
    fn from(member: Member) -> Self {
        Self { vm: member.vm.bits(), incarnation: member.incarnation.0 }
    }
}

impl TryFrom<MemberMessage> for Member {
    type Error = WireError;

    fn try_from(message: MemberMessage) -> Result<Self, WireError> {
        Ok(Self::new(read_vm(message.vm)?, Incarnation(message.incarnation)))
    }
}

/// A set of witnesses on the wire, as parallel lists.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct WitnessSetMessage {
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    #[prost(uint64, repeated, tag = "2")]
    pub vms: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    pub incarnations: Vec<u64>,
    #[prost(fixed32, repeated, tag = "4")]
    pub places: Vec<u32>,
}

impl From<&WitnessSet> for WitnessSetMessage {
    fn from(set: &WitnessSet) -> Self {
        let witnesses = set.witnesses.iter();
        Self {
            generation: set.generation.0,
            vms: witnesses.clone().map(|it| it.member.vm.bits()).collect(),
            incarnations: witnesses.clone().map(|it| it.member.incarnation.0).collect(),
            places: witnesses.map(|it| it.place.0).collect(),
        }
    }
}

impl TryFrom<WitnessSetMessage> for WitnessSet {
    type Error = WireError;

    fn try_from(message: WitnessSetMessage) -> Result<Self, WireError> {
        let count = message.vms.len();
        same_length("witnesses", count, message.incarnations.len())?;
        same_length("witnesses", count, message.places.len())?;
        let mut witnesses = Vec::with_capacity(count);
        for (index, vm) in message.vms.into_iter().enumerate() {
            let member = Member::new(read_vm(vm)?, Incarnation(message.incarnations[index]));
            witnesses.push(Witness { member, place: PlaceId(message.places[index]) });
        }
        let generation = galenastream_ownership::WitnessGeneration(message.generation);
        Ok(Self { generation, witnesses })
    }
}

/// Reads the number of a VM.
pub(crate) fn read_vm(bits: u64) -> Result<VmId, WireError> {
    check_identity("vm", bits)?;
    Ok(VmId::from_bits(bits))
}

/// Reads the number of a cell.
pub(crate) fn read_cell(bits: u64) -> Result<CellId, WireError> {
    check_identity("cell", bits)?;
    Ok(CellId::from_bits(bits))
}

/// Reads a member that every message of the kind has.
pub(crate) fn read_member(
    field: &'static str,
    message: Option<MemberMessage>,
) -> Result<Member, WireError> {
    message.ok_or(WireError::Missing { field })?.try_into()
}

/// Refuses parallel lists of different lengths.
pub(crate) fn same_length(
    field: &'static str,
    expected: usize,
    found: usize,
) -> Result<(), WireError> {
    if found == expected {
        return Ok(());
    }
    Err(WireError::Invalid { field, value: found as u64 })
}

fn check_identity(field: &'static str, bits: u64) -> Result<(), WireError> {
    if bits >> IDENTITY_BITS == 0 {
        return Ok(());
    }
    Err(WireError::Invalid { field, value: bits })
}
