//! The live members that routing knows of.

use std::time::Duration;

use crate::{BootInstant, LiveMember, process::CellCoordinator};

/// The live members that were last published for routing.
///
/// They change without a write of the row: when a target comes, goes, or falls silent.
#[derive(Debug, Default)]
pub(crate) struct PublishedMembers {
    members: Vec<LiveMember>,
    compare_at: BootInstant,
}

impl PublishedMembers {
    /// Whether the live members are other ones than the last published. Compares them only once
    /// an interval, since every beat may be the cause of a change.
    pub(crate) fn have_changed(
        &mut self,
        now: BootInstant,
        interval: Duration,
        coordinator: Option<&CellCoordinator>,
    ) -> bool {
        if now < self.compare_at {
            return false;
        }
        self.compare_at = now + interval;
        let members = coordinator.map(|it| it.live_members(now)).unwrap_or_default();
        let have_changed = members != self.members;
        self.members = members;
        have_changed
    }
}
