//! The queue in front of a target's slots.

use std::collections::{BTreeMap, VecDeque};

use galenastream_utils::BootInstant;

use crate::{Class, Deadline};

/// Names a request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(pub u64);

#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) id: WaitId,
    pub(crate) class: Class,
    /// Those that are due first go first.
    pub(crate) due: Deadline,
    /// When an answer loses most of its worth.
    pub(crate) prompt: Deadline,
    pub(crate) deadline: Deadline,
    pub(crate) until: BootInstant,
}

/// Waiting requests by priority. Within a priority, those that can still be answered promptly go
/// first, the one that is due first before the others; then the rest in the order of arrival.
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
    pub(crate) fn count_ahead_of(
        &self,
        class: Class,
        due: Deadline,
        prompt: Deadline,
        now: BootInstant,
    ) -> usize {
        let mut ahead = 0;
        for (priority, lane) in self.lanes.range(class.priority..) {
            if *priority > class.priority {
                ahead += lane.len();
                continue;
            }
            let is_ahead = |it: &&Waiting| match prompt.has_passed(now) {
                true => true,
                false => it.due <= due && !it.prompt.has_passed(now),
            };
            ahead += lane.iter().filter(is_ahead).count();
        }
        ahead
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.lanes.entry(waiting.class.priority).or_default().push_back(waiting);
        self.len += 1;
    }

    /// Takes the request that goes next. `is_prompt` tells which can still be answered promptly.
    pub(crate) fn pop_first(&mut self, is_prompt: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        let mut lane = self.lanes.last_entry()?;
        let prompt = lane.get().iter().enumerate().filter(|(_, it)| is_prompt(it));
        let index = prompt.min_by_key(|(_, it)| it.due).map_or(0, |(index, _)| index);
        let waiting = lane.get_mut().remove(index);
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
