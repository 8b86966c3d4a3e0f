//! Faults of a scenario.

use std::time::Duration;

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// A fault to inject in a scenario.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioFault {
    /// The kind of the fault.
    pub kind: ScenarioFaultKind,
    /// The index of the affected VM in the plan. Faults of the store do not use it.
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
}

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScenarioFaultKind {
    /// The node is killed, and started again at the end of the fault.
    NodeKilled,
    /// The node is stopped gracefully, and started again at the end of the fault.
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
}
