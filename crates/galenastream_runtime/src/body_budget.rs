//! Memory for bodies in progress.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

/// The first bytes of each body, which need no reservation: bodies of usual size are not refused
/// because others are long.
pub const UNRESERVED_BYTES: usize = 64 * 1024;

/// The memory that long bodies in progress may use together in a process.
#[derive(Debug)]
pub struct BodyBudget {
    total_bytes: usize,
    reserved_bytes: AtomicUsize,
    announced_bytes: AtomicUsize,
    shared: Option<SharedBudget>,
}

/// A budget from which several others take their reservations.
#[derive(Debug)]
struct SharedBudget {
    budget: Arc<BodyBudget>,
    /// How many bytes of memory one reserved byte may take.
    weight: usize,
}

/// A body that is expected, until it is dropped.
#[derive(Debug)]
pub struct AnnouncedBody {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

/// A share of a [`BodyBudget`], which is given back when it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

/// A body and its reservation, which is given back with the last reference to the body.
struct ReservedBody {
    bytes: Bytes,
    _reservation: BodyReservation,
}

impl BodyBudget {
    /// Creates an unused budget.
    pub fn new(total_bytes: usize) -> Arc<Self> {
        Arc::new(Self::unused(total_bytes, None))
    }

    /// Creates an unused budget whose reservations are taken from `shared` as well, `weight` times.
    pub fn within(shared: &Arc<Self>, weight: usize, total_bytes: usize) -> Arc<Self> {
        let shared = SharedBudget { budget: shared.clone(), weight };
        Arc::new(Self::unused(total_bytes, Some(shared)))
    }

    const fn unused(total_bytes: usize, shared: Option<SharedBudget>) -> Self {
        let (reserved_bytes, announced_bytes) = (AtomicUsize::new(0), AtomicUsize::new(0));
        Self { total_bytes, reserved_bytes, announced_bytes, shared }
    }

    /// Creates an empty reservation.
    pub fn reservation(self: &Arc<Self>) -> BodyReservation {
        BodyReservation { budget: self.clone(), bytes: 0 }
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

    /// Whether so many bytes could be reserved now.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        let has_shared = |it: &SharedBudget| it.budget.has_room_for(it.bytes_of(bytes));
        self.reserved_bytes().saturating_add(bytes) <= self.total_bytes
            && self.shared.as_ref().is_none_or(has_shared)
    }

    /// Reserves so many bytes more. Returns false, and reserves nothing, if they are not left.
    fn reserve(&self, bytes: usize) -> bool {
        let next =
            |reserved: usize| reserved.checked_add(bytes).filter(|it| *it <= self.total_bytes);
        let ordering = Ordering::Relaxed;
        if self.reserved_bytes.fetch_update(ordering, ordering, next).is_err() {
            return false;
        }
        let has_shared = |it: &SharedBudget| it.budget.reserve(it.bytes_of(bytes));
        let is_reserved = self.shared.as_ref().is_none_or(has_shared);
        if !is_reserved {
            self.reserved_bytes.fetch_sub(bytes, ordering);
        }
        is_reserved
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

impl BodyReservation {
    /// Whether nothing is reserved.
    pub const fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Extends the reservation to `bytes` if it is smaller. Returns false, and leaves it as it is,
    /// if the budget does not have that much left.
    pub fn extend_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let is_reserved = self.budget.reserve(more);
        if is_reserved {
            self.bytes += more;
        }
        is_reserved
    }

    /// Extends the reservation for a body of `bytes`, of which the first ones need none. Returns false
    /// as [`extend_to`](Self::extend_to) does.
    pub fn extend_for_body(&mut self, bytes: usize) -> bool {
        bytes <= UNRESERVED_BYTES || self.extend_to(bytes)
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

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
