//! Identifiers of cells and slices.

use std::fmt;

use crate::ServiceId;

/// A group of targets of one service that shares one row and one coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId {
    /// The service whose keys the cell holds.
    pub service: ServiceId,
    /// The position of the cell within its service.
    pub index: u16,
}

impl CellId {
    /// Creates the id of a service's cell.
    pub const fn new(service: ServiceId, index: u16) -> Self {
        Self { service, index }
    }

    /// Reads an id from its number, as messages carry it.
    pub const fn from_bits(bits: u64) -> Self {
        Self::new(ServiceId((bits >> 16) as u32), bits as u16)
    }

    /// The number that messages carry.
    pub const fn bits(self) -> u64 {
        (self.service.0 as u64) << 16 | self.index as u64
    }
}

impl fmt::Display for CellId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}-{}", self.service.0, self.index)
    }
}

/// A slice of a cell's hash space. Never used again for another range of the same cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SliceId(pub u32);
