//! Whether the config of this node is known to be the newest one.

use galenastream_utils::BootInstant;
use galenastream_wire::NodeStatus;

use super::control_state::ControlState;
use super::peer_book::REACHABILITY_TIMEOUT;
use crate::version::ConfigDoubt;

impl ControlState {
    /// Why the config in force may be older than the newest one; `None` if the store or a peer
    /// confirms it.
    pub fn config_doubt(&self, now: BootInstant) -> Option<ConfigDoubt> {
        let version = self.config_version();
        if self.unreadable_config_version.is_some_and(|it| it > version) {
            return Some(ConfigDoubt::NewerUnreadable);
        }
        let mut is_confirmed = self.reaches_store;
        for status in self.statuses(now) {
            if status.config_version > version {
                return Some(ConfigDoubt::NewerAnnounced);
            }
            is_confirmed |= status.reaches_store && status.config_version == version;
        }
        if !is_confirmed {
            return Some(ConfigDoubt::StoreUnreachable);
        }
        self.awaits_peers(now).then_some(ConfigDoubt::Starting)
    }

    /// The statuses of all nodes that are reachable.
    fn statuses(&self, now: BootInstant) -> impl Iterator<Item = &NodeStatus> {
        let reachable = self.peers.iter().filter(move |(_, it)| it.is_reachable(now));
        reachable.filter_map(|(_, it)| it.status.as_ref())
    }

    /// Whether the process started so recently that nodes may be live of which it has not heard.
    fn awaits_peers(&self, now: BootInstant) -> bool {
        if now.saturating_since(self.started_at) >= REACHABILITY_TIMEOUT {
            return false;
        }
        self.rows_version == 0 || self.peers.iter().any(|(_, it)| it.status.is_none())
    }
}
