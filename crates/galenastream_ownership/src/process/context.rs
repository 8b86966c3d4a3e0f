//! What all parts of a node share and never change.

use std::time::Duration;

use crate::{
    CellId, Member, NodeConfig, PlaceId, PlantedFault, Timing, process::PlantedFaults,
    with_clock_margin,
};

/// What all parts of a node share and never change.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Context {
    pub(crate) me: Member,
    pub(crate) place: PlaceId,
    pub(crate) cell: CellId,
    pub(crate) timing: Timing,
    pub(crate) faults: PlantedFaults,
}

impl Context {
    pub(crate) fn new(config: &NodeConfig) -> Self {
        Self {
            me: config.member,
            place: config.place,
            cell: config.cell,
            timing: config.timing,
            faults: PlantedFaults::default(),
        }
    }

    /// Whether a test has left out the rule.
    pub(crate) fn planted(&self, fault: PlantedFault) -> bool {
        self.faults.contains(fault)
    }

    /// A duration that another VM counts, on this VM's clock.
    pub(crate) fn stretched(&self, duration: Duration) -> Duration {
        if self.planted(PlantedFault::NoClockMargin) {
            return duration;
        }
        with_clock_margin(duration)
    }

    /// How long the slices of a member wait after its last answered beat.
    pub(crate) fn lease_wait(&self) -> Duration {
        if self.planted(PlantedFault::NoLeaseWait) {
            return ms(self.timing.beat_ms) * 2;
        }
        self.stretched(ms(self.timing.lease_ms))
    }

    /// How long the orders of a target that does not check grants may outlast its lease.
    pub(crate) fn order_wait(&self) -> Duration {
        if self.planted(PlantedFault::NoOrderWait) {
            return Duration::ZERO;
        }
        self.stretched(ms(self.timing.order_limit_ms))
    }
}

/// A duration of whole milliseconds.
pub(crate) const fn ms(milliseconds: u32) -> Duration {
    Duration::from_millis(milliseconds as u64)
}
