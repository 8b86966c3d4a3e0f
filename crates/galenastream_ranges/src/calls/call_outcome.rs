//! How calls end.

/// How a call to a target ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target has carried it out.
    Done {
        /// The handover token of a release; empty if there is none.
        handover: String,
    },
    /// The target has seen a higher fencing token on one of the keys, and did nothing.
    HigherFenceSeen,
    /// The target refused the call, and did nothing.
    Refused,
    /// The call was not sent.
    NotSent,
    /// The connection was closed without an answer: the target may carry the call out at any later
    /// time. The time of a lease still counts from the arrival of its call, before the close.
    NoAnswer,
}

impl CallOutcome {
    /// The word for the outcome in log lines.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Done { .. } => "done",
            Self::HigherFenceSeen => "higher-fence-seen",
            Self::Refused => "refused",
            Self::NotSent => "not-sent",
            Self::NoAnswer => "no-answer",
        }
    }
}
