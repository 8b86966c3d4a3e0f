//! The steps of the model.

/// A step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Time advances.
    TimePasses,
    /// The node reads the row.
    NodeReads,
    /// The node gets the row that a planner knows, and the age of its confirmation.
    NodeSyncs { planner: usize },
    /// The node replies to a heartbeat of its target: it grants or revokes the key.
    NodeReplies,
    /// The node cancels the departure of its target.
    NodeCancels(Delivery),
    /// The node hands over the key that its target has released.
    NodeHandsOver(Delivery),
    /// The process of the node restarts beside the running target.
    NodeRestarts,
    /// A planner reads the row.
    PlannerReads { planner: usize },
    /// A planner takes the owner for lost and revokes the key.
    PlannerRevokes { planner: usize, delivery: Delivery },
    /// A planner starts to move the key to the target that does not own it.
    PlannerMoves { planner: usize, delivery: Delivery },
    /// A planner takes the key for vacant and assigns it to the next owner.
    PlannerCompletes { planner: usize, delivery: Delivery },
    /// A planner records the departure of a key whose writer did not.
    PlannerRecords { planner: usize },
    /// A program of an earlier version writes the row again.
    EarlierProgramWrites,
    /// The other target releases the key, and the node beside it hands it over.
    OtherReleases,
    /// A write that was under way takes effect, if its condition still holds.
    LateWriteArrives,
}

/// What becomes of a write to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// It takes effect at once and is answered.
    Answered,
    /// It takes effect at once, and its answer is lost.
    AnswerLost,
    /// It stays under way, and its answer is lost.
    Late,
}

impl Delivery {
    pub const ALL: [Self; 3] = [Self::Answered, Self::AnswerLost, Self::Late];
}
