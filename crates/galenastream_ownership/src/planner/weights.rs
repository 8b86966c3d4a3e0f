//! What a deployment wants of its planner.

/// What a deployment wants of its planner. Balance costs handoffs, so the two are weighed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerWeights {
    /// How much an imbalance of load matters.
    pub imbalance_percent: u32,
    /// How much the unavailable time matters that each handoff brings to the requests on a slice.
    pub unavailable_percent: u32,
    /// Share of the hash space that may change owner in a minute for the sake of balance.
    pub churn_budget_percent_per_minute: u32,
    /// Share of it that may do so at once, after a time in which little did.
    pub churn_burst_percent: u32,
    /// How long a slice that was moved stays where it is.
    pub minimum_stay_ms: u32,
    /// How long a new target takes from its first request to its full share of load.
    pub ramp_up_ms: u32,
    /// Time constant of the smoothing of measured loads.
    pub smoothing_ms: u32,
    /// Slices per member above which cold neighbours are merged, and at twice which none is split.
    pub slices_per_member: u32,
}

impl Default for PlannerWeights {
    fn default() -> Self {
        Self {
            imbalance_percent: 50,
            unavailable_percent: 50,
            churn_budget_percent_per_minute: 2,
            churn_burst_percent: 10,
            minimum_stay_ms: 60_000,
            ramp_up_ms: 30_000,
            smoothing_ms: 5_000,
            slices_per_member: 64,
        }
    }
}

/// Excess of a member's load over the mean that starts moves when only balance matters.
const LOWEST_TRIGGER_PERCENT: f64 = 3.0;

/// What is added to it when only unavailable time matters.
const TRIGGER_SPAN_PERCENT: f64 = 8.0;

impl PlannerWeights {
    /// For a deployment that suffers most from load on few targets.
    pub fn for_balance() -> Self {
        Self { imbalance_percent: 90, unavailable_percent: 10, ..Self::default() }
    }

    /// For a deployment that suffers most from keys that nobody serves.
    pub fn for_availability() -> Self {
        Self {
            imbalance_percent: 10,
            unavailable_percent: 90,
            minimum_stay_ms: 120_000,
            ..Self::default()
        }
    }

    /// Share of the unavailable time in the sum of the weights; a half if both are zero.
    pub(super) fn unavailable_share(&self) -> f64 {
        let sum = self.imbalance_percent + self.unavailable_percent;
        if sum == 0 {
            return 0.5;
        }
        f64::from(self.unavailable_percent) / f64::from(sum)
    }

    /// A member with more than this multiple of the mean load gives slices away.
    pub(super) fn trigger_ratio(&self) -> f64 {
        1.0 + (LOWEST_TRIGGER_PERCENT + TRIGGER_SPAN_PERCENT * self.unavailable_share()) / 100.0
    }

    /// It goes on to do so until it is below this multiple.
    pub(super) fn settle_ratio(&self) -> f64 {
        1.0 + (self.trigger_ratio() - 1.0) / 2.0
    }

    /// A member with less than this multiple of the mean load is given slices.
    pub(super) fn starved_ratio(&self) -> f64 {
        2.0 - self.trigger_ratio()
    }
}
