//! The row of a cell as bytes.

use galenastream_ownership::{
    CellRow, Epoch, FastMap, KeyHash, Member, Slice, SliceId, Term, WitnessSet,
};
use prost::{
    Message,
    bytes::{BufMut, Bytes, BytesMut},
};

use crate::{
    WireError,
    header::Header,
    identity::{MemberMessage, WitnessSetMessage, read_cell, read_member, same_length},
};

const HEADER: Header = Header { magic: 0xA8, version: 1 };

/// A row. Slices are parallel lists; owners are positions in a table of members, counted from one.
#[derive(Clone, PartialEq, Message)]
struct CellRowMessage {
    #[prost(uint64, tag = "1")]
    cell: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(message, optional, tag = "3")]
    coordinator: Option<MemberMessage>,
    #[prost(message, optional, tag = "4")]
    witnesses: Option<WitnessSetMessage>,
    #[prost(uint32, tag = "5")]
    next_slice: u32,
    #[prost(message, repeated, tag = "6")]
    members: Vec<MemberMessage>,
    #[prost(uint32, repeated, tag = "7")]
    slices: Vec<u32>,
    #[prost(fixed64, repeated, tag = "8")]
    firsts: Vec<u64>,
    #[prost(uint64, repeated, tag = "9")]
    epochs: Vec<u64>,
    #[prost(uint32, repeated, tag = "10")]
    owners: Vec<u32>,
}

/// Writes a row as bytes.
pub fn encode_row(row: &CellRow) -> Bytes {
    let message = CellRowMessage::from(row);
    let mut bytes = BytesMut::with_capacity(Header::LENGTH_BYTES + message.encoded_len());
    bytes.put_slice(&HEADER.bytes());
    message.encode_raw(&mut bytes);
    bytes.freeze()
}

/// Reads a row. Refuses one whose slices do not cover the hash space in order.
pub fn decode_row(bytes: &[u8]) -> Result<CellRow, WireError> {
    CellRowMessage::decode(HEADER.strip(bytes)?)?.try_into()
}

impl From<&CellRow> for CellRowMessage {
    fn from(row: &CellRow) -> Self {
        let mut table = MemberTable::default();
        let owners = row.slices.iter().map(|it| table.position(it.owner)).collect();
        Self {
            cell: row.cell.bits(),
            term: row.term.0,
            coordinator: Some(row.coordinator.into()),
            witnesses: Some((&row.witnesses).into()),
            next_slice: row.next_slice.0,
            members: table.members,
            slices: row.slices.iter().map(|it| it.id.0).collect(),
            firsts: row.slices.iter().map(|it| it.first.0).collect(),
            epochs: row.slices.iter().map(|it| it.epoch.0).collect(),
            owners,
        }
    }
}

impl TryFrom<CellRowMessage> for CellRow {
    type Error = WireError;

    fn try_from(message: CellRowMessage) -> Result<Self, WireError> {
        let witnesses =
            message.witnesses.clone().ok_or(WireError::Missing { field: "witnesses" })?;
        Ok(Self {
            cell: read_cell(message.cell)?,
            term: Term(message.term),
            coordinator: read_member("coordinator", message.coordinator)?,
            witnesses: WitnessSet::try_from(witnesses)?,
            slices: message.read_slices()?,
            next_slice: SliceId(message.next_slice),
        })
    }
}

impl CellRowMessage {
    fn read_slices(&self) -> Result<Vec<Slice>, WireError> {
        let count = self.slices.len();
        same_length("slices", count, self.firsts.len())?;
        same_length("slices", count, self.epochs.len())?;
        same_length("slices", count, self.owners.len())?;
        let mut members = Vec::with_capacity(self.members.len());
        for member in &self.members {
            members.push(Member::try_from(*member)?);
        }
        let mut slices = Vec::with_capacity(count);
        for index in 0..count {
            self.check_first(index)?;
            slices.push(Slice {
                id: SliceId(self.slices[index]),
                first: KeyHash(self.firsts[index]),
                epoch: Epoch(self.epochs[index]),
                owner: read_owner(&members, self.owners[index])?,
            });
        }
        Ok(slices)
    }

    fn check_first(&self, index: usize) -> Result<(), WireError> {
        let first = self.firsts[index];
        let in_order = match index.checked_sub(1) {
            Some(previous) => self.firsts[previous] < first,
            None => first == KeyHash::MIN.0,
        };
        if in_order {
            return Ok(());
        }
        Err(WireError::Invalid { field: "firsts", value: first })
    }
}

fn read_owner(members: &[Member], position: u32) -> Result<Option<Member>, WireError> {
    let Some(index) = position.checked_sub(1) else {
        return Ok(None);
    };
    match members.get(index as usize) {
        Some(member) => Ok(Some(*member)),
        None => Err(WireError::Invalid { field: "owners", value: position.into() }),
    }
}

/// The members that own slices, each once.
#[derive(Debug, Default)]
struct MemberTable {
    members: Vec<MemberMessage>,
    positions: FastMap<Member, u32>,
}

impl MemberTable {
    /// The position of an owner, counted from one; zero for no owner.
    fn position(&mut self, owner: Option<Member>) -> u32 {
        let Some(member) = owner else {
            return 0;
        };
        if let Some(position) = self.positions.get(&member) {
            return *position;
        }
        self.members.push(member.into());
        let position = self.members.len() as u32;
        self.positions.insert(member, position);
        position
    }
}
