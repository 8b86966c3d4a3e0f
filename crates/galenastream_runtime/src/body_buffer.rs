//! Collection of a body from its parts.

use std::sync::Arc;

use bytes::Bytes;
use thiserror::Error;

use crate::{MemoryBudget, MemoryReservation};

/// The longest body of a response that a node takes from a target, and of a request or response that
/// it takes from another node.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Sizes of the blocks in which a body is collected. A block is as long as the body before it, so that a short
/// body takes little; long ones are of one size and leave no gaps in the heap, as a buffer would that grows by
/// copies.
const MIN_BLOCK_BYTES: usize = 1024;
const MAX_BLOCK_BYTES: usize = 64 * 1024;

/// A body that is collected from its parts, up to a maximum length and within a [`MemoryBudget`], if
/// there is one.
#[derive(Debug)]
pub struct BodyBuffer {
    max_bytes: usize,
    /// What is reserved beside the body.
    overhead_bytes: usize,
    reservation: Option<MemoryReservation>,
    /// The first part, which is not copied: most bodies have no other one.
    first: Bytes,
    /// The other parts, in blocks of which all but the last are full.
    blocks: Vec<Vec<u8>>,
    bytes: usize,
}

/// A body exceeds its maximum length, or the budget has too little left for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a body of {bytes} bytes or more cannot be held; send shorter bodies, or fewer at once")]
pub struct BodyTooLong {
    /// How long the body is at least.
    pub bytes: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for up to `max_bytes`.
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            overhead_bytes: 0,
            reservation: None,
            first: Bytes::new(),
            blocks: Vec::new(),
            bytes: 0,
        }
    }

    /// Reserves the memory from `budget`.
    pub fn with_budget(self, budget: &Arc<MemoryBudget>) -> Self {
        Self { reservation: Some(budget.reservation()), ..self }
    }

    /// Reserves so many bytes beside those of the body.
    #[must_use]
    pub fn with_overhead(self, overhead_bytes: usize) -> Self {
        Self { overhead_bytes, ..self }
    }

    /// How many bytes have been added.
    pub const fn len(&self) -> usize {
        self.bytes
    }

    /// Whether nothing has been added.
    pub const fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Returns an error if a body of this length would exceed the maximum.
    pub const fn check_length(&self, bytes: usize) -> Result<(), BodyTooLong> {
        if bytes > self.max_bytes { Err(BodyTooLong { bytes }) } else { Ok(()) }
    }

    /// Adds the next part.
    pub fn push(&mut self, part: Bytes) -> Result<(), BodyTooLong> {
        let bytes = self.bytes + part.len();
        self.check_length(bytes)?;
        if let Some(reservation) = &mut self.reservation
            && !reservation.extend_to(bytes + self.overhead_bytes)
        {
            return Err(BodyTooLong { bytes });
        }
        match self.is_empty() {
            true => self.first = part,
            false => self.copy(&part),
        }
        self.bytes = bytes;
        Ok(())
    }

    fn copy(&mut self, mut part: &[u8]) {
        while !part.is_empty() {
            let Some(block) = self.blocks.last_mut().filter(|it| it.len() < it.capacity()) else {
                let collected = self.first.len() + self.blocks.iter().map(Vec::len).sum::<usize>();
                let block_bytes = collected.max(part.len()).clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES);
                self.blocks.push(Vec::with_capacity(block_bytes));
                continue;
            };
            let (head, rest) = part.split_at(part.len().min(block.capacity() - block.len()));
            block.extend_from_slice(head);
            part = rest;
        }
    }

    /// How much memory the body takes so far.
    pub fn held_bytes(&self) -> usize {
        self.first.len() + self.blocks.iter().map(Vec::capacity).sum::<usize>()
    }

    /// Returns the body. Its memory counts as reserved until the last reference to it is dropped.
    pub fn finish(self) -> Bytes {
        let mut body = self.first;
        if !self.blocks.is_empty() {
            let mut joined = Vec::with_capacity(self.bytes);
            joined.extend_from_slice(&body);
            for block in self.blocks {
                joined.extend_from_slice(&block);
            }
            body = joined.into();
        }
        match self.reservation {
            Some(reservation) => reservation.into_body(body),
            None => body,
        }
    }
}
