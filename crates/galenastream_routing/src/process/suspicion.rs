//! How strongly a request is suspected of crashing its targets.

/// How strongly a request is suspected of crashing its targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// No crash counts against the request.
    None,
    /// Targets have crashed while the request was at work there. It is sent to one target at a time.
    Suspected,
    /// The request is taken for the cause of the crashes and is refused.
    Quarantined,
}
