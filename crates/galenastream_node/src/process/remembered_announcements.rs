//! What targets have announced in the responses that this node has passed on.
//!
//! The node beside a target forgets its announcements when its process restarts. The nodes that
//! have passed them on remember them, and send them along with their requests.

use std::time::Duration;

use galenastream_ranges::TargetIncarnation;
use galenastream_routing::{NodeKey, RequestRate};
use galenastream_utils::{BootInstant, FastMap};
use galenastream_wire::TargetAnnouncement;

/// Time after which a remembered limit no longer counts in target selection. By then the statuses
/// of the node beside the target are newer.
const SELECTION_PERIOD: Duration = Duration::from_secs(3);

/// The announcements of the targets beside all nodes. Only the newest incarnation that has
/// announced anything is remembered for each node.
#[derive(Debug, Default)]
pub struct RememberedAnnouncements {
    by_node: FastMap<NodeKey, Remembered>,
}

#[derive(Debug)]
struct Remembered {
    target: TargetIncarnation,
    limit: Option<RequestRate>,
    leaving_since: Option<BootInstant>,
    recorded_at: BootInstant,
}

impl RememberedAnnouncements {
    /// Records what the node beside a target reports with a reply. A limit ends when the reply
    /// reports none; a leave is final. Returns whether a remembered limit has ended.
    pub fn record(
        &mut self,
        node: NodeKey,
        target: &TargetIncarnation,
        announced: TargetAnnouncement,
        now: BootInstant,
    ) -> bool {
        let limit = announced.limit_milli_per_s.map(RequestRate::new);
        let leaving_since =
            announced.leaving_for_ms.map(|it| now.saturating_sub(Duration::from_millis(it)));
        let leaving_since = earliest(self.leaving_since(node, target), leaving_since);
        let has_limit_ended = limit.is_none() && self.limit(node, target).is_some();
        if limit.is_none() && leaving_since.is_none() {
            if self.of(node, target).is_some() {
                self.by_node.remove(&node);
            }
            return has_limit_ended;
        }
        let target = target.clone();
        let remembered = Remembered { target, limit, leaving_since, recorded_at: now };
        self.by_node.insert(node, remembered);
        has_limit_ended
    }

    /// Returns the request limit of a target, if one is remembered.
    pub fn limit(&self, node: NodeKey, target: &TargetIncarnation) -> Option<RequestRate> {
        self.of(node, target)?.limit
    }

    /// Returns the request limit of a target, if a reply has shown it within the last seconds.
    pub fn recent_limit(
        &self,
        node: NodeKey,
        target: &TargetIncarnation,
        now: BootInstant,
    ) -> Option<RequestRate> {
        let remembered = self.of(node, target)?;
        let is_recent = now.saturating_since(remembered.recorded_at) < SELECTION_PERIOD;
        remembered.limit.filter(|_| is_recent)
    }

    /// Returns since when a target leaves, if it has announced that.
    pub fn leaving_since(&self, node: NodeKey, target: &TargetIncarnation) -> Option<BootInstant> {
        self.of(node, target)?.leaving_since
    }

    /// Returns what the node beside a target should know of its announcements; `None` if there is
    /// nothing.
    pub fn report(
        &self,
        node: NodeKey,
        target: &TargetIncarnation,
        leaving_since: Option<BootInstant>,
        now: BootInstant,
    ) -> Option<TargetAnnouncement> {
        let limit = self.limit(node, target);
        if limit.is_none() && leaving_since.is_none() {
            return None;
        }
        Some(TargetAnnouncement {
            limit_milli_per_s: limit.map(RequestRate::milli_per_s),
            leaving_for_ms: leaving_since.map(|it| elapsed_ms(it, now)),
        })
    }

    fn of(&self, node: NodeKey, target: &TargetIncarnation) -> Option<&Remembered> {
        self.by_node.get(&node).filter(|it| it.target == *target)
    }
}

/// Returns the earlier one of two instants that may be unknown.
pub fn earliest(one: Option<BootInstant>, other: Option<BootInstant>) -> Option<BootInstant> {
    one.into_iter().chain(other).min()
}

/// Returns the time since an instant, in milliseconds.
pub fn elapsed_ms(since: BootInstant, now: BootInstant) -> u64 {
    u64::try_from(now.saturating_since(since).as_millis()).unwrap_or(u64::MAX)
}
