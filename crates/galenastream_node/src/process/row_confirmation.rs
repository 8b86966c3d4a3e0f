//! How often nodes confirm that the shared rows are current, which leases depend on.

use std::time::Duration;

use super::control_state::ControlState;

/// How long a watch of the shared rows waits for a change while leases depend on it: each watch
/// confirms the rows.
const MAX_LEASE_WATCH: Duration = Duration::from_millis(2_000);

/// How long a watch waits for a change otherwise. Long, since each watch costs a call, and a dead
/// connection is detected by its keep-alive probes.
pub(super) const MAX_WATCH: Duration = Duration::from_millis(12_000);

/// The validity of rows that the intervals between confirmations are set for.
const FULL_VALIDITY: Duration = Duration::from_millis(12_000);

impl ControlState {
    /// How long a watch of the shared rows waits for a change. What a reader confirms counts for the
    /// targets of all nodes, whether or not its own target holds keys.
    pub fn rows_watch(&self) -> Duration {
        match self.routing.as_ref().is_none_or(|it| it.keyed_services().next().is_some()) {
            true => self.confirmation_interval(MAX_LEASE_WATCH),
            false => MAX_WATCH,
        }
    }

    /// Shortens an interval between confirmations as far as rows are valid for less than
    /// [`FULL_VALIDITY`], or leases would lapse between two of them.
    pub(super) fn confirmation_interval(&self, longest: Duration) -> Duration {
        let mut validity = FULL_VALIDITY;
        for record in self.assignments.values() {
            let terms = record.assignment.terms().unwrap_or(self.lease_terms);
            validity = validity.min(terms.row_validity);
        }
        longest.mul_f64(validity.div_duration_f64(FULL_VALIDITY))
    }
}
