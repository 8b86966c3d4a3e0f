//! Resolved settings of a request.

use serde::{Deserialize, Serialize};

/// The values of all fields for a request, after inheritance. See [`FIELDS`](crate::FIELDS) for the
/// bounds and defaults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EffectiveSettings {
    /// The maximum number of requests that wait at a target, per slot. Admission usually sheds
    /// requests by their deadlines long before.
    pub queue_per_slot: u32,
    /// How long a request is held while its key moves, in percent of the target latency of its
    /// route. With 0 it is refused at once.
    pub hold_percent: u32,
    /// The minimum time after which a refused caller is told to retry, in milliseconds.
    pub retry_after_ms: u32,
    /// The part of the platform's retry budget that nodes use, in percent. 0 disables retries.
    pub retry_budget_percent: u32,
    /// The penalty on targets in another place when a target is chosen, in percent of the service
    /// time. Higher values keep more requests in their own place.
    pub remote_penalty_percent: u32,
    /// The maximum number of log lines about requests that a node writes per second.
    pub log_lines_per_s: u32,
    /// The utilisation above which a target passes keys on, in percent of the mean utilisation.
    pub planner_imbalance_percent: u32,
    /// The utilisation above which a target passes keys on, in percent of its capacity. Below it,
    /// an imbalance does no harm.
    pub planner_busy_percent: u32,
    /// The number of key ranges that may start to move in a round of the planner to balance load;
    /// more if the service has many targets. 0 disables such moves.
    pub planner_moves_per_round: u32,
    /// The interval between two rounds of the planner, in milliseconds.
    pub planner_round_ms: u32,
}

impl Default for EffectiveSettings {
    /// Returns the built-in defaults, which are in force without a tree.
    fn default() -> Self {
        crate::Layers::built_in().resolve()
    }
}
