//! Measures the load of one assignment of a slice.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use galenastream_ownership::{HotKey, KeyHash, SliceId, SliceLoad};

/// How many keys of a slice are followed at once. A key with a larger share of the load than one
/// in this many is always among them.
const FOLLOWED_KEYS: usize = 8;

/// The least share of a slice's load that makes a key stand out.
const HOT_SHARE_PERCENT: u64 = 20;

/// Measures the slot time that the keys of one slice use, as the node beside the target sees it.
#[derive(Debug, Default)]
pub struct SliceMeter {
    state: Mutex<MeterState>,
}

#[derive(Debug, Default)]
struct MeterState {
    busy_ns: u64,
    followed: Vec<FollowedKey>,
    was_loaded: bool,
}

#[derive(Debug, Clone, Copy)]
struct FollowedKey {
    hash: KeyHash,
    /// An upper bound: what a key that was followed before had used is counted too.
    busy_ns: u64,
    inherited_ns: u64,
}

impl SliceMeter {
    /// Adds the slot time of one request.
    pub fn add(&self, hash: KeyHash, busy: Duration) {
        let busy_ns = u64::try_from(busy.as_nanos()).unwrap_or(u64::MAX);
        let mut state = self.lock();
        state.busy_ns = state.busy_ns.saturating_add(busy_ns);
        state.follow(hash, busy_ns);
    }

    /// The load since the last report, if there was any in this or the last one.
    pub fn report(&self, slice: SliceId, elapsed: Duration) -> Option<SliceLoad> {
        let mut state = self.lock();
        let MeterState { busy_ns, followed, was_loaded } = std::mem::take(&mut *state);
        state.was_loaded = busy_ns > 0;
        if busy_ns == 0 && !was_loaded {
            return None;
        }
        let elapsed_ns = elapsed.as_nanos().max(1);
        let busy_millislots = u128::from(busy_ns) * 1_000 / elapsed_ns;
        Some(SliceLoad {
            slice,
            busy_millislots: u32::try_from(busy_millislots).unwrap_or(u32::MAX),
            hottest: hottest(&followed, busy_ns),
        })
    }

    fn lock(&self) -> MutexGuard<'_, MeterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MeterState {
    /// The space-saving algorithm: a new key takes the place of the one that used least.
    fn follow(&mut self, hash: KeyHash, busy_ns: u64) {
        if let Some(key) = self.followed.iter_mut().find(|it| it.hash == hash) {
            key.busy_ns = key.busy_ns.saturating_add(busy_ns);
            return;
        }
        if self.followed.len() < FOLLOWED_KEYS {
            self.followed.push(FollowedKey { hash, busy_ns, inherited_ns: 0 });
            return;
        }
        if let Some(least) = self.followed.iter_mut().min_by_key(|it| it.busy_ns) {
            let inherited_ns = least.busy_ns;
            let busy_ns = inherited_ns.saturating_add(busy_ns);
            *least = FollowedKey { hash, busy_ns, inherited_ns };
        }
    }
}

fn hottest(followed: &[FollowedKey], total_ns: u64) -> Option<HotKey> {
    let hottest = followed.iter().max_by_key(|it| it.busy_ns - it.inherited_ns)?;
    let own_ns = hottest.busy_ns - hottest.inherited_ns;
    let share_percent = (u128::from(own_ns) * 100 / u128::from(total_ns.max(1))).min(100) as u64;
    if share_percent < HOT_SHARE_PERCENT {
        return None;
    }
    Some(HotKey { hash: hottest.hash, share_percent: u8::try_from(share_percent).unwrap_or(100) })
}
