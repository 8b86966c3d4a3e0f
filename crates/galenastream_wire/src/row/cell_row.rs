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
    #[prost(uint32, repeated, tag = "11")]
    grant_checkers: Vec<u32>,
}

/// Writes a row as bytes.
pub fn encode_row(row: &CellRow) -> Bytes {
    let message = CellRowMessage::from(row);
    let length_bytes = message.encoded_len();
    let prefix_bytes = prost::length_delimiter_len(length_bytes);
    let mut bytes = BytesMut::with_capacity(Header::LENGTH_BYTES + prefix_bytes + length_bytes);
    bytes.put_slice(&HEADER.bytes());
    // The length tells a row that was cut between two fields from a whole one.
    prost::encoding::encode_varint(length_bytes as u64, &mut bytes);
    message.encode_raw(&mut bytes);
    bytes.freeze()
}

/// Reads a row. Refuses one whose slices do not cover the hash space in order.
pub fn decode_row(bytes: &[u8]) -> Result<CellRow, WireError> {
    let mut rest = HEADER.strip(bytes)?;
    let length_bytes = prost::decode_length_delimiter(&mut rest)?;
    if length_bytes != rest.len() {
        return Err(WireError::Malformed {
            reason: format!("{} of {length_bytes} bytes are there", rest.len()),
        });
    }
    CellRowMessage::decode(rest)?.try_into()
}

impl From<&CellRow> for CellRowMessage {
    fn from(row: &CellRow) -> Self {
        let mut table = MemberTable::default();
        let owners = row.slices.iter().map(|it| table.owner_position(it.owner)).collect();
        let grant_checkers = row.grant_checkers.iter().map(|it| table.position(*it)).collect();
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
            grant_checkers,
        }
    }
}

impl TryFrom<CellRowMessage> for CellRow {
    type Error = WireError;

    fn try_from(message: CellRowMessage) -> Result<Self, WireError> {
        let witnesses =
            message.witnesses.clone().ok_or(WireError::Missing { field: "witnesses" })?;
        let members = message.read_members()?;
        Ok(Self {
            cell: read_cell(message.cell)?,
            term: Term(message.term),
            coordinator: read_member("coordinator", message.coordinator)?,
            witnesses: WitnessSet::try_from(witnesses)?,
            grant_checkers: message.read_grant_checkers(&members)?,
            slices: message.read_slices(&members)?,
            next_slice: SliceId(message.next_slice),
        })
    }
}

impl CellRowMessage {
    fn read_members(&self) -> Result<Vec<Member>, WireError> {
        let mut members = Vec::with_capacity(self.members.len());
        for member in &self.members {
            members.push(Member::try_from(*member)?);
        }
        Ok(members)
    }

    fn read_grant_checkers(&self, members: &[Member]) -> Result<Vec<Member>, WireError> {
        let mut checkers = Vec::with_capacity(self.grant_checkers.len());
        for position in &self.grant_checkers {
            let member = read_position("grant_checkers", members, *position)?;
            checkers.push(member.ok_or(WireError::Missing { field: "grant_checkers" })?);
        }
        checkers.sort_unstable();
        Ok(checkers)
    }

    fn read_slices(&self, members: &[Member]) -> Result<Vec<Slice>, WireError> {
        let count = self.slices.len();
        same_length("slices", count, self.firsts.len())?;
        same_length("slices", count, self.epochs.len())?;
        same_length("slices", count, self.owners.len())?;
        let mut slices = Vec::with_capacity(count);
        for index in 0..count {
            self.check_first(index)?;
            slices.push(Slice {
                id: SliceId(self.slices[index]),
                first: KeyHash(self.firsts[index]),
                epoch: Epoch(self.epochs[index]),
                owner: read_position("owners", members, self.owners[index])?,
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

/// The member at a position counted from one; `None` at zero.
fn read_position(
    field: &'static str,
    members: &[Member],
    position: u32,
) -> Result<Option<Member>, WireError> {
    let Some(index) = position.checked_sub(1) else {
        return Ok(None);
    };
    match members.get(index as usize) {
        Some(member) => Ok(Some(*member)),
        None => Err(WireError::Invalid { field, value: position.into() }),
    }
}

/// The members that a row names by position, each once.
#[derive(Debug, Default)]
struct MemberTable {
    members: Vec<MemberMessage>,
    positions: FastMap<Member, u32>,
}

impl MemberTable {
    /// The position of an owner; zero for no owner.
    fn owner_position(&mut self, owner: Option<Member>) -> u32 {
        owner.map_or(0, |it| self.position(it))
    }

    /// The position of a member, counted from one.
    fn position(&mut self, member: Member) -> u32 {
        if let Some(position) = self.positions.get(&member) {
            return *position;
        }
        self.members.push(member.into());
        let position = self.members.len() as u32;
        self.positions.insert(member, position);
        position
    }
}
