//! Whether the local target may have left before this process started.
//!
//! Load pattern: all processes end right after a leave was acknowledged that no row has, since the
//! store was away. Heartbeats from before the leave arrive late and say that the target is ready, and
//! it serves on for seconds without sending others. So a target that an earlier process may have known
//! has to go on sending heartbeats to this one, or it is no longer used. After an outage of the store, the
//! target is asked for its health too: one that leaves says so itself.

use std::time::Duration;

use galenastream_utils::BootInstant;

use super::control_state::ControlState;
use super::ownership_facts::MAX_HEARTBEAT_DELAY;
use super::{Effect, TargetHealth};

/// How long before the platform relies on a process it stops using a target that may have left. Other
/// nodes hear of it by then. A target that stays has sent heartbeats.
const STABLE_MARGIN: Duration = Duration::from_millis(400);

/// Number of steady heartbeats that show that a target stays. One alone may be a late one.
const HEARTBEATS_OF_STAYING: u32 = 2;

/// The same if the store was away when the process started: an unrecorded leave is likelier then.
const HEARTBEATS_OF_STAYING_AFTER_OUTAGE: u32 = 3;

/// Time after its start within which a process reaches the store, unless that is away.
const FIRST_CONTACT_TIME: Duration = Duration::from_millis(500);

/// Interval between two health checks of a target that may have left.
const HEALTH_INTERVAL: Duration = Duration::from_millis(1_000);

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

    /// Withholds requests from the local target while it may have left, and allows them again once it shows
    /// that it stays.
    pub(super) fn review_unseen_leave(&mut self, now: BootInstant) {
        let was_store_away = self.was_store_away_at_start();
        let stable_time = Duration::from_millis(self.settings.bounds.stable_ms);
        let is_provisional = now.saturating_since(self.started_at) + STABLE_MARGIN < stable_time;
        let Some(local) = &mut self.local else {
            return;
        };
        let is_steady = match was_store_away {
            false => local.steady_heartbeats.count >= HEARTBEATS_OF_STAYING,
            true => {
                local.steady_heartbeats.count >= HEARTBEATS_OF_STAYING_AFTER_OUTAGE
                    && local.health == TargetHealth::Ready
            }
        };
        // No heartbeat is under way for so long: the last one was sent after the start.
        let heard_after = local.last_heartbeat_at.saturating_since(self.started_at);
        let stays = is_steady || heard_after >= MAX_HEARTBEAT_DELAY;
        // Its drain period decides on the requests to a target that is known to leave.
        let is_leave_known = local.draining_since.is_some();
        let next = match local.unseen_leave {
            UnseenLeave::RuledOut => return,
            _ if stays || is_leave_known => UnseenLeave::RuledOut,
            _ if is_provisional => UnseenLeave::Possible,
            _ => UnseenLeave::Presumed,
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
        if was_store_away && next != UnseenLeave::RuledOut {
            self.check_health(now);
        }
    }

    fn was_store_away_at_start(&self) -> bool {
        let is_late = |at: BootInstant| at.saturating_since(self.started_at) >= FIRST_CONTACT_TIME;
        self.store_reached_at.is_none_or(is_late)
    }

    /// Asks the local target for its health, from time to time.
    fn check_health(&mut self, now: BootInstant) {
        let is_due =
            self.health_asked_at.is_none_or(|it| now.saturating_since(it) >= HEALTH_INTERVAL);
        let service = self.local.as_ref().map(|it| it.service.clone());
        let Some(path) = service.and_then(|it| self.health_path(&it)).filter(|_| is_due) else {
            return;
        };
        self.health_asked_at = Some(now);
        self.effects.push(Effect::CheckHealth { path });
    }
}
