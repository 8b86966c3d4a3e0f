//! All settings of a request, resolved.

use serde::{Deserialize, Serialize};

/// All settings of a request, after inheritance. [`FIELDS`](crate::FIELDS) describes each field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EffectiveSettings {
    /// How many requests wait at a target for each of its slots, at most. Their deadlines decide long before.
    pub queue_per_slot: u32,
    /// For how much of the target latency of its route a request is held while its key moves. Zero refuses it at once.
    pub hold_percent: u32,
    /// The least time after which a refused caller is told to come back.
    pub retry_after_ms: u32,
    /// The share of the retries that the platform allows which nodes use. Zero switches retries off.
    pub retry_budget_percent: u32,
    /// How much longer a request seems to take at a target in another place. Higher keeps more requests in their own place.
    pub remote_penalty_percent: u32,
    /// Log lines about requests that a node writes a second, at most.
    pub log_lines_per_s: u32,
    /// From what load a target passes keys on, as a share of the mean load.
    pub planner_imbalance_percent: u32,
    /// From what load a target passes keys on, as a share of what it can carry. Below, an imbalance does no harm.
    pub planner_busy_percent: u32,
    /// How many ranges of keys may start to move in a round of the planner. Zero switches such moves off.
    pub planner_moves_per_round: u32,
    /// Time between two rounds of the planner.
    pub planner_round_ms: u32,
}

impl Default for EffectiveSettings {
    /// What is in force without a tree.
    fn default() -> Self {
        crate::Layers::built_in().resolve()
    }
}
