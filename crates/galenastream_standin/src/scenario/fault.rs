//! Faults of a scenario.

use std::time::Duration;

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{LinkFault, StoreFault, TargetAnswerFault, VmLink};

/// How much longer a slow target processes a request.
const SLOW_TARGET_DELAY: Duration = Duration::from_millis(200);

/// How long a slow store waits before it executes a call.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(300);

/// How long a late store waits before it executes a call that it never answers.
const LATE_STORE_DELAY: Duration = Duration::from_millis(2_000);

/// How old the answers of a stale store are.
const STORE_STALENESS: Duration = Duration::from_millis(3_000);

/// How long late heartbeats are under way at most.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(6_000);

/// How many of 100 calls that change leases are late.
const LATE_CALL_PERCENT: u32 = 40;

/// How much longer each chunk of bytes takes on a link that is delayed.
const LINK_DELAY: Duration = Duration::from_millis(150);

/// The status of the answers of a target without a signature, if the fault names none.
const UNSIGNED_STATUS: u16 = 400;

/// A fault to inject in a scenario.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioFault {
    /// The kind of the fault.
    pub kind: ScenarioFaultKind,
    /// The index of the affected VM in the plan. Faults of the store and of the config do not use
    /// it.
    #[serde(default)]
    pub vm: usize,
    /// The start of the fault, from the start of the traffic.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "at_ms")]
    pub at: Duration,
    /// The duration of the fault.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "for_ms")]
    pub length: Duration,
    /// The request limit per second of a target that is limited.
    #[serde(default)]
    pub limit_per_s: f64,
    /// The status of answers without a signature.
    #[serde(default)]
    pub status: Option<u16>,
    /// The affected link of the VM. Without it, faults of a link affect that of callers.
    #[serde(default)]
    pub link: Option<VmLink>,
}

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScenarioFaultKind {
    /// The node is killed, and started again at the end of the fault.
    NodeKilled,
    /// The node is stopped gracefully, and started again at the end of the fault. It is killed if it
    /// still runs then.
    NodeStopped,
    /// The node is suspended, and resumed at the end of the fault.
    NodeSuspended,
    /// The target crashes, and another one starts at its address immediately. The duration is not
    /// used.
    TargetReplaced,
    /// The target refuses requests without running them.
    TargetSheds,
    /// The target runs requests and answers them with a server error.
    TargetFails,
    /// The target runs requests and closes the connection in the middle of the answer.
    TargetCutsAnswers,
    /// The target runs requests and answers them with the id of another request.
    TargetMixesAnswers,
    /// The target runs requests and does not sign its answers.
    TargetUnsigned,
    /// The target processes each request for 200 ms longer.
    TargetSlow,
    /// The target announces a request limit.
    TargetLimited,
    /// The store refuses all calls without executing them.
    StoreRefuses,
    /// The store neither executes nor answers calls.
    StoreSilent,
    /// The store executes calls and never answers.
    StoreLosesAnswers,
    /// The store executes calls two seconds later and never answers.
    StoreLate,
    /// The store executes and answers calls after 300 ms.
    StoreSlow,
    /// The store no longer has the history of changes.
    StoreForgets,
    /// At the end of the fault, the store goes back to what it held at the start.
    StoreRestored,
    /// A newer config with one more route and longer bodies. The duration is not used.
    ConfigChanged,
    /// The bytes on the link are delayed.
    LinkDelayed,
    /// Connections on the link are reset.
    LinkReset,
    /// No byte reaches the server of the link.
    LinkCutToServer,
    /// No byte reaches the client of the link.
    LinkCutToClient,
    /// No byte passes on the link.
    LinkSilent,
    /// Requests on the link are answered with a head that never ends.
    LinkEndlessHead,
    /// Requests on the link are answered with a body that never ends.
    LinkEndlessBody,
    /// The node is cut off from all other nodes and from the store: no byte passes either way.
    NodeCut,
    /// The target stops listening, sends heartbeats for another moment, and serves its open
    /// connections until the end of the fault. Then another one starts at its address.
    TargetStopped,
    /// Some heartbeats of the target are under way for up to six seconds, also past its end.
    HeartbeatsLate,
    /// Of the calls that change the leases of the target, 40 in 100 get no answer and are carried out up
    /// to eight seconds late.
    CallsLate,
    /// The store answers reads as of three seconds ago.
    StoreStale,
    /// Watches of the store hear nothing, and then that the history was dropped.
    StoreDeaf,
}

impl ScenarioFault {
    /// Creates a fault of a VM.
    pub fn new(kind: ScenarioFaultKind, vm: usize, at: Duration, length: Duration) -> Self {
        Self { kind, vm, at, length, limit_per_s: 0.0, status: None, link: None }
    }

    /// Returns when the fault ends, from the start of the traffic.
    pub fn end(&self) -> Duration {
        match self.kind {
            ScenarioFaultKind::TargetReplaced | ScenarioFaultKind::ConfigChanged => self.at,
            _ => self.at + self.length,
        }
    }

    /// Returns whether the node beside the target is out of touch with other nodes, callers, the
    /// target or the store.
    pub(super) fn disturbs_node(&self) -> bool {
        match self.kind {
            ScenarioFaultKind::NodeKilled
            | ScenarioFaultKind::NodeStopped
            | ScenarioFaultKind::NodeSuspended
            | ScenarioFaultKind::NodeCut => true,
            _ => self.link_fault().is_some(),
        }
    }

    pub(super) fn store_fault(&self) -> Option<StoreFault> {
        match self.kind {
            ScenarioFaultKind::StoreRefuses => Some(StoreFault::Refuse(503)),
            ScenarioFaultKind::StoreSilent => Some(StoreFault::Silent),
            ScenarioFaultKind::StoreLosesAnswers => Some(StoreFault::LoseAnswer),
            ScenarioFaultKind::StoreLate => Some(StoreFault::Late(LATE_STORE_DELAY)),
            ScenarioFaultKind::StoreSlow => Some(StoreFault::Slow(SLOW_STORE_DELAY)),
            ScenarioFaultKind::StoreForgets => Some(StoreFault::DropHistory),
            ScenarioFaultKind::StoreStale => Some(StoreFault::Stale(STORE_STALENESS)),
            ScenarioFaultKind::StoreDeaf => Some(StoreFault::DeafFeeds),
            _ => None,
        }
    }

    pub(super) fn heartbeat_delay(&self) -> Option<Duration> {
        (self.kind == ScenarioFaultKind::HeartbeatsLate).then_some(HEARTBEAT_DELAY)
    }

    pub(super) fn late_call_percent(&self) -> Option<u32> {
        (self.kind == ScenarioFaultKind::CallsLate).then_some(LATE_CALL_PERCENT)
    }

    pub(super) fn answer_fault(&self) -> Option<TargetAnswerFault> {
        match self.kind {
            ScenarioFaultKind::TargetSheds => Some(TargetAnswerFault::Shed),
            ScenarioFaultKind::TargetFails => Some(TargetAnswerFault::Fail),
            ScenarioFaultKind::TargetCutsAnswers => Some(TargetAnswerFault::Truncate),
            ScenarioFaultKind::TargetMixesAnswers => Some(TargetAnswerFault::Stray),
            ScenarioFaultKind::TargetSlow => Some(TargetAnswerFault::Slow(SLOW_TARGET_DELAY)),
            ScenarioFaultKind::TargetUnsigned => {
                Some(TargetAnswerFault::Unsigned(self.status.unwrap_or(UNSIGNED_STATUS)))
            }
            _ => None,
        }
    }

    pub(super) fn link_fault(&self) -> Option<(VmLink, LinkFault)> {
        let fault = match self.kind {
            ScenarioFaultKind::LinkDelayed => LinkFault::Delayed(LINK_DELAY),
            ScenarioFaultKind::LinkReset => LinkFault::Reset,
            ScenarioFaultKind::LinkCutToServer => LinkFault::CutToServer,
            ScenarioFaultKind::LinkCutToClient => LinkFault::CutToClient,
            ScenarioFaultKind::LinkSilent => LinkFault::Silent,
            ScenarioFaultKind::LinkEndlessHead => LinkFault::EndlessHead,
            ScenarioFaultKind::LinkEndlessBody => LinkFault::EndlessBody,
            _ => return None,
        };
        Some((self.link.unwrap_or(VmLink::Callers), fault))
    }
}
