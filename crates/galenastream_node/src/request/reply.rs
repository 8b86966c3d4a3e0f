//! What became of a request, with the target's response if there is one.

use bytes::Bytes;
use galenastream_ownership::VmId;
use galenastream_routing::{NotRunReason, Outcome, UnknownReason};
use galenastream_wire::{Answer, AnswerOutcome, AnswerReason, Header, RouteReply, TicketToken};
use http::StatusCode;

/// A whole response of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetResponse {
    /// The status.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
}

impl TargetResponse {
    fn size_bytes(&self) -> usize {
        let headers = self.headers.iter().map(|it| it.name.len() + it.value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// The outcome.
    pub outcome: Outcome,
    /// The target's response, if the request ran.
    pub response: Option<TargetResponse>,
    /// When to come back; zero if nothing is known.
    pub retry_after_ms: u32,
    /// A better route, if this node is not the owner.
    pub route: Option<RouteReply>,
    /// The ticket under which the request ran.
    pub ticket: Option<TicketToken>,
    /// The VM that answers for the outcome.
    pub owner: Option<VmId>,
}

impl Reply {
    /// The reply of a request that ran.
    pub fn ran(response: TargetResponse) -> Self {
        Self { response: Some(response), ..Self::without_response(Outcome::Ran) }
    }

    /// The reply of a request that did not run.
    pub const fn not_run(reason: NotRunReason) -> Self {
        Self::without_response(Outcome::NotRun(reason))
    }

    /// The reply of a request of which nobody knows whether it ran.
    pub const fn unknown(reason: UnknownReason) -> Self {
        Self::without_response(Outcome::Unknown(reason))
    }

    const fn without_response(outcome: Outcome) -> Self {
        Self { outcome, response: None, retry_after_ms: 0, route: None, ticket: None, owner: None }
    }

    /// Says when to come back.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u32) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }

    /// Adds a better route.
    pub fn with_route(mut self, route: Option<RouteReply>) -> Self {
        self.route = route;
        self
    }

    /// Names the VM that answers.
    pub fn with_owner(mut self, owner: VmId) -> Self {
        self.owner = Some(owner);
        self
    }

    /// The memory that the reply takes, about.
    pub fn size_bytes(&self) -> usize {
        let response_bytes = self.response.as_ref().map_or(0, TargetResponse::size_bytes);
        size_of::<Self>() + response_bytes
    }

    /// The message to the node where the request entered.
    pub fn into_answer(self, settings_version: u64) -> Answer {
        let (outcome, reason) = wire_outcome(self.outcome);
        let response = self.response.unwrap_or_else(|| TargetResponse {
            status: 0,
            headers: Vec::new(),
            body: Bytes::new(),
        });
        Answer {
            outcome: outcome.into(),
            reason: reason.into(),
            status: u32::from(response.status),
            headers: response.headers,
            body: response.body,
            retry_after_ms: self.retry_after_ms,
            route: self.route,
            ticket: self.ticket,
            owner: self.owner.map_or(0, VmId::bits),
            settings_version,
        }
    }

    /// Reads the message of the owner's node.
    pub fn from_answer(answer: Answer) -> Self {
        let outcome = outcome_of(&answer);
        let status = u16::try_from(answer.status).ok();
        let status = status.filter(|it| StatusCode::from_u16(*it).is_ok());
        let response = match (outcome, status) {
            (Outcome::Ran, Some(status)) => {
                Some(TargetResponse { status, headers: answer.headers, body: answer.body })
            }
            _ => None,
        };
        // An answer that claims to have run without a valid response proves nothing.
        let outcome = match (outcome, &response) {
            (Outcome::Ran, None) => Outcome::Unknown(UnknownReason::PeerLost),
            _ => outcome,
        };
        Self {
            outcome,
            response,
            retry_after_ms: answer.retry_after_ms,
            route: answer.route,
            ticket: answer.ticket,
            owner: (answer.owner != 0).then(|| VmId::from_bits(answer.owner)),
        }
    }
}

fn wire_outcome(outcome: Outcome) -> (AnswerOutcome, AnswerReason) {
    match outcome {
        Outcome::Ran => (AnswerOutcome::Ran, AnswerReason::None),
        Outcome::NotRun(reason) => (AnswerOutcome::NotRun, wire_not_run(reason)),
        Outcome::Unknown(reason) => (AnswerOutcome::Unknown, wire_unknown(reason)),
    }
}

fn wire_not_run(reason: NotRunReason) -> AnswerReason {
    match reason {
        NotRunReason::NoRoute | NotRunReason::NotOwner => AnswerReason::NotOwner,
        NotRunReason::Moving => AnswerReason::Moving,
        NotRunReason::Overloaded => AnswerReason::Overloaded,
        NotRunReason::DeadlinePassed => AnswerReason::DeadlinePassed,
        NotRunReason::TargetUnavailable | NotRunReason::PeerUnavailable => {
            AnswerReason::TargetUnavailable
        }
        NotRunReason::Draining => AnswerReason::Draining,
        NotRunReason::SettingsBehind => AnswerReason::SettingsBehind,
        NotRunReason::Invalid => AnswerReason::Invalid,
    }
}

fn wire_unknown(reason: UnknownReason) -> AnswerReason {
    match reason {
        UnknownReason::ConnectionLost | UnknownReason::PeerLost => AnswerReason::ConnectionLost,
        UnknownReason::DeadlinePassed => AnswerReason::DeadlinePassed,
        UnknownReason::TicketExpired => AnswerReason::TicketExpired,
        UnknownReason::InProgress => AnswerReason::InProgress,
    }
}

fn outcome_of(answer: &Answer) -> Outcome {
    match answer.outcome() {
        AnswerOutcome::Ran => Outcome::Ran,
        AnswerOutcome::NotRun => Outcome::NotRun(not_run_reason(answer.reason())),
        AnswerOutcome::Unknown => Outcome::Unknown(unknown_reason(answer.reason())),
    }
}

fn not_run_reason(reason: AnswerReason) -> NotRunReason {
    match reason {
        AnswerReason::NotOwner => NotRunReason::NotOwner,
        AnswerReason::Moving => NotRunReason::Moving,
        AnswerReason::Overloaded => NotRunReason::Overloaded,
        AnswerReason::DeadlinePassed => NotRunReason::DeadlinePassed,
        AnswerReason::Draining => NotRunReason::Draining,
        AnswerReason::SettingsBehind => NotRunReason::SettingsBehind,
        AnswerReason::Invalid => NotRunReason::Invalid,
        AnswerReason::None
        | AnswerReason::TargetUnavailable
        | AnswerReason::TicketExpired
        | AnswerReason::InProgress
        | AnswerReason::ConnectionLost => NotRunReason::TargetUnavailable,
    }
}

fn unknown_reason(reason: AnswerReason) -> UnknownReason {
    match reason {
        AnswerReason::DeadlinePassed => UnknownReason::DeadlinePassed,
        AnswerReason::TicketExpired => UnknownReason::TicketExpired,
        AnswerReason::InProgress => UnknownReason::InProgress,
        _ => UnknownReason::ConnectionLost,
    }
}
