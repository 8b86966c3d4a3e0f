//! Memory for bodies in progress.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The memory that long bodies in progress may use together in a process.
#[derive(Debug)]
pub struct BodyBudget {
    total_bytes: usize,
    reserved_bytes: AtomicUsize,
    announced_bytes: AtomicUsize,
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

impl BodyBudget {
    /// Creates an unused budget.
    pub fn new(total_bytes: usize) -> Arc<Self> {
        let (reserved_bytes, announced_bytes) = (AtomicUsize::new(0), AtomicUsize::new(0));
        Arc::new(Self { total_bytes, reserved_bytes, announced_bytes })
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
        self.reserved_bytes().saturating_add(bytes) <= self.total_bytes
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
        let budget = &self.budget;
        let reserve =
            |reserved: usize| reserved.checked_add(more).filter(|it| *it <= budget.total_bytes);
        let ordering = Ordering::Relaxed;
        let is_reserved = budget.reserved_bytes.fetch_update(ordering, ordering, reserve).is_ok();
        if is_reserved {
            self.bytes += more;
        }
        is_reserved
    }
}

impl Drop for AnnouncedBody {
    fn drop(&mut self) {
        self.budget.announced_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.reserved_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
