//! The memory for long bodies in progress.

use std::sync::Arc;

use galenastream_adapter::ProcessLimits;
use galenastream_runtime::BodyBudget;

/// Share of the memory limit of the process that long bodies in progress may use together, in percent.
const SHARED_PERCENT: u64 = 65;

/// Share of the memory limit for long answers and long bodies of other nodes, in percent. They may take
/// twice as much while they are joined.
const ANSWERS_PERCENT: u64 = 20;
const ANSWERS_WEIGHT: usize = 2;

/// Share of the memory limit for long bodies of callers, in percent. The rest of the shared part is
/// kept for answers.
const CALLERS_PERCENT: u64 = 50;

/// The memory for long bodies in progress. The budgets are parts of one, so that they cannot fill the memory
/// together.
pub struct BodyBudgets {
    /// For long answers, and for long bodies of other nodes.
    pub answers: Arc<BodyBudget>,
    /// For long bodies of callers.
    pub callers: Arc<BodyBudget>,
}

impl BodyBudgets {
    /// Creates the unused budgets of a process with these limits.
    pub fn new(limits: ProcessLimits) -> Self {
        let shared = BodyBudget::new(share_bytes(limits, SHARED_PERCENT));
        let answers_bytes = share_bytes(limits, ANSWERS_PERCENT);
        let callers_bytes = share_bytes(limits, CALLERS_PERCENT);
        Self {
            answers: BodyBudget::within(&shared, ANSWERS_WEIGHT, answers_bytes),
            callers: BodyBudget::within(&shared, 1, callers_bytes),
        }
    }
}

/// A share of the memory limit of the process.
fn share_bytes(limits: ProcessLimits, percent: u64) -> usize {
    let bytes = limits.memory_mb.saturating_mul(1_024 * 1_024) * percent / 100;
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
