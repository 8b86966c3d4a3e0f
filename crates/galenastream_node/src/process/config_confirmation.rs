//! Whether the config of this node is known to be the newest one.
//!
//! A confirmation names a version and an instant at which the store held no newer config. It counts
//! for configs in force that are not older than that version, and loses its worth with age. The nodes
//! that read the shared rows watch the config for a short time and thus renew it; all others learn
//! of it from them.

use std::time::Duration;

use galenastream_utils::BootInstant;
use galenastream_wire::StatusSeen;

use super::RefusedConfigPage;
use super::control_state::ControlState;
use super::ownership_log::millis;
use super::peer_book::REACHABILITY_TIMEOUT;
use super::store_view::ConfigSource;
use super::{StoredConfig, StoredConfigContent};
use crate::version::ConfigDoubt;

/// Age from which a confirmation no longer counts. Two watches of a reader, of which the first is
/// counted from its start, the timeout of a call, and two statuses, of which one is lost.
pub(super) const MAX_CONFIG_AGE: Duration = Duration::from_millis(2 * 2_000 + 1_000 + 2 * 1_000);

/// The newest config that the store has shown to this node.
#[derive(Debug, Clone, Copy)]
pub(super) struct KnownStoredConfig {
    /// The version of its row.
    row_version: u64,
    /// The version of the config in that row.
    version: StoredVersion,
}

/// The version of a config in the store, in the order of what it takes to confirm a config in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum StoredVersion {
    /// This version, whether or not the rest of the config can be decoded.
    Known(u64),
    /// A config whose version cannot be decoded, and which may be newer than any other.
    Unknown,
    /// There is no config.
    Missing,
}

/// A version of the config, and the latest instant at which the store is known to have held no newer
/// one.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConfigConfirmation {
    version: StoredVersion,
    confirmed_at: BootInstant,
}

impl ControlState {
    /// Why the config in force may be older than the newest one; `None` if the store or a peer
    /// confirms it.
    pub fn config_doubt(&self, now: BootInstant) -> Option<ConfigDoubt> {
        let version = self.config_version();
        match self.stored_config.map(|it| it.version) {
            Some(StoredVersion::Missing) => return Some(ConfigDoubt::Removed),
            Some(stored) if !stored.is_confirmed_by(version) => {
                return Some(ConfigDoubt::NewerUnreadable);
            }
            _ => {}
        }
        let outdated_at = self.confirmations_outdated_at(now);
        let mut is_confirmed = self.config_confirmed_at() > Some(outdated_at);
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

    /// Whether the last call for the table of the config told that the config in force is the newest
    /// one. Calls about other tables say nothing about that, whether they succeed or fail.
    pub(super) fn confirms_config(&self) -> bool {
        let version = self.config_version();
        let is_newest = self.stored_config.is_none_or(|it| it.version.is_confirmed_by(version));
        self.reads_config && is_newest
    }

    /// The latest instant at which this node knew from the store that no config was newer than the
    /// one in force.
    pub(super) fn config_confirmed_at(&self) -> Option<BootInstant> {
        let version = self.config_version();
        let confirmation = self.config_confirmation.filter(|_| self.confirms_config())?;
        confirmation.version.is_confirmed_by(version).then_some(confirmation.confirmed_at)
    }

    /// Handles an answer about the table of the config: what the store holds, if that has changed, and
    /// an instant at which it held nothing newer, if that is known. For a watch, that is when the call
    /// was sent: its answer may have been under way for any time.
    pub(super) fn handle_config_read(
        &mut self,
        stored: Option<StoredConfig>,
        confirmed_at: Option<BootInstant>,
        now: BootInstant,
    ) {
        self.reads_config = true;
        if let Some(stored) = stored {
            self.handle_stored_config(stored, now);
        }
        let Some((known, confirmed_at)) = self.stored_config.zip(confirmed_at) else {
            return;
        };
        if self.config_confirmation.is_none_or(|it| it.confirmed_at < confirmed_at) {
            let version = known.version;
            self.config_confirmation = Some(ConfigConfirmation { version, confirmed_at });
        }
    }

    fn handle_stored_config(&mut self, stored: StoredConfig, now: BootInstant) {
        let version = match &stored.content {
            StoredConfigContent::Valid { config, .. } => StoredVersion::Known(config.version.0),
            StoredConfigContent::Unreadable { version, .. } => {
                version.map_or(StoredVersion::Unknown, StoredVersion::Known)
            }
            StoredConfigContent::Missing => StoredVersion::Missing,
        };
        let row_version = stored.row_version;
        // A read may be older than what the store has shown before.
        if self.stored_config.is_none_or(|it| it.row_version <= row_version) {
            self.stored_config = Some(KnownStoredConfig { row_version, version });
            self.record_refusal(&stored.content);
        }
        if let StoredConfigContent::Valid { config, encoded } = stored.content {
            self.apply_config(*config, encoded, ConfigSource::Store { row_version }, now);
        }
    }

    /// Records whether the newest config in the store is refused, for operators.
    fn record_refusal(&mut self, content: &StoredConfigContent) {
        self.refused_config = match content {
            StoredConfigContent::Unreadable { version, reason } => {
                Some(RefusedConfigPage { version: *version, reason: reason.clone() })
            }
            StoredConfigContent::Valid { .. } | StoredConfigContent::Missing => None,
        };
        metrics::gauge!("galenastream_config_refused")
            .set(f64::from(u8::from(self.refused_config.is_some())));
    }

    /// Logs that the config in force is confirmed, and by which knowledge of this node itself.
    pub(super) fn log_confirmation(&self, now: BootInstant) {
        let age_ms = |it| millis(now.saturating_since(it));
        log::info!(
            event = "config_confirmed",
            version = self.config_version(),
            row_version = self.stored_config.map(|it| it.row_version),
            store_age_ms = self.config_confirmed_at().map(age_ms);
            ""
        );
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

impl StoredVersion {
    /// Whether the store holds no config that is newer than a version in force.
    fn is_confirmed_by(self, in_force: u64) -> bool {
        self <= Self::Known(in_force)
    }
}
