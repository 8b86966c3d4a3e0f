//! Beats and their refusals on the wire.

use galenastream_ownership::{
    Beat, BeatRefusal, BeatRefusalReason, Epoch, HoldingVersion, HotKey, Incarnation, KeyHash,
    Nudge, PlaceId, Sequence, SettingsVersion, SliceEpoch, SliceId, SliceLoad, Term,
    WitnessGeneration,
};
use prost::{Message, Oneof};

use crate::{
    WireError,
    identity::{MemberMessage, read_cell, read_member, same_length},
};

const WHOLE_PERCENT: u32 = 100;

#[derive(Clone, PartialEq, Message)]
pub(crate) struct BeatMessage {
    #[prost(uint64, tag = "1")]
    cell: u64,
    #[prost(message, optional, tag = "2")]
    from: Option<MemberMessage>,
    #[prost(fixed32, tag = "3")]
    place: u32,
    #[prost(uint64, tag = "4")]
    sequence: u64,
    #[prost(uint64, tag = "5")]
    term: u64,
    #[prost(message, optional, tag = "6")]
    holding: Option<HoldingMessage>,
    #[prost(uint32, repeated, tag = "7")]
    released_slices: Vec<u32>,
    #[prost(uint64, repeated, tag = "8")]
    released_epochs: Vec<u64>,
    #[prost(uint32, tag = "9")]
    slots: u32,
    #[prost(bool, tag = "10")]
    checks_grants: bool,
    #[prost(bool, tag = "11")]
    draining: bool,
    #[prost(uint64, tag = "12")]
    settings: u64,
    #[prost(message, repeated, tag = "13")]
    loads: Vec<LoadMessage>,
    #[prost(uint64, tag = "14")]
    witness_generation: u64,
    #[prost(uint64, tag = "15")]
    answered: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct HoldingMessage {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(uint64, tag = "2")]
    version: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct LoadMessage {
    #[prost(uint32, tag = "1")]
    slice: u32,
    #[prost(uint32, tag = "2")]
    busy_millislots: u32,
    #[prost(message, optional, tag = "3")]
    hottest: Option<HotKeyMessage>,
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct HotKeyMessage {
    #[prost(fixed64, tag = "1")]
    hash: u64,
    #[prost(uint32, tag = "2")]
    share_percent: u32,
}

impl From<&Beat> for BeatMessage {
    fn from(beat: &Beat) -> Self {
        Self {
            cell: beat.cell.bits(),
            from: Some(beat.from.into()),
            place: beat.place.0,
            sequence: beat.sequence.0,
            term: beat.term.0,
            holding: beat
                .holding
                .map(|(term, version)| HoldingMessage { term: term.0, version: version.0 }),
            released_slices: beat.released.iter().map(|it| it.slice.0).collect(),
            released_epochs: beat.released.iter().map(|it| it.epoch.0).collect(),
            slots: beat.slots,
            checks_grants: beat.checks_grants,
            draining: beat.draining,
            settings: beat.settings.0,
            loads: beat.loads.iter().map(LoadMessage::from).collect(),
            witness_generation: beat.witness_generation.0,
            answered: beat.answered.0,
        }
    }
}

impl TryFrom<BeatMessage> for Beat {
    type Error = WireError;

    fn try_from(message: BeatMessage) -> Result<Self, WireError> {
        same_length("released", message.released_slices.len(), message.released_epochs.len())?;
        let mut released = Vec::with_capacity(message.released_slices.len());
        for (slice, epoch) in message.released_slices.iter().zip(&message.released_epochs) {
            released.push(SliceEpoch { slice: SliceId(*slice), epoch: Epoch(*epoch) });
        }
        let mut loads = Vec::with_capacity(message.loads.len());
        for load in message.loads {
            loads.push(SliceLoad::try_from(load)?);
        }
        Ok(Self {
            cell: read_cell(message.cell)?,
            from: read_member("from", message.from)?,
            place: PlaceId(message.place),
            sequence: Sequence(message.sequence),
            term: Term(message.term),
            holding: message.holding.map(|it| (Term(it.term), HoldingVersion(it.version))),
            witness_generation: WitnessGeneration(message.witness_generation),
            answered: Sequence(message.answered),
            released,
            slots: message.slots,
            checks_grants: message.checks_grants,
            draining: message.draining,
            settings: SettingsVersion(message.settings),
            loads,
        })
    }
}

impl From<&SliceLoad> for LoadMessage {
    fn from(load: &SliceLoad) -> Self {
        Self {
            slice: load.slice.0,
            busy_millislots: load.busy_millislots,
            hottest: load.hottest.map(HotKeyMessage::from),
        }
    }
}

impl TryFrom<LoadMessage> for SliceLoad {
    type Error = WireError;

    fn try_from(message: LoadMessage) -> Result<Self, WireError> {
        Ok(Self {
            slice: SliceId(message.slice),
            busy_millislots: message.busy_millislots,
            hottest: message.hottest.map(HotKey::try_from).transpose()?,
        })
    }
}

impl From<HotKey> for HotKeyMessage {
    fn from(hottest: HotKey) -> Self {
        Self { hash: hottest.hash.0, share_percent: hottest.share_percent.into() }
    }
}

impl TryFrom<HotKeyMessage> for HotKey {
    type Error = WireError;

    fn try_from(message: HotKeyMessage) -> Result<Self, WireError> {
        let share_percent = message.share_percent;
        if share_percent > WHOLE_PERCENT {
            return Err(WireError::Invalid { field: "share_percent", value: share_percent.into() });
        }
        Ok(Self { hash: KeyHash(message.hash), share_percent: share_percent as u8 })
    }
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct BeatRefusalMessage {
    #[prost(uint64, tag = "1")]
    cell: u64,
    #[prost(uint64, tag = "2")]
    sequence: u64,
    #[prost(oneof = "RefusalReasonMessage", tags = "3, 4")]
    reason: Option<RefusalReasonMessage>,
}

#[derive(Clone, Copy, PartialEq, Oneof)]
enum RefusalReasonMessage {
    #[prost(message, tag = "3")]
    NotCoordinator(NotCoordinatorMessage),
    #[prost(uint64, tag = "4")]
    OldIncarnation(u64),
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct NotCoordinatorMessage {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(message, optional, tag = "2")]
    coordinator: Option<MemberMessage>,
}

impl From<&BeatRefusal> for BeatRefusalMessage {
    fn from(refusal: &BeatRefusal) -> Self {
        let reason = match refusal.reason {
            BeatRefusalReason::NotCoordinator { term, coordinator } => {
                RefusalReasonMessage::NotCoordinator(NotCoordinatorMessage {
                    term: term.0,
                    coordinator: coordinator.map(MemberMessage::from),
                })
            }
            BeatRefusalReason::OldIncarnation { known } => {
                RefusalReasonMessage::OldIncarnation(known.0)
            }
        };
        Self { cell: refusal.cell.bits(), sequence: refusal.sequence.0, reason: Some(reason) }
    }
}

impl TryFrom<BeatRefusalMessage> for BeatRefusal {
    type Error = WireError;

    fn try_from(message: BeatRefusalMessage) -> Result<Self, WireError> {
        let reason = match message.reason.ok_or(WireError::Missing { field: "reason" })? {
            RefusalReasonMessage::NotCoordinator(it) => BeatRefusalReason::NotCoordinator {
                term: Term(it.term),
                coordinator: it.coordinator.map(TryInto::try_into).transpose()?,
            },
            RefusalReasonMessage::OldIncarnation(known) => {
                BeatRefusalReason::OldIncarnation { known: Incarnation(known) }
            }
        };
        let cell = read_cell(message.cell)?;
        Ok(Self { cell, sequence: Sequence(message.sequence), reason })
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct NudgeMessage {
    #[prost(uint64, tag = "1")]
    cell: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
}

impl From<&Nudge> for NudgeMessage {
    fn from(nudge: &Nudge) -> Self {
        Self { cell: nudge.cell.bits(), term: nudge.term.0 }
    }
}

impl TryFrom<NudgeMessage> for Nudge {
    type Error = WireError;

    fn try_from(message: NudgeMessage) -> Result<Self, WireError> {
        Ok(Self { cell: read_cell(message.cell)?, term: Term(message.term) })
    }
}
