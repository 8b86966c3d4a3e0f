//! Whether the local target may have left before this process started.
//!
//! Load pattern: all processes end right after a leave was acknowledged that no row has, since the
//! store was away. Heartbeats from before the leave arrive late and say that the target is ready, and
//! it serves on for seconds without sending others. So a target that an earlier process may have known
//! has to go on sending heartbeats to this one, or it is no longer used.

use std::time::Duration;

use galenastream_utils::BootInstant;

use super::control_state::ControlState;
use super::ownership_facts::MAX_HEARTBEAT_DELAY;

/// How long before the platform relies on a process it stops using a target that may have left. Other
/// nodes hear of it by then. A target that stays has sent heartbeats.
const STABLE_MARGIN: Duration = Duration::from_millis(400);

/// Number of steady heartbeats that show that a target stays. One alone may be a late one.
const HEARTBEATS_OF_STAYING: u32 = 2;

/// The same if the store was away when the process started: an unrecorded leave is likelier then.
const HEARTBEATS_OF_STAYING_AFTER_OUTAGE: u32 = 3;

/// Time after its start within which a process reaches the store, unless that is away.
const FIRST_CONTACT_TIME: Duration = Duration::from_millis(500);

/// What this process knows of the leave of the local target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnseenLeave {
    /// An earlier process may have acknowledged a leave that this one does not know of.
    Possible,
    /// The same, and the target sends no steady heartbeats: it is not used.
    Presumed,
    /// The target has not left unnoticed.
    RuledOut,
}

/// Counts the heartbeats of a target that follow each other at about their usual interval. Late ones
/// arrive at any time, or all at once.
#[derive(Debug, Default)]
pub(super) struct SteadyHeartbeats {
    count: u32,
    last_at: Option<BootInstant>,
}

impl SteadyHeartbeats {
    /// Counts a heartbeat unless it follows another too closely. A pause starts the count again.
    pub(super) fn record(&mut self, interval: Duration, timeout: Duration, now: BootInstant) {
        let gap = self.last_at.map(|it| now.saturating_since(it));
        if gap.is_some_and(|it| it < interval / 2) {
            return;
        }
        if gap.is_some_and(|it| it > timeout) {
            self.count = 0;
        }
        self.count = self.count.saturating_add(1);
        self.last_at = Some(now);
    }
}

impl ControlState {
    /// Whether a target that is first heard now may have left under an earlier process.
    pub(super) fn unseen_leave(&self, now: BootInstant) -> UnseenLeave {
        let is_late = now.saturating_since(self.started_at) > MAX_HEARTBEAT_DELAY;
        // A target that follows another one here started under this process.
        let is_successor = !self.ended.is_empty();
        match self.settings.is_first_start || is_late || is_successor {
            true => UnseenLeave::RuledOut,
            false => UnseenLeave::Possible,
        }
    }

    /// Withholds requests from the local target while it may have left, and allows them again once its
    /// heartbeats show that it stays.
    pub(super) fn review_unseen_leave(&mut self, now: BootInstant) {
        let heartbeats_needed = match self.store_reached_at {
            Some(at) if at.saturating_since(self.started_at) < FIRST_CONTACT_TIME => {
                HEARTBEATS_OF_STAYING
            }
            _ => HEARTBEATS_OF_STAYING_AFTER_OUTAGE,
        };
        let stable_time = Duration::from_millis(self.settings.bounds.stable_ms);
        let provisional_time = stable_time.saturating_sub(STABLE_MARGIN);
        let is_provisional = now.saturating_since(self.started_at) < provisional_time;
        let Some(local) = &mut self.local else {
            return;
        };
        let stays = local.steady_heartbeats.count >= heartbeats_needed;
        let next = match local.unseen_leave {
            // Its drain period decides on the requests to a target that is known to leave.
            UnseenLeave::Possible | UnseenLeave::Presumed
                if stays || local.draining_since.is_some() =>
            {
                UnseenLeave::RuledOut
            }
            UnseenLeave::Possible if !is_provisional => UnseenLeave::Presumed,
            unchanged => unchanged,
        };
        let before = std::mem::replace(&mut local.unseen_leave, next);
        match (before, next) {
            (UnseenLeave::Possible, UnseenLeave::Presumed) => {
                log::info!(event = "target_withheld", target:% = local.incarnation; "");
            }
            (UnseenLeave::Presumed, UnseenLeave::RuledOut) => {
                log::info!(event = "target_allowed", target:% = local.incarnation; "");
            }
            _ => {}
        }
    }
}
