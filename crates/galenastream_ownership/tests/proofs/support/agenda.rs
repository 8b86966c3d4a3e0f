//! What is due in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

/// A queue of happenings by time; those of the same time come in the order of their scheduling.
#[derive(Debug)]
pub struct Agenda<T> {
    order: BinaryHeap<Reverse<(u64, usize)>>,
    happenings: Vec<Option<T>>,
}

impl<T> Agenda<T> {
    pub fn new() -> Self {
        Self { order: BinaryHeap::new(), happenings: Vec::new() }
    }

    pub fn schedule(&mut self, at_ns: u64, happening: T) {
        self.order.push(Reverse((at_ns, self.happenings.len())));
        self.happenings.push(Some(happening));
    }

    /// Takes the next happening that is due before `end_ns`.
    pub fn pop_before(&mut self, end_ns: u64) -> Option<(u64, T)> {
        let &Reverse((at_ns, index)) = self.order.peek()?;
        if at_ns >= end_ns {
            return None;
        }
        self.order.pop();
        Some((at_ns, self.happenings[index].take()?))
    }
}
