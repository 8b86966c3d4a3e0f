//! The held slices as the traffic threads see them.

use std::{
    sync::{
        Arc,
        atomic::{Ordering, fence},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use galenastream_ownership::{
    BootInstant, FastMap, HeldSlice, HeldSlices, KeyHash, SliceEpoch, SliceLoad, Term,
};

use super::SliceGate;
use crate::{process::boot_now, request::InProgress};

/// One published version of the held slices, with a gate for each.
#[derive(Debug, Default)]
pub struct Serving {
    held: HeldSlices,
    gates: FastMap<SliceEpoch, Arc<SliceGate>>,
}

/// Why a position is not served here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotServing {
    /// The node holds no live lease on the slice.
    NotHeld,
    /// The slice is being released.
    Stopping,
}

/// The held slices, published by the control thread and read by the traffic threads.
#[derive(Debug, Default)]
pub struct ServingTable {
    current: ArcSwap<Serving>,
}

impl Serving {
    /// The held slices.
    pub fn held(&self) -> &HeldSlices {
        &self.held
    }

    fn next(&self, held: HeldSlices) -> Self {
        let mut gates = FastMap::default();
        // A gate outlives its slice while requests are in progress, so that a slice that is
        // granted again in the same epoch finds them.
        for (id, gate) in &self.gates {
            if !gate.is_empty() {
                gates.insert(*id, gate.clone());
            }
        }
        for slice in &held.slices {
            let known = self.gates.get(&slice.id).cloned();
            let gate = known.unwrap_or_else(|| Arc::new(SliceGate::new(*slice)));
            gates.insert(slice.id, gate);
        }
        Self { held, gates }
    }

    fn slice_at(&self, hash: KeyHash) -> Option<&HeldSlice> {
        let after = self.held.slices.partition_point(|it| it.first <= hash);
        let slice = self.held.slices.get(after.checked_sub(1)?)?;
        (hash <= slice.last).then_some(slice)
    }

    fn serves(&self, id: SliceEpoch, hash: KeyHash, now: BootInstant) -> bool {
        self.held.serving(hash, now).is_some_and(|slice| slice.id == id)
    }
}

impl ServingTable {
    /// Publishes a new version. Only the control thread calls it.
    pub fn publish(&self, held: HeldSlices) {
        let next = self.current.load().next(held);
        self.current.store(Arc::new(next));
    }

    /// The current version.
    pub fn current(&self) -> Arc<Serving> {
        self.current.load_full()
    }

    /// The gate of an assignment, if it is held or still has requests in progress.
    pub fn gate(&self, id: SliceEpoch) -> Option<Arc<SliceGate>> {
        self.current.load().gates.get(&id).cloned()
    }

    /// Counts a request in on the slice that a position falls into, if it is served here.
    ///
    /// The request is counted before the current version is checked, and the control thread
    /// publishes a stop before it reads the count, so one of them always sees the other.
    pub fn enter(&self, hash: KeyHash) -> Result<InProgress, NotServing> {
        let before = self.current.load();
        let slice = before.slice_at(hash).ok_or(NotServing::NotHeld)?;
        let gate = before.gates.get(&slice.id).ok_or(NotServing::NotHeld)?;
        let in_progress = InProgress::enter(gate.clone());
        fence(Ordering::SeqCst);
        let current = self.current.load();
        if current.serves(slice.id, hash, boot_now()) {
            return Ok(in_progress);
        }
        match current.slice_at(hash) {
            Some(slice) if slice.stopping => Err(NotServing::Stopping),
            _ => Err(NotServing::NotHeld),
        }
    }

    /// Waits until nothing is in progress at any position of an assignment whose stop has been
    /// published.
    ///
    /// Requests that began before a split or a merge are counted on the slice that they began on.
    pub async fn wait_until_stopped(&self, id: SliceEpoch) {
        for gate in self.gates_that_overlap(id) {
            gate.wait_until_empty().await;
        }
    }

    fn gates_that_overlap(&self, id: SliceEpoch) -> Vec<Arc<SliceGate>> {
        fence(Ordering::SeqCst);
        let current = self.current.load();
        let Some(stopped) = current.gates.get(&id) else {
            return Vec::new();
        };
        current.gates.values().filter(|gate| gate.overlaps(stopped)).cloned().collect()
    }

    /// The end of the lease and the term of an assignment that is still held.
    pub fn lease(&self, id: SliceEpoch) -> Option<(BootInstant, Term)> {
        let current = self.current.load();
        let is_held = current.held.slices.iter().any(|slice| slice.id == id);
        is_held.then_some((current.held.expires_at, current.held.term))
    }

    /// The load of the held slices since the last report.
    pub fn report_loads(&self, elapsed: Duration) -> Vec<SliceLoad> {
        let current = self.current.load();
        let mut loads = Vec::new();
        for slice in &current.held.slices {
            let Some(gate) = current.gates.get(&slice.id) else {
                continue;
            };
            loads.extend(gate.meter().report(slice.id.slice, elapsed));
        }
        loads
    }

    /// Whether a position is served here at the moment.
    pub fn serves(&self, hash: KeyHash, now: BootInstant) -> bool {
        self.current.load().held.serving(hash, now).is_some()
    }
}
