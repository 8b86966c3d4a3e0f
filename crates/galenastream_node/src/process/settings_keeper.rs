//! Which version of the settings is in force, and which is the highest one seen.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use galenastream_ownership::{SettingsVersion, VmId};
use tokio::{sync::watch, time::timeout};

use super::counters;
use crate::version::SettingsVersionInForce;

/// How long a request waits for a newer version before it is refused.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Which version of the settings is in force, and which is the highest one seen.
///
/// A version never falls. A node that has seen a newer version serves nothing under the old one.
#[derive(Debug)]
pub struct SettingsKeeper {
    current: ArcSwap<SettingsVersionInForce>,
    highest_seen: AtomicU64,
    in_force: watch::Sender<SettingsVersion>,
    wanted: watch::Sender<Option<WantedSettings>>,
}

/// A version that is to be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WantedSettings {
    /// The version.
    pub version: SettingsVersion,
    /// A node that has seen it.
    pub holder: Option<VmId>,
}

impl SettingsKeeper {
    /// Starts with a version.
    pub fn new(first: SettingsVersionInForce) -> Self {
        let version = first.version();
        counters::settings_in_force(version);
        Self {
            current: ArcSwap::from_pointee(first),
            highest_seen: AtomicU64::new(version.0),
            in_force: watch::Sender::new(version),
            wanted: watch::Sender::new(None),
        }
    }

    /// The version in force.
    pub fn current(&self) -> Arc<SettingsVersionInForce> {
        self.current.load_full()
    }

    /// The number of the version in force.
    pub fn version(&self) -> SettingsVersion {
        self.current.load().version()
    }

    /// The highest version seen anywhere.
    pub fn highest_seen(&self) -> SettingsVersion {
        SettingsVersion(self.highest_seen.load(Ordering::SeqCst))
    }

    /// Whether a newer version than the one in force has been seen.
    pub fn is_behind(&self) -> bool {
        self.highest_seen() > self.version()
    }

    /// Records that a node has seen a version, and has it fetched if it is newer.
    pub fn see(&self, version: SettingsVersion, holder: Option<VmId>) {
        let seen_before = self.highest_seen.fetch_max(version.0, Ordering::SeqCst);
        if version <= self.version() {
            return;
        }
        let is_new = version.0 > seen_before;
        self.wanted.send_if_modified(|wanted| {
            let is_better = wanted.is_none_or(|it| it.holder.is_none() && holder.is_some());
            if is_new || is_better {
                *wanted = Some(WantedSettings { version, holder });
                return true;
            }
            false
        });
    }

    /// Puts a version in force, unless one as high already is.
    pub fn install(&self, version: SettingsVersionInForce) -> bool {
        let number = version.version();
        if number <= self.version() {
            return false;
        }
        self.highest_seen.fetch_max(number.0, Ordering::SeqCst);
        self.current.store(Arc::new(version));
        counters::settings_in_force(number);
        self.in_force.send_replace(number);
        true
    }

    /// Waits a short while until no newer version than the one in force is known.
    pub async fn wait_until_current(&self) -> bool {
        if !self.is_behind() {
            return true;
        }
        let mut in_force = self.in_force.subscribe();
        let wait = async {
            while self.is_behind() {
                if in_force.changed().await.is_err() {
                    return;
                }
            }
        };
        timeout(MAX_WAIT, wait).await.is_ok() && !self.is_behind()
    }

    /// Follows which version is to be fetched.
    pub fn follow_wanted(&self) -> watch::Receiver<Option<WantedSettings>> {
        self.wanted.subscribe()
    }

    /// Follows which version is in force.
    pub fn follow_in_force(&self) -> watch::Receiver<SettingsVersion> {
        self.in_force.subscribe()
    }
}
