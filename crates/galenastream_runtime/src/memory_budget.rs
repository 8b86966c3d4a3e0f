//! Memory for requests and their bodies, for answers and for messages that arrive.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

/// The longest short body.
pub(crate) const SHORT_BYTES: usize = 64 * 1024;

/// The longest small body.
const SMALL_BYTES: usize = 16 * 1024;

/// The memory that bodies, or requests, in progress may use together in a process.
#[derive(Debug)]
pub struct MemoryBudget {
    total_bytes: usize,
    kept: KeptRoom,
    reserved_bytes: AtomicUsize,
    announced_bytes: AtomicUsize,
    shared: Option<SharedBudget>,
}

/// Room that longer bodies leave to shorter ones: bodies of usual size are not refused because others are
/// long.
#[derive(Debug, Clone, Copy, Default)]
pub struct KeptRoom {
    /// For bodies of up to 64 KiB.
    pub short_bytes: usize,
    /// The part of it for bodies of up to 16 KiB.
    pub small_bytes: usize,
}

impl KeptRoom {
    /// What a body of this size leaves free.
    const fn beside(self, body_bytes: usize) -> usize {
        if body_bytes <= SMALL_BYTES {
            0
        } else if body_bytes <= SHORT_BYTES {
            self.small_bytes
        } else {
            self.short_bytes
        }
    }
}

/// A budget from which several others take their reservations.
#[derive(Debug)]
struct SharedBudget {
    budget: Arc<MemoryBudget>,
    /// How many bytes of memory one reserved byte may take.
    weight: usize,
}

/// A body that is expected, until it is dropped.
#[derive(Debug)]
pub struct AnnouncedBody {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

/// A share of a [`MemoryBudget`], which is given back when it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

/// A body and its reservation, which is given back with the last reference to the body.
struct ReservedBody {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl MemoryBudget {
    /// Creates an unused budget.
    pub fn new(total_bytes: usize) -> Arc<Self> {
        Self::with_kept(total_bytes, KeptRoom::default())
    }

    /// Creates an unused budget that keeps room for short bodies.
    pub fn with_kept(total_bytes: usize, kept: KeptRoom) -> Arc<Self> {
        Arc::new(Self::unused(total_bytes, kept, None))
    }

    /// Creates an unused budget whose reservations are taken from `shared` as well, `weight` times.
    pub fn within(
        shared: &Arc<Self>,
        weight: usize,
        total_bytes: usize,
        kept: KeptRoom,
    ) -> Arc<Self> {
        let shared = SharedBudget { budget: shared.clone(), weight };
        Arc::new(Self::unused(total_bytes, kept, Some(shared)))
    }

    const fn unused(total_bytes: usize, kept: KeptRoom, shared: Option<SharedBudget>) -> Self {
        let (reserved_bytes, announced_bytes) = (AtomicUsize::new(0), AtomicUsize::new(0));
        Self { total_bytes, kept, reserved_bytes, announced_bytes, shared }
    }

    /// Creates an empty reservation.
    pub fn reservation(self: &Arc<Self>) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }

    /// Announces a body of about so many bytes. Returns `None` if there would be no room for it beside all
    /// others that are expected. It reserves nothing, so that those never lack what is kept for it.
    pub fn announce(self: &Arc<Self>, bytes: usize) -> Option<AnnouncedBody> {
        let announced = self.announced_bytes.load(Ordering::Relaxed);
        if !self.has_room_for(announced.saturating_add(bytes)) {
            return None;
        }
        self.announced_bytes.fetch_add(bytes, Ordering::Relaxed);
        Some(AnnouncedBody { budget: self.clone(), bytes })
    }

    /// Whether a body of so many bytes could be reserved now.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.has_room_beside(bytes, bytes)
    }

    /// How many bytes have to be given back before so many could be reserved for small bodies; 0 if they
    /// could now.
    pub fn missing_for(&self, bytes: usize) -> usize {
        let left = self.total_bytes.saturating_sub(self.reserved_bytes());
        let missing = bytes.saturating_sub(left);
        self.shared.as_ref().map_or(missing, |it| {
            let missing_shared = it.budget.missing_for(it.bytes_of(bytes));
            missing.max(missing_shared.div_ceil(it.weight))
        })
    }

    /// Whether so many bytes could be reserved for a body of `body_bytes`.
    fn has_room_beside(&self, bytes: usize, body_bytes: usize) -> bool {
        let has_shared =
            |it: &SharedBudget| it.budget.has_room_beside(it.bytes_of(bytes), body_bytes);
        self.reserved_bytes().saturating_add(bytes) <= self.max_bytes(body_bytes)
            && self.shared.as_ref().is_none_or(has_shared)
    }

    /// Up to how many bytes a body of this size may fill the budget.
    const fn max_bytes(&self, body_bytes: usize) -> usize {
        self.total_bytes.saturating_sub(self.kept.beside(body_bytes))
    }

    /// Reserves so many bytes more for a body of `body_bytes`. Returns false, and reserves nothing, if they
    /// are not left.
    fn reserve(&self, bytes: usize, body_bytes: usize) -> bool {
        let max_bytes = self.max_bytes(body_bytes);
        let next = |reserved: usize| reserved.checked_add(bytes).filter(|it| *it <= max_bytes);
        let ordering = Ordering::Relaxed;
        if self.reserved_bytes.fetch_update(ordering, ordering, next).is_err() {
            return false;
        }
        let has_shared = |it: &SharedBudget| it.budget.reserve(it.bytes_of(bytes), body_bytes);
        let is_reserved = self.shared.as_ref().is_none_or(has_shared);
        if !is_reserved {
            self.reserved_bytes.fetch_sub(bytes, ordering);
        }
        is_reserved
    }

    /// Reserves so many bytes more, whether they are left or not.
    fn reserve_anyway(&self, bytes: usize) {
        self.reserved_bytes.fetch_add(bytes, Ordering::Relaxed);
        if let Some(shared) = &self.shared {
            shared.budget.reserve_anyway(shared.bytes_of(bytes));
        }
    }

    fn release(&self, bytes: usize) {
        self.reserved_bytes.fetch_sub(bytes, Ordering::Relaxed);
        if let Some(shared) = &self.shared {
            shared.budget.release(shared.bytes_of(bytes));
        }
    }

    /// How many bytes are reserved now.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.load(Ordering::Relaxed)
    }
}

impl MemoryReservation {
    /// Whether nothing is reserved.
    pub const fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// How many bytes are reserved.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Extends the reservation to `bytes` if it is smaller. Returns false, and leaves it as it is,
    /// if the budget does not have that much left.
    pub fn extend_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let is_reserved = more == 0 || self.budget.reserve(more, bytes);
        if is_reserved {
            self.bytes += more;
        }
        is_reserved
    }

    /// Extends the reservation to `bytes` if it is smaller, whether they are left or not: others are about
    /// to give back as much.
    pub fn extend_anyway(&mut self, bytes: usize) {
        let more = bytes.saturating_sub(self.bytes);
        self.budget.reserve_anyway(more);
        self.bytes += more;
    }

    /// Returns a body that counts as reserved until the last reference to it is dropped.
    pub fn into_body(self, bytes: Bytes) -> Bytes {
        match self.is_empty() {
            true => bytes,
            false => Bytes::from_owner(ReservedBody { bytes, _reservation: self }),
        }
    }
}

impl SharedBudget {
    const fn bytes_of(&self, bytes: usize) -> usize {
        bytes.saturating_mul(self.weight)
    }
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for AnnouncedBody {
    fn drop(&mut self) {
        self.budget.announced_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
