//! What a run plays beyond the faults that all runs share.

/// What a run plays beyond the faults that all runs share. A run with variations also plays calls to
/// the store, messages between nodes and probes one by one, each with its delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variation {
    /// Instead of single faults, cuts, suspensions and restarts of 3 to 6 s in quick succession on
    /// one or two VMs.
    Series,
    /// Only the nodes that follow the shared rows read the store; the others query peers.
    ReaderRoles,
    /// The boot clocks of nodes run up to 1% fast or slow.
    DriftingClocks,
    /// Targets report start times of a clock that is set back and forth, and heartbeats arrive up to
    /// 8 s late.
    TimeOfDay,
    /// Targets close their listener some time before they end, or crash.
    OrderlyStops,
    /// The nodes have different bounds for leases, also from one start to the next.
    DifferentBounds,
    /// The platform permits only short leases, so that rows are valid for half of the usual time.
    ShortLeases,
    /// Full reads are up to 3 s old, and watches hear nothing for a second before the history is
    /// dropped.
    OutdatedReads,
    /// Some nodes cannot decode some of the assignments.
    UnreadableRows,
    /// The row of the assignment is removed now and then.
    RemovedRows,
    /// One in three assignments is written by a program of an earlier version, and such a program
    /// also writes them again every few seconds.
    EarlierPrograms,
    /// Work on revoked keys goes on for up to the end of the lease.
    LongWork,
    /// Nodes grant keys to their targets by calls, and heartbeats report no keys.
    Calls,
    /// One call in three is not answered and carried out up to 12 s late, until the faults are over.
    LateCalls,
    /// The way in which targets learn of their leases changes every few seconds.
    ChangedDelivery,
    /// Targets that are granted keys by calls start again under their ids as well (with `TimeOfDay`).
    KeptIds,
    /// One target after the other is overloaded for some seconds, so that keys move.
    MovingLoad,
    /// Each write to the store is fast, and its result arrives.
    PromptWrites,
}
