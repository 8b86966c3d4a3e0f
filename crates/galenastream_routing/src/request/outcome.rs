//! What became of a request.

/// What became of a request, as its caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target ran it, and the answer is whole.
    Ran,
    /// It did not run and never will.
    NotRun(NotRunReason),
    /// Nobody knows whether it ran.
    Unknown(UnknownReason),
}

impl Outcome {
    /// The word in the `galenastream-outcome` header and in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Why a request did not run. Said only when its bytes provably never reached the target, or the
/// target said so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// No route to the owner is known.
    NoRoute,
    /// The node holds no live lease on the key's slice.
    NotOwner,
    /// The slice is being moved to another owner.
    Moving,
    /// There is no room for the request's class.
    Overloaded,
    /// The deadline passed before the hand-over to the target.
    DeadlinePassed,
    /// The target refused the request or could not be reached.
    TargetUnavailable,
    /// The owner's node could not be reached.
    PeerUnavailable,
    /// The node or the target is leaving.
    Draining,
    /// The node waits for a newer version of the settings.
    SettingsBehind,
    /// The request breaks a rule of the interface.
    Invalid,
}

impl NotRunReason {
    /// The word in answers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::NotOwner => "not-owner",
            Self::Moving => "moving",
            Self::Overloaded => "overloaded",
            Self::DeadlinePassed => "deadline-passed",
            Self::TargetUnavailable => "target-unavailable",
            Self::PeerUnavailable => "peer-unavailable",
            Self::Draining => "draining",
            Self::SettingsBehind => "settings-behind",
            Self::Invalid => "invalid",
        }
    }

    /// Whether another try may succeed without the caller changing the request.
    const fn is_temporary(self) -> bool {
        match self {
            Self::NoRoute
            | Self::NotOwner
            | Self::Moving
            | Self::Overloaded
            | Self::TargetUnavailable
            | Self::PeerUnavailable
            | Self::Draining
            | Self::SettingsBehind => true,
            Self::DeadlinePassed | Self::Invalid => false,
        }
    }

    /// Whether another try within milliseconds may succeed, so that the router tries by itself.
    pub const fn is_worth_a_retry(self) -> bool {
        match self {
            Self::NotOwner | Self::Moving | Self::PeerUnavailable | Self::Draining => true,
            Self::NoRoute
            | Self::Overloaded
            | Self::TargetUnavailable
            | Self::SettingsBehind
            | Self::DeadlinePassed
            | Self::Invalid => false,
        }
    }

    /// Whether the caller is told when to come back.
    pub const fn has_retry_after(self) -> bool {
        self.is_temporary()
    }
}

/// Why nobody knows whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The connection to the target broke after the request was sent.
    ConnectionLost,
    /// The connection to the owner's node broke, or no reply came in time.
    PeerLost,
    /// The deadline passed after the request was sent.
    DeadlinePassed,
    /// The ticket belongs to an earlier assignment, or its result is no longer kept.
    TicketExpired,
    /// The ticket's first request is still in progress.
    InProgress,
}

impl UnknownReason {
    /// The word in answers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection-lost",
            Self::PeerLost => "peer-lost",
            Self::DeadlinePassed => "deadline-passed",
            Self::TicketExpired => "ticket-expired",
            Self::InProgress => "in-progress",
        }
    }
}
