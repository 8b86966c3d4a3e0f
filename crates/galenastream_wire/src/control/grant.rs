//! Grants on the wire.

use galenastream_ownership::{
    Epoch, Grant, GrantSet, GrantedSlice, HoldingVersion, KeyHash, Sequence, SettingsVersion,
    SliceEpoch, SliceId, Term,
};
use prost::{Message, Oneof};

use crate::{
    WireError,
    identity::{MemberMessage, WitnessSetMessage, read_cell, read_member, same_length},
};

#[derive(Clone, PartialEq, Message)]
pub(crate) struct GrantMessage {
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
    #[prost(uint32, tag = "6")]
    lease_ms: u32,
    #[prost(oneof = "GrantSetMessage", tags = "7, 8, 9")]
    set: Option<GrantSetMessage>,
    #[prost(message, optional, tag = "10")]
    witnesses: Option<WitnessSetMessage>,
    #[prost(uint64, tag = "11")]
    settings: u64,
}

#[derive(Clone, PartialEq, Oneof)]
enum GrantSetMessage {
    #[prost(message, tag = "7")]
    Unchanged(EmptyMessage),
    #[prost(message, tag = "8")]
    Full(FullSetMessage),
    #[prost(message, tag = "9")]
    Extend(EmptyMessage),
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct EmptyMessage {}

/// The granted slices, as parallel lists.
#[derive(Clone, PartialEq, Eq, Message)]
struct FullSetMessage {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(uint32, repeated, tag = "2")]
    slices: Vec<u32>,
    #[prost(uint64, repeated, tag = "3")]
    epochs: Vec<u64>,
    #[prost(fixed64, repeated, tag = "4")]
    firsts: Vec<u64>,
    #[prost(fixed64, repeated, tag = "5")]
    lasts: Vec<u64>,
    #[prost(bool, repeated, tag = "6")]
    releases: Vec<bool>,
}

impl From<&Grant> for GrantMessage {
    fn from(grant: &Grant) -> Self {
        let set = match &grant.set {
            GrantSet::Unchanged => GrantSetMessage::Unchanged(EmptyMessage {}),
            GrantSet::Full { version, slices } => {
                GrantSetMessage::Full(FullSetMessage::new(*version, slices))
            }
            GrantSet::Extend => GrantSetMessage::Extend(EmptyMessage {}),
        };
        Self {
            cell: grant.cell.bits(),
            term: grant.term.0,
            from: Some(grant.from.into()),
            to: Some(grant.to.into()),
            sequence: grant.sequence.0,
            lease_ms: grant.lease_ms,
            set: Some(set),
            witnesses: grant.witnesses.as_ref().map(WitnessSetMessage::from),
            settings: grant.settings.0,
        }
    }
}

impl TryFrom<GrantMessage> for Grant {
    type Error = WireError;

    fn try_from(message: GrantMessage) -> Result<Self, WireError> {
        let set = match message.set.ok_or(WireError::Missing { field: "set" })? {
            GrantSetMessage::Unchanged(_) => GrantSet::Unchanged,
            GrantSetMessage::Full(full) => full.into_set()?,
            GrantSetMessage::Extend(_) => GrantSet::Extend,
        };
        Ok(Self {
            cell: read_cell(message.cell)?,
            term: Term(message.term),
            from: read_member("from", message.from)?,
            to: read_member("to", message.to)?,
            sequence: Sequence(message.sequence),
            lease_ms: message.lease_ms,
            set,
            witnesses: message.witnesses.map(TryInto::try_into).transpose()?,
            settings: SettingsVersion(message.settings),
        })
    }
}

impl FullSetMessage {
    fn new(version: HoldingVersion, slices: &[GrantedSlice]) -> Self {
        Self {
            version: version.0,
            slices: slices.iter().map(|it| it.id.slice.0).collect(),
            epochs: slices.iter().map(|it| it.id.epoch.0).collect(),
            firsts: slices.iter().map(|it| it.first.0).collect(),
            lasts: slices.iter().map(|it| it.last.0).collect(),
            releases: slices.iter().map(|it| it.release).collect(),
        }
    }

    fn into_set(self) -> Result<GrantSet, WireError> {
        let count = self.slices.len();
        same_length("slices", count, self.epochs.len())?;
        same_length("slices", count, self.firsts.len())?;
        same_length("slices", count, self.lasts.len())?;
        same_length("slices", count, self.releases.len())?;
        let mut slices = Vec::with_capacity(count);
        for index in 0..count {
            slices.push(self.slice(index)?);
        }
        Ok(GrantSet::Full { version: HoldingVersion(self.version), slices })
    }

    fn slice(&self, index: usize) -> Result<GrantedSlice, WireError> {
        let (first, last) = (self.firsts[index], self.lasts[index]);
        if first > last {
            return Err(WireError::Invalid { field: "last", value: last });
        }
        Ok(GrantedSlice {
            id: SliceEpoch { slice: SliceId(self.slices[index]), epoch: Epoch(self.epochs[index]) },
            first: KeyHash(first),
            last: KeyHash(last),
            release: self.releases[index],
        })
    }
}
