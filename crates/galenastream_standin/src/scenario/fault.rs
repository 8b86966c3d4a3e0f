//! What goes wrong on a day.

use std::time::Duration;

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// Something that goes wrong on a day.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioFault {
    /// What goes wrong.
    pub kind: ScenarioFaultKind,
    /// The position of the VM in the plan, for what concerns one.
    #[serde(default)]
    pub vm: usize,
    /// When it begins, from the start of traffic.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "at_ms")]
    pub at: Duration,
    /// How long it lasts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "for_ms")]
    pub length: Duration,
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScenarioFaultKind {
    /// The node is killed, and started again afterwards.
    NodeKilled,
    /// The node is stopped gracefully, and started again afterwards.
    NodeStopped,
    /// The node is suspended.
    NodeSuspended,
    /// The target crashes; another one starts at its address at once.
    TargetReplaced,
    /// The target refuses requests.
    TargetSheds,
    /// The target fails the requests that it runs.
    TargetFails,
    /// The target breaks connections inside answers.
    TargetCutsAnswers,
    /// The target answers with what belongs to another request.
    TargetMixesAnswers,
    /// The target takes 200 ms longer.
    TargetSlow,
    /// The store refuses all calls.
    StoreRefuses,
    /// The store does not answer and does nothing.
    StoreSilent,
    /// The store does what it is asked, and its answers are lost.
    StoreLosesAnswers,
    /// The store does what it is asked two seconds later, and its answers are lost.
    StoreLate,
    /// The store answers after 300 ms.
    StoreSlow,
    /// The store has forgotten the changes of the past.
    StoreForgets,
}
