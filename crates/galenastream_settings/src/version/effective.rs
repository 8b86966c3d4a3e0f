//! All settings of a request, resolved.

use galenastream_ownership::{PlannerWeights, Timing};
use serde::{Deserialize, Serialize};

use crate::ClassSettings;

/// All settings of a request, after inheritance. [`FIELDS`](crate::FIELDS) describes each field.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EffectiveSettings {
    /// Whether each key has one owner. If not, any target of the service may take any request.
    pub divided_by_key: bool,
    /// How many slices a new cell starts with. Later the planner splits slices.
    pub initial_slices: u32,
    /// How many requests a target works on at the same time.
    pub slots: u32,
    /// How many connections a target accepts.
    pub connections: u32,
    /// How long opening a connection to a target may take.
    pub connect_timeout_ms: u32,
    /// The deadline of a request whose caller gives none.
    pub request_deadline_ms: u32,
    /// The longest deadline that a caller may give. A longer one is refused.
    pub max_deadline_ms: u32,
    /// The largest body of a request or an answer.
    pub max_body_bytes: u64,
    /// The longest key.
    pub max_key_bytes: u32,
    /// How many requests may wait for a slot of a target.
    pub queue_limit: u32,
    /// How long a request may wait for a slot. After that it is refused as not run.
    pub queue_wait_ms: u32,
    /// The classes of requests. Under overload the class with the lowest priority is shed first.
    pub classes: Vec<ClassSettings>,
    /// The class of a request whose caller names none.
    pub default_class: String,
    /// The HTTP methods that may be tried again even when an earlier try may have run.
    pub idempotent_methods: Vec<String>,
    /// Retries, as a share of requests. Zero switches retries off.
    pub retry_budget_percent: u32,
    /// When a refused caller is told to come back, unless the node knows better.
    pub retry_after_ms: u32,
    /// How many tries in a row must fail before a target is no longer tried.
    pub breaker_failures_in_row: u32,
    /// How long a target is not tried before one request probes it.
    pub breaker_open_ms: u32,
    /// How long a new target takes to reach its full share of requests. Zero gives it all at once.
    pub ramp_up_ms: u32,
    /// After how long a leaving target receives no new work.
    pub drain_ms: u32,
    /// The longest deadline of an order to a target. The slices of a lost target that does not check grants wait this long on top of the lease.
    pub order_limit_ms: u32,
    /// How long a grant lasts, counted from when its holder sent the beat. At least three beats. An order to a target has at most this long.
    pub lease_ms: u32,
    /// Interval between two beats of a holder.
    pub beat_ms: u32,
    /// How long a witness's promise lasts, counted from when the coordinator asked. At least three promise beats, and shorter than the lease. An order to the coordinator's own target has at most this long.
    pub promise_ms: u32,
    /// Interval between two promise requests of a coordinator.
    pub promise_beat_ms: u32,
    /// How long a coordinator without witnesses is entitled by one write of its row. At least three times store_timeout_ms.
    pub store_term_ms: u32,
    /// How long one request to the platform may take.
    pub store_timeout_ms: u32,
    /// How much an imbalance of load matters to the planner. Higher moves slices sooner.
    pub planner_imbalance_percent: u32,
    /// How much the time matters that a moving key is unavailable. Higher moves slices later.
    pub planner_unavailable_percent: u32,
    /// The share of the key space that may change owner in a minute for the sake of balance. Zero switches such moves off.
    pub planner_churn_budget_percent_per_minute: u32,
    /// The share of the key space that may do so at once, after a time in which little did.
    pub planner_churn_burst_percent: u32,
    /// How long a moved slice stays before the planner moves it again.
    pub planner_minimum_stay_ms: u32,
    /// Time constant over which measured loads are smoothed.
    pub planner_smoothing_ms: u32,
    /// Slices per target above which cold neighbours are merged. At twice as many none is split.
    pub planner_slices_per_member: u32,
    /// How long an owner remembers the outcome of a ticket.
    pub ticket_kept_ms: u32,
    /// How many tickets an owner remembers.
    pub ticket_limit: u32,
}

impl EffectiveSettings {
    /// The durations of the ownership protocol.
    pub fn timing(&self) -> Timing {
        Timing {
            lease_ms: self.lease_ms,
            beat_ms: self.beat_ms,
            promise_ms: self.promise_ms,
            promise_beat_ms: self.promise_beat_ms,
            store_term_ms: self.store_term_ms,
            order_limit_ms: self.order_limit_ms,
            store_timeout_ms: self.store_timeout_ms,
        }
    }

    /// What the planner weighs.
    pub fn planner_weights(&self) -> PlannerWeights {
        PlannerWeights {
            imbalance_percent: self.planner_imbalance_percent,
            unavailable_percent: self.planner_unavailable_percent,
            churn_budget_percent_per_minute: self.planner_churn_budget_percent_per_minute,
            churn_burst_percent: self.planner_churn_burst_percent,
            minimum_stay_ms: self.planner_minimum_stay_ms,
            ramp_up_ms: self.ramp_up_ms,
            smoothing_ms: self.planner_smoothing_ms,
            slices_per_member: self.planner_slices_per_member,
        }
    }

    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<&ClassSettings> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Whether a request with this method may be tried again after a try that may have run.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent_methods.iter().any(|idempotent| idempotent == method)
    }
}
