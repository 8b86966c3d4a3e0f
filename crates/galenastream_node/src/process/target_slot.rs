//! The target beside this node.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use galenastream_ownership::BootInstant;
use serde::{Deserialize, Serialize};

use super::{boot_now, counters};

/// How long a target may be silent before it is taken for gone.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// What a target says of itself. It repeats this while it lives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    /// The name of its service.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// How many requests it works on at the same time.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
    /// Whether it checks grants itself.
    pub checks_grants: bool,
}

/// The target beside this node, as it last announced itself.
#[derive(Debug, Default)]
pub struct TargetSlot {
    current: ArcSwapOption<TargetAnnouncement>,
    announced_at_ns: AtomicU64,
    draining: AtomicBool,
}

impl TargetSlot {
    /// Takes an announcement in. Returns whether the target is new or has changed.
    pub fn announce(&self, announcement: TargetAnnouncement) -> bool {
        self.announced_at_ns.store(boot_now().as_ns(), Ordering::SeqCst);
        let known = self.current.load();
        if known.as_deref() == Some(&announcement) {
            return false;
        }
        self.current.store(Some(Arc::new(announcement)));
        counters::target_up(true);
        true
    }

    /// The target, if it is up.
    pub fn current(&self) -> Option<Arc<TargetAnnouncement>> {
        self.current.load_full()
    }

    /// Records that the target is gone. Returns whether it was up.
    pub fn remove(&self) -> bool {
        let was_up = self.current.swap(None).is_some();
        if was_up {
            counters::target_up(false);
        }
        was_up
    }

    /// Whether the target has been silent for too long.
    pub fn is_silent(&self, now: BootInstant) -> bool {
        let announced_at = BootInstant::new(self.announced_at_ns.load(Ordering::SeqCst));
        self.current.load().is_some() && now.saturating_since(announced_at) > SILENCE_LIMIT
    }

    /// Records that the target or the node is leaving. Returns whether that is new.
    pub fn begin_drain(&self) -> bool {
        !self.draining.swap(true, Ordering::SeqCst)
    }

    /// Whether the target or the node is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }
}
