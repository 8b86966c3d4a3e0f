//! The members that a coordinator has heard of.

use crate::{
    Beat, BeatRefusal, BeatRefusalReason, BootInstant, FastMap, Incarnation, Member, PlantedFault,
    VmId,
    process::{Context, MemberRecord},
};

/// How many members are remembered, many times as many as a cell has. Beats of further ones are
/// dropped, so that senders who make up members cannot use up the memory.
const MEMBERS_MAX: usize = 1_024;

/// The members that a coordinator has heard of, in the latest life of each VM and in earlier ones
/// whose leases may not have run out.
#[derive(Debug)]
pub(crate) struct Members {
    context: Context,
    records: FastMap<Member, MemberRecord>,
    latest: FastMap<VmId, Incarnation>,
}

impl Members {
    pub(crate) fn new(context: Context) -> Self {
        Self { context, records: FastMap::default(), latest: FastMap::default() }
    }

    pub(crate) fn get(&self, member: Member) -> Option<&MemberRecord> {
        self.records.get(&member)
    }

    pub(crate) fn get_mut(&mut self, member: Member) -> Option<&mut MemberRecord> {
        self.records.get_mut(&member)
    }

    /// The latest known life of a VM.
    pub(crate) fn latest(&self, vm: VmId) -> Option<Incarnation> {
        self.latest.get(&vm).copied()
    }

    /// Whether a later life of the member's VM is known.
    pub(crate) fn is_superseded(&self, member: Member) -> bool {
        self.latest(member.vm).is_some_and(|it| it > member.incarnation)
    }

    /// The refusal of a beat of an earlier life of a VM.
    pub(crate) fn refusal(&self, beat: &Beat) -> Option<BeatRefusal> {
        let known = self.latest(beat.from.vm).filter(|it| *it > beat.from.incarnation)?;
        if self.context.planted(PlantedFault::NoIncarnationCheck) {
            return None;
        }
        let reason = BeatRefusalReason::OldIncarnation { known };
        Some(BeatRefusal { cell: beat.cell, sequence: beat.sequence, reason })
    }

    /// What the row depends on: whether slices may be assigned to a member, and whether its target
    /// checks grants.
    pub(crate) fn standing(&self, now: BootInstant, member: Member) -> Option<(bool, bool)> {
        let record = self.records.get(&member)?;
        Some((record.is_eligible(&self.context, now), record.checks_grants))
    }

    /// Learns of a life of a VM.
    pub(crate) fn learn(&mut self, member: Member) {
        let latest = self.latest.entry(member.vm).or_insert(member.incarnation);
        *latest = (*latest).max(member.incarnation);
    }

    /// Takes a beat. Returns whether it is newer than all earlier ones of its sender.
    pub(crate) fn record(&mut self, now: BootInstant, beat: &Beat) -> bool {
        let is_known = self.records.contains_key(&beat.from);
        if !is_known && self.records.len() >= MEMBERS_MAX {
            return false;
        }
        self.learn(beat.from);
        let Some(record) = self.records.get_mut(&beat.from) else {
            self.records.insert(beat.from, MemberRecord::new(now, beat));
            return true;
        };
        if beat.sequence <= record.sequence {
            return false;
        }
        record.update(&self.context, now, beat);
        true
    }

    /// Notes that a beat was answered.
    pub(crate) fn granted(&mut self, now: BootInstant, member: Member) {
        if let Some(record) = self.records.get_mut(&member) {
            record.granted(&self.context, now);
        }
    }

    /// Forgets members that were not heard of for long and own nothing.
    pub(crate) fn forget(&mut self, now: BootInstant, owns: impl Fn(Member) -> bool) {
        let limit = (self.context.lease_wait() + self.context.order_wait()) * 4;
        self.records.retain(|member, it| now <= it.heard_at + limit || owns(*member));
        self.latest.retain(|vm, life| self.records.contains_key(&Member::new(*vm, *life)));
    }

    /// The members that were heard of within a lease, in the order of their ids.
    pub(crate) fn live(&self, now: BootInstant) -> Vec<&MemberRecord> {
        let mut live: Vec<_> = self
            .records
            .values()
            .filter(|it| it.is_live(&self.context, now) && !self.is_superseded(it.member))
            .collect();
        live.sort_unstable_by_key(|it| it.member);
        live
    }

    /// The members that slices may be assigned to, in the order of their ids.
    pub(crate) fn eligible(&self, now: BootInstant) -> Vec<&MemberRecord> {
        let mut eligible = self.live(now);
        eligible.retain(|it| it.is_eligible(&self.context, now));
        eligible
    }
}
