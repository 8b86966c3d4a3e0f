//! Whether the config of this node is known to be the newest one.
//!
//! A confirmation is an instant at which the store had no config newer than the one in force, and
//! loses its worth with age. The nodes that read the shared rows watch the config for a short time
//! and thus renew it; all others learn of it from them.

use std::time::Duration;

use galenastream_utils::BootInstant;
use galenastream_wire::StatusSeen;

use super::control_state::ControlState;
use super::peer_book::REACHABILITY_TIMEOUT;
use crate::version::ConfigDoubt;

/// Age from which a confirmation no longer counts. Two watches of a reader, of which the first is
/// counted from its start, the timeout of a call, and two statuses, of which one is lost.
pub(super) const MAX_CONFIG_AGE: Duration = Duration::from_millis(2 * 2_000 + 1_000 + 2 * 1_000);

impl ControlState {
    /// Why the config in force may be older than the newest one; `None` if the store or a peer
    /// confirms it.
    pub fn config_doubt(&self, now: BootInstant) -> Option<ConfigDoubt> {
        let version = self.config_version();
        if self.knows_unreadable_config() {
            return Some(ConfigDoubt::NewerUnreadable);
        }
        let outdated_at = self.confirmations_outdated_at(now);
        let mut is_confirmed =
            self.confirms_config() && self.config_confirmed_at > Some(outdated_at);
        for (_, peer) in self.peers.iter() {
            if peer.announces_newer_config(version, now) {
                return Some(ConfigDoubt::NewerAnnounced);
            }
            is_confirmed |= peer.confirms_config(version, outdated_at, now);
        }
        if !is_confirmed {
            return Some(ConfigDoubt::StoreUnreachable);
        }
        self.awaits_peers(now).then_some(ConfigDoubt::Starting)
    }

    /// The version of the config in force, and how old the confirmation is that this node has from
    /// the store itself, for logs.
    pub(super) fn config_evidence(&self, now: BootInstant) -> (u64, Option<Duration>) {
        let confirmed_at = self.config_confirmed_at.filter(|_| self.confirms_config());
        (self.config_version(), confirmed_at.map(|it| now.saturating_since(it)))
    }

    /// Whether the last call for the table of the config told that the config in force is the newest
    /// one. Calls about other tables say nothing about that, whether they succeed or fail.
    pub(super) fn confirms_config(&self) -> bool {
        self.reads_config && !self.knows_unreadable_config()
    }

    /// Whether the store has a newer config that this node cannot decode.
    fn knows_unreadable_config(&self) -> bool {
        self.unreadable_config_version.is_some_and(|it| it > self.config_version())
    }

    /// Records that the table of the config was read or watched, and an instant at which the store
    /// had no newer config than the one that it showed, if that is known: when the call was sent, for
    /// a watch. Its answer may have been under way for any time.
    pub(super) fn record_config_read(&mut self, confirmed_at: Option<BootInstant>) {
        self.reads_config = true;
        if !self.knows_unreadable_config() {
            self.config_confirmed_at = self.config_confirmed_at.max(confirmed_at);
        }
    }

    /// Records what the acknowledgement of a status says about the config. A peer that knew of no
    /// config newer than an older one confirms the one in force as well.
    pub(super) fn record_peer_confirmation(
        &mut self,
        node: &str,
        seen: StatusSeen,
        asked_at: BootInstant,
        now: BootInstant,
    ) {
        let Some(age_ms) = seen.config_age_ms else {
            return;
        };
        if seen.config_version > self.config_version() {
            self.record_announced_config(seen.config_version, now);
            return;
        }
        let confirmed_at = asked_at.saturating_sub(Duration::from_millis(age_ms));
        self.peers.record_config_confirmation(node, confirmed_at);
    }

    /// Records the version of a peer's config. If it is newer than the one in force, what was confirmed
    /// before no longer counts, also after that peer is gone.
    pub(super) fn record_announced_config(&mut self, version: u64, now: BootInstant) {
        if version > self.config_version() {
            let highest = self.announced_config.map_or(version, |it| it.0.max(version));
            self.announced_config = Some((highest, now));
        }
    }

    /// The instant up to which confirmations do not count.
    fn confirmations_outdated_at(&self, now: BootInstant) -> BootInstant {
        let expired_at = now.saturating_sub(MAX_CONFIG_AGE);
        let newer = self.announced_config.filter(|it| it.0 > self.config_version());
        newer.map_or(expired_at, |it| it.1.max(expired_at))
    }

    /// Whether the process started so recently that nodes may be live of which it has not heard.
    fn awaits_peers(&self, now: BootInstant) -> bool {
        if now.saturating_since(self.started_at) >= REACHABILITY_TIMEOUT {
            return false;
        }
        self.rows_version == 0 || self.peers.iter().any(|(_, it)| it.status.is_none())
    }
}
