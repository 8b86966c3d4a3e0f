//! The steps that a case consists of.

/// How the start of an earlier or later target compares with that of the current one, by the time of
/// day that targets report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Born {
    Earlier,
    Same,
    Later,
}

/// A step of a case. Between the steps, everything goes on: heartbeats, statuses, watches and ticks.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// Time passes.
    Pass { ms: u64 },
    /// The next heartbeats of a target stay under way.
    DelayHeartbeats { vm: usize, count: u32 },
    /// A heartbeat that has stayed under way arrives.
    DeliverDelayed { vm: usize, pick: usize },
    /// A heartbeat of a target that ended before arrives.
    EarlierTarget { vm: usize, born: Born },
    /// Replies to heartbeats take this long.
    DelayReplies { vm: usize, ms: u64 },
    /// The replies to the next heartbeats are lost.
    LoseReplies { vm: usize, count: u32 },
    /// A running target accepts no further connections.
    CloseListener { vm: usize, ms: u64 },
    /// Probes take this long to be reported.
    DelayProbes { vm: usize, ms: u64 },
    /// The process of a node ends, and another one starts after this time.
    RestartNode { vm: usize, ms: u64 },
    /// A target ends, and another one starts after this time.
    ReplaceTarget { vm: usize, ms: u64, born: Born },
    /// A target announces that it leaves, and goes on until it is replaced.
    Deregister { vm: usize },
    /// Most requests are for keys of this VM's target, from which keys move to others.
    Overload { vm: usize },
    /// The VM is suspended: its node and its target.
    SuspendVm { vm: usize, ms: u64 },
    /// The process of a node is suspended, and its target goes on.
    SuspendNode { vm: usize, ms: u64 },
    /// A node reaches neither the store nor other nodes.
    CutNode { vm: usize, ms: u64 },
    /// A node does not reach other nodes.
    CutPeers { vm: usize, ms: u64 },
    /// A node does not reach the store.
    CutStore { vm: usize, ms: u64 },
    /// A node's watch of the store hears nothing.
    MissRows { vm: usize, ms: u64 },
    /// The next write of a node takes effect after this time, and its answer is lost.
    DelayWrite { vm: usize, ms: u64 },
    /// The answer to the next write of a node is lost.
    LoseAnswer { vm: usize },
}
