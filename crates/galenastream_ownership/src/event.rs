//! What a node's control thread is told, and what it wants done.

use crate::{
    CellId, CellRow, ControlMessage, Incarnation, KeyHash, Member, PlannerWeights, RowVersion,
    SettingsVersion, SliceEpoch, SliceLoad, Term, VmId, WriteId,
};

/// Something that happened. Handled by [`OwnershipNode::handle`](crate::OwnershipNode::handle).
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The time that `next_wakeup` named has come.
    Wakeup,
    /// A message arrived.
    Message {
        /// The address that it came from.
        from: VmId,
        /// The message.
        message: ControlMessage,
    },
    /// The platform answered, or a time limit passed.
    Store {
        /// The request.
        request: StoreRequestId,
        /// The answer.
        reply: StoreReply,
    },
    /// The target beside this node announced itself.
    TargetUp {
        /// Slots of the target.
        slots: u32,
        /// Whether it checks grants itself.
        checks_grants: bool,
    },
    /// The target beside this node is gone.
    TargetDown,
    /// The target or the node is leaving; its slices shall move away first.
    Drain,
    /// No request is in progress on a slice that an [`Action::StopSlice`] named.
    SliceStopped(SliceEpoch),
    /// The node measured the load of its slices.
    LoadMeasured(Vec<SliceLoad>),
    /// A settings version came into force at this node, or was seen in the platform.
    SettingsSeen {
        /// The version in force here.
        in_force: SettingsVersion,
        /// The highest version seen anywhere.
        highest: SettingsVersion,
    },
    /// The settings give other weights to the planner. Sent after the start and on each change.
    WeightsChanged(PlannerWeights),
    /// An operator orders this node to become the coordinator without seals.
    Takeover {
        /// The cell.
        cell: CellId,
    },
    /// An operator orders a planned move of the slice that holds a position.
    Move {
        /// The cell.
        cell: CellId,
        /// A position in the slice.
        hash: KeyHash,
        /// The new owner.
        to: VmId,
    },
}

/// Something to be done for the control thread.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message.
    Send {
        /// The receiver.
        to: VmId,
        /// The message.
        message: ControlMessage,
    },
    /// Ask the platform.
    Store {
        /// Named again in the reply.
        request: StoreRequestId,
        /// What is asked.
        operation: StoreOperation,
    },
    /// The held slices or their leases changed: publish `held_slices` to the traffic threads.
    PublishHeld,
    /// A cell's row or coordinator changed: publish `route` to the traffic threads.
    PublishRoutes(CellId),
    /// Take no new work for the slice, and report [`Event::SliceStopped`] when none is in progress.
    StopSlice(SliceEpoch),
    /// A settings version above the one in force was seen: fetch it from `holder` or the platform.
    FetchSettings {
        /// The version.
        version: SettingsVersion,
        /// A node that has seen it.
        holder: VmId,
    },
    /// A later life of this node is known: start over with an incarnation above `known`.
    Restart {
        /// The latest known life.
        known: Incarnation,
    },
    /// Write a log event.
    Log(OwnershipEvent),
}

/// Names a request to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRequestId(pub u64);

/// A request to the table service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreOperation {
    /// Read a cell's row.
    Read {
        /// The cell.
        cell: CellId,
    },
    /// Write a cell's row if it still has the expected version.
    Write {
        /// The version that the row must have; `None`: there must be no row.
        expected: Option<RowVersion>,
        /// Stored with the row.
        write: WriteId,
        /// The new row.
        row: CellRow,
    },
}

/// What the table service answered.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// The row that a read found.
    Row(Option<StoredRow>),
    /// A write took effect.
    Written(RowVersion),
    /// A write did not take effect and never will, since the row had another version.
    Conflict,
    /// Nobody knows whether the request took effect, now or later.
    Unknown,
    /// The request provably did not and will not take effect.
    NotSent,
}

/// A row as it stands in the table.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRow {
    /// The version.
    pub version: RowVersion,
    /// The write that made the version.
    pub write: WriteId,
    /// The row.
    pub row: CellRow,
}

/// A change worth a line in the log and a count in the metrics.
#[derive(Debug, Clone, PartialEq)]
pub enum OwnershipEvent {
    /// This node became a coordinator.
    TermTaken {
        /// The cell.
        cell: CellId,
        /// The term.
        term: Term,
    },
    /// This node is no longer a coordinator.
    TermLost {
        /// The cell.
        cell: CellId,
        /// The term.
        term: Term,
    },
    /// This node became a deputy, or ceased to be one.
    Deputy {
        /// The cell.
        cell: CellId,
        /// The term it stands in for.
        term: Term,
        /// Whether it began.
        began: bool,
    },
    /// A member has not been heard of for a whole lease.
    MemberLost {
        /// The cell.
        cell: CellId,
        /// The member.
        member: Member,
    },
    /// An operator ordered this node to take over a cell without seals.
    TakeoverOrdered {
        /// The cell.
        cell: CellId,
    },
    /// Assignments were committed.
    Assigned {
        /// The cell.
        cell: CellId,
        /// How many slices changed owner.
        slices: u32,
    },
    /// This node's leases ran out before they were renewed.
    LeaseLost {
        /// The cell.
        cell: CellId,
        /// How many slices it held.
        slices: u32,
    },
    /// A message was dropped.
    MessageDropped {
        /// Why.
        reason: DropReason,
    },
}

/// Why a message was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// It is meant for another VM or another life of this node.
    OtherReceiver,
    /// It comes from an older life of its sender.
    OldIncarnation,
    /// It belongs to an older term.
    OldTerm,
    /// It answers a request that this node did not send or has forgotten.
    Unsolicited,
}
