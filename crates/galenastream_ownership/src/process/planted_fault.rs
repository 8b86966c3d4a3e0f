//! Rules of the protocol that a test can leave out, to prove that its checks notice.

/// A rule of the protocol that is left out. For tests only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[cfg_attr(not(feature = "planted-faults"), allow(dead_code, reason = "only tests plant faults"))]
pub enum PlantedFault {
    /// Slices of a silent member are reassigned before its lease has run out.
    NoLeaseWait,
    /// Durations that another VM counts are not stretched.
    NoClockMargin,
    /// Leases and promises count from the receipt of the reply.
    AnchorAtReceipt,
    /// A witness promises to a coordinator again after it has sealed its term.
    SealNotFinal,
    /// A witness goes on promising to a deputy after it has sealed for a second candidate.
    DeputyAfterSecondSeal,
    /// A candidate becomes deputy although its seals were not the first.
    DeputyWithoutFirstSeals,
    /// A read that does not show an unsettled write is taken for proof that it never takes effect.
    ReadSettlesWrite,
    /// A restarted node inherits the slices of its former life.
    NoIncarnationCheck,
    /// Replies of older terms are accepted.
    NoTermCheck,
    /// Replies to older beats are accepted.
    NoSequenceCheck,
    /// Assignments are granted before their write is settled.
    GrantBeforeCommit,
    /// The coordinator's own leases outlast its entitlement.
    CoordinatorUnbounded,
    /// A coordinator grants without asking whether it is entitled.
    NoEntitlement,
    /// A change of witnesses needs the promises of one set only.
    NoJointWitnesses,
    /// The witnesses that stay are not told of a change before it is written.
    UnannouncedWitnesses,
    /// The promises of the first witnesses entitle before their set stands in the row.
    FirstWitnessesUnbounded,
    /// A slice that was released may be held again in the same epoch.
    ReleaseNotFinal,
    /// The store term counts from the reply to the write.
    StoreTermFromReply,
    /// A deputy extends leases that have run out.
    ExtendLapsed,
    /// Orders at a target that does not check grants are not waited out.
    NoOrderWait,
}

/// The rules that are left out. Always empty without the feature `planted-faults`.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PlantedFaults {
    #[cfg(feature = "planted-faults")]
    bits: u32,
}

impl PlantedFaults {
    /// Leaves out one more rule.
    #[cfg(feature = "planted-faults")]
    pub(crate) fn with(self, fault: PlantedFault) -> Self {
        Self { bits: self.bits | 1 << fault as u32 }
    }

    /// Whether the rule is left out.
    #[cfg(feature = "planted-faults")]
    pub(crate) fn contains(self, fault: PlantedFault) -> bool {
        self.bits & 1 << fault as u32 != 0
    }

    /// Whether the rule is left out.
    #[cfg(not(feature = "planted-faults"))]
    pub(crate) fn contains(self, _fault: PlantedFault) -> bool {
        false
    }
}
