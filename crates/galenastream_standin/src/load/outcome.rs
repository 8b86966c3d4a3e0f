//! The outcomes of requests, as their callers observe them.

use std::time::Duration;

/// The outcome of a request, as its caller observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LoadOutcome {
    /// The request ran, and its answer is complete and correct.
    Ran,
    /// The target ran the request and answered with a failure.
    Failed,
    /// The request was refused and did not run (status 408, 421, 429 or 503).
    NotRun,
    /// The answer says that the request may have run (status 502 or 504).
    Unknown,
    /// No complete answer arrived in time.
    NoAnswer,
    /// The answer belongs to another request, has a wrong body, has an unexpected status, or is a
    /// success without the signature of the target.
    Wrong,
    /// The answer ends the request for good (another status 3xx or 4xx) and bears no signature of a
    /// target.
    Denied,
}

impl LoadOutcome {
    /// All outcomes, in the order of the columns of reports.
    pub const ALL: [Self; 7] = [
        Self::Ran,
        Self::Failed,
        Self::NotRun,
        Self::Unknown,
        Self::NoAnswer,
        Self::Wrong,
        Self::Denied,
    ];

    /// Returns the name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::Failed => "failed",
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
            Self::NoAnswer => "no answer",
            Self::Wrong => "wrong",
            Self::Denied => "denied",
        }
    }
}

/// A finished request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSample {
    /// The id of the request.
    pub request_id: String,
    /// The index of the class in the plan.
    pub class: usize,
    /// The path of the request.
    pub path: String,
    /// The intended start, from the start of the run.
    pub at: Duration,
    /// The time from the intended start to the end of the request.
    pub latency: Duration,
    /// The outcome of the request.
    pub outcome: LoadOutcome,
    /// The id of the target that ran the request; empty if it is not known.
    pub target: String,
    /// The index of the node where the request entered, in the plan.
    pub entry: usize,
    /// The status of the answer; zero if there is none.
    pub status: u16,
    /// Whether the answer bears the signature of a target.
    pub is_signed: bool,
    /// Whether a node refused the request since it crashes targets.
    pub is_quarantined: bool,
}
