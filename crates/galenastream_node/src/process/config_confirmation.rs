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
        if self.knows_unreadable_config() {
            return Some(ConfigDoubt::NewerUnreadable);
        }
        let mut is_confirmed = self.confirms_config();
        for status in self.statuses(now) {
            if status.config_version > version {
                return Some(ConfigDoubt::NewerAnnounced);
            }
            let confirms_config = status.confirms_config.unwrap_or(status.reaches_store);
            is_confirmed |= confirms_config && status.config_version == version;
        }
        if !is_confirmed {
            return Some(ConfigDoubt::StoreUnreachable);
        }
        self.awaits_peers(now).then_some(ConfigDoubt::Starting)
    }

    /// Whether this node knows from the store that its config is the newest one. Calls about other
    /// tables say nothing about that, whether they succeed or fail.
    pub(super) fn confirms_config(&self) -> bool {
        self.reads_config && !self.knows_unreadable_config()
    }

    /// Whether the store has a newer config that this node cannot decode.
    fn knows_unreadable_config(&self) -> bool {
        self.unreadable_config_version.is_some_and(|it| it > self.config_version())
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
