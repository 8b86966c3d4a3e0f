//! Requests that are sent to a target only to find out whether its request limit has ended.
//!
//! Load pattern: a target with a limit close to zero gets no requests as long as others have room,
//! so no response shows when the limit ends. Thousands of nodes would all try at the same time; but
//! it is not known which of them have requests for its service, perhaps a single one.

use std::time::Duration;

use galenastream_utils::{BootInstant, FastMap};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::NodeKey;

/// The number of nodes that may send a trial at once when one is wanted.
const FIRST_NODES: f64 = 4.0;

/// The factor by which that number grows in each second in which the trial is still wanted.
const GROWTH_PER_S: f64 = 4.0;

/// The minimum time between two trials of this node at the same target.
const MIN_GAP: Duration = Duration::from_secs(3);

/// Decides when this node sends a target that wants one a trial: a request for which its limit does
/// not count.
#[derive(Debug, Clone)]
pub struct LimitTrials {
    random: SmallRng,
    by_node: FastMap<NodeKey, TrialRecord>,
}

#[derive(Debug, Clone, Copy)]
struct TrialRecord {
    /// The place of this node among all others that may send the trial that is wanted, from 0 to
    /// 1. Drawn anew for each one, so that the nodes with the first places change.
    place: f64,
    wanted_since: BootInstant,
    last_at: Option<BootInstant>,
}

impl LimitTrials {
    /// Creates the state of a node that has sent no trials. Nodes should have different seeds, so
    /// that few of them send a trial at the same time.
    pub fn new(seed: u64) -> Self {
        Self { random: SmallRng::seed_from_u64(seed), by_node: FastMap::default() }
    }

    /// Returns whether this node, one of `node_count`, may send a trial to the target beside a node
    /// that has wanted one since `wanted_since`.
    pub fn is_due(
        &mut self,
        node: NodeKey,
        wanted_since: BootInstant,
        node_count: usize,
        now: BootInstant,
    ) -> bool {
        let earlier = self.by_node.get(&node).copied();
        let last_at = earlier.and_then(|it| it.last_at);
        let current = earlier.filter(|it| it.wanted_since == wanted_since);
        let random = &mut self.random;
        let record = current.unwrap_or_else(|| {
            let place = random.random();
            TrialRecord { place, wanted_since, last_at }
        });
        self.by_node.insert(node, record);
        if last_at.is_some_and(|it| now.saturating_since(it) < MIN_GAP) {
            return false;
        }
        let wanted_for_s = now.saturating_since(wanted_since).as_secs_f64();
        let may_send = FIRST_NODES * GROWTH_PER_S.powf(wanted_for_s);
        record.place * node_count as f64 <= may_send
    }

    /// Records that a trial is sent to the target beside a node.
    pub fn begin(&mut self, node: NodeKey, now: BootInstant) {
        if let Some(record) = self.by_node.get_mut(&node) {
            record.last_at = Some(now);
        }
    }
}
