//! The process beside each target: the entry for callers and the only path into the target.
