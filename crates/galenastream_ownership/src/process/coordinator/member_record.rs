//! What a coordinator knows of one member.

use std::time::Duration;

use crate::{
    Beat, BootInstant, GrantedSlice, HoldingVersion, LiveMember, Member, PlaceId, Sequence,
    process::Context,
};

/// Leases without a reply that reached the member, after which its replies count as lost.
const LOST_REPLY_LEASES: u32 = 3;

/// What a coordinator knows of one member.
#[derive(Debug)]
pub(crate) struct MemberRecord {
    pub(crate) member: Member,
    pub(crate) place: PlaceId,
    pub(crate) slots: u32,
    pub(crate) checks_grants: bool,
    pub(crate) draining: bool,
    pub(crate) sequence: Sequence,
    pub(crate) heard_at: BootInstant,
    /// Receipt of the last beat that was answered.
    pub(crate) granted_at: Option<BootInstant>,
    /// The last beat whose reply is known to have arrived, and when that became known.
    answered: (Sequence, BootInstant),
    /// Whether beats arrive but replies get lost.
    pub(crate) is_deaf: bool,
    pub(crate) set: GrantedSet,
}

/// The slices that were last granted to a member.
#[derive(Debug, Default)]
pub(crate) struct GrantedSet {
    pub(crate) version: HoldingVersion,
    pub(crate) slices: Vec<GrantedSlice>,
    /// The state of the book at which the set was worked out.
    pub(crate) revision: Option<u64>,
}

impl MemberRecord {
    pub(crate) fn new(now: BootInstant, beat: &Beat) -> Self {
        Self {
            member: beat.from,
            place: beat.place,
            slots: beat.slots,
            checks_grants: beat.checks_grants,
            draining: beat.draining,
            sequence: beat.sequence,
            heard_at: now,
            granted_at: None,
            answered: (beat.answered, now),
            is_deaf: false,
            set: GrantedSet::default(),
        }
    }

    /// Takes over what a newer beat says.
    pub(crate) fn update(&mut self, context: &Context, now: BootInstant, beat: &Beat) {
        self.place = beat.place;
        self.slots = beat.slots;
        self.checks_grants = beat.checks_grants;
        self.draining = beat.draining;
        self.sequence = beat.sequence;
        self.heard_at = now;
        self.notice_lost_replies(context, now, beat.answered);
    }

    /// Notes that its last beat was answered.
    pub(crate) fn granted(&mut self, context: &Context, now: BootInstant) {
        let lease = context.lease_wait();
        if self.granted_at.is_none_or(|it| now > it + lease) {
            self.answered.1 = now;
        }
        self.granted_at = Some(now);
    }

    fn notice_lost_replies(&mut self, context: &Context, now: BootInstant, answered: Sequence) {
        if answered > self.answered.0 {
            self.answered = (answered, now);
            self.is_deaf = false;
            return;
        }
        let Some(granted_at) = self.granted_at else {
            self.answered.1 = now;
            return;
        };
        let lease = context.lease_wait();
        let limit: Duration = lease * LOST_REPLY_LEASES;
        if granted_at > self.answered.1 + limit {
            self.is_deaf = true;
        }
        if self.is_deaf && now > granted_at + lease * LOST_REPLY_LEASES * 2 {
            // Try again: replies may get through now.
            self.is_deaf = false;
            self.answered.1 = now;
        }
    }

    /// Whether it was heard of within a lease.
    pub(crate) fn is_live(&self, context: &Context, now: BootInstant) -> bool {
        !self.is_deaf && now < self.heard_at + context.lease_wait()
    }

    /// Whether slices may be assigned to it.
    pub(crate) fn is_eligible(&self, context: &Context, now: BootInstant) -> bool {
        self.slots > 0 && !self.draining && self.is_live(context, now)
    }

    pub(crate) fn to_live_member(&self) -> LiveMember {
        LiveMember { member: self.member, slots: self.slots, draining: self.draining }
    }
}
