//! The queue in front of a target's slots.

use std::collections::{BTreeMap, VecDeque};

use galenastream_ownership::BootInstant;

use crate::{Class, Deadline};

/// Names a request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(pub u64);

#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) id: WaitId,
    pub(crate) deadline: Deadline,
    pub(crate) until: BootInstant,
}

/// Waiting requests by priority, each priority in the order of arrival.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queue {
    lanes: BTreeMap<u8, VecDeque<Waiting>>,
    len: usize,
}

impl Queue {
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// How many waiting requests go before a new one of this class.
    pub(crate) fn count_ahead_of(&self, class: Class) -> usize {
        self.lanes.range(class.priority..).map(|(_, lane)| lane.len()).sum()
    }

    pub(crate) fn push(&mut self, class: Class, waiting: Waiting) {
        self.lanes.entry(class.priority).or_default().push_back(waiting);
        self.len += 1;
    }

    /// Takes the request that goes next.
    pub(crate) fn pop_first(&mut self) -> Option<Waiting> {
        let mut lane = self.lanes.last_entry()?;
        let waiting = lane.get_mut().pop_front();
        if lane.get().is_empty() {
            lane.remove();
        }
        self.len -= usize::from(waiting.is_some());
        waiting
    }

    /// Takes the latest request of the lowest priority, if that is below the class's.
    pub(crate) fn pop_lowest_below(&mut self, class: Class) -> Option<Waiting> {
        let mut lane = self.lanes.first_entry()?;
        if *lane.key() >= class.priority {
            return None;
        }
        let waiting = lane.get_mut().pop_back();
        if lane.get().is_empty() {
            lane.remove();
        }
        self.len -= usize::from(waiting.is_some());
        waiting
    }

    pub(crate) fn remove(&mut self, id: WaitId) -> bool {
        for lane in self.lanes.values_mut() {
            let Some(index) = lane.iter().position(|waiting| waiting.id == id) else {
                continue;
            };
            lane.remove(index);
            self.len -= 1;
            self.lanes.retain(|_, lane| !lane.is_empty());
            return true;
        }
        false
    }
}
