//! Tests of the shares of memory.

use galenastream_adapter::ProcessLimits;
use galenastream_runtime::{MemoryBudget, MemoryReservation};

use super::memory_budgets::{MemoryBudgets, request_bytes};

const LIMITS: ProcessLimits =
    ProcessLimits { memory_mb: 260, max_file_descriptors: 4_100, link_mbit_per_s: None };

/// A short body, and the head of an ordinary request.
const SHORT_BYTES: usize = 64 * 1024;
const HEAD_BYTES: usize = 400;
const HEADERS: usize = 10;

fn fill(budget: &std::sync::Arc<MemoryBudget>, bytes: usize) -> Vec<MemoryReservation> {
    let mut held = Vec::new();
    loop {
        let mut reservation = budget.reservation();
        if !reservation.extend_to(bytes) {
            return held;
        }
        held.push(reservation);
    }
}

/// Guards against requests that are accepted and then refused since there is no room for any answer.
#[test]
fn requests_leave_room_for_answers() {
    for bytes in [SHORT_BYTES, request_bytes(HEAD_BYTES, HEADERS)] {
        let budgets = MemoryBudgets::new(LIMITS);
        let forwarded = fill(&budgets.forwarded, bytes);
        let callers = fill(&budgets.callers, bytes);
        assert!(!forwarded.is_empty() && !callers.is_empty());
        assert_eq!(budgets.missing_for_answers(), 0, "beside requests of {bytes} bytes");
    }
}

/// Guards against ordinary requests that are refused because others have long or short bodies.
#[test]
fn ordinary_requests_have_room_beside_longer_ones() {
    let ordinary = request_bytes(HEAD_BYTES, HEADERS);
    let budgets = MemoryBudgets::new(LIMITS);
    let long = fill(&budgets.callers, 16 * SHORT_BYTES);
    let short = fill(&budgets.callers, SHORT_BYTES);
    assert!(!long.is_empty() && !short.is_empty());
    assert!(fill(&budgets.callers, ordinary).len() > 100);
}
