//! The queue in front of a target's slots.

use std::collections::{BTreeMap, VecDeque};

use galenastream_utils::BootInstant;

use crate::{Class, Deadline};

/// Identifies a request that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(pub u64);

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiting {
    pub(crate) id: WaitId,
    pub(crate) class: Class,
    /// The earlier of the soft deadline and the deadline that the caller gave. Requests of one
    /// priority are ordered by it, earliest first.
    pub(crate) due: Deadline,
    /// The soft deadline in force; equal to `deadline` for short requests and for those without a
    /// soft deadline of their own.
    pub(crate) soft_deadline: Deadline,
    pub(crate) deadline: Deadline,
    /// The instant at which the wait ends.
    pub(crate) until: BootInstant,
}

/// Waiting requests by priority, highest first. Within a priority, requests that can still meet
/// their soft deadlines come first, ordered by `due`; the others follow in the order of arrival.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queue {
    by_priority: BTreeMap<u8, VecDeque<Waiting>>,
    len: usize,
}

impl Queue {
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of waiting requests that would start before a new one.
    pub(crate) fn count_ahead_of(
        &self,
        class: Class,
        due: Deadline,
        soft_deadline: Deadline,
        now: BootInstant,
    ) -> usize {
        let mut ahead = 0;
        for (priority, same_priority) in self.by_priority.range(class.priority..) {
            if *priority > class.priority {
                ahead += same_priority.len();
                continue;
            }
            let is_ahead = |it: &&Waiting| match soft_deadline.has_passed(now) {
                true => true,
                false => it.due <= due && !it.soft_deadline.has_passed(now),
            };
            ahead += same_priority.iter().filter(is_ahead).count();
        }
        ahead
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.by_priority.entry(waiting.class.priority).or_default().push_back(waiting);
        self.len += 1;
    }

    /// Returns whether the condition holds for a waiting request.
    pub(crate) fn any(&self, condition: impl Fn(&Waiting) -> bool) -> bool {
        self.by_priority.values().flatten().any(condition)
    }

    /// Removes the request that starts next. `is_timely` tells whether a request can still meet its
    /// soft deadline.
    pub(crate) fn pop_first(&mut self, is_timely: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        let mut same_priority = self.by_priority.last_entry()?;
        let candidates = same_priority.get().iter().enumerate().filter(|(_, it)| is_timely(it));
        let index = candidates.min_by_key(|(_, it)| it.due).map_or(0, |(index, _)| index);
        let waiting = same_priority.get_mut().remove(index);
        if same_priority.get().is_empty() {
            same_priority.remove();
        }
        self.len -= usize::from(waiting.is_some());
        waiting
    }

    /// Removes the last request of the lowest priority, if that is below the priority of the class.
    pub(crate) fn pop_lowest_below(&mut self, class: Class) -> Option<Waiting> {
        let mut same_priority = self.by_priority.first_entry()?;
        if *same_priority.key() >= class.priority {
            return None;
        }
        let waiting = same_priority.get_mut().pop_back();
        if same_priority.get().is_empty() {
            same_priority.remove();
        }
        self.len -= usize::from(waiting.is_some());
        waiting
    }

    /// Returns the waiting requests, those that start first at the front.
    pub(crate) fn in_order(&self) -> Vec<Waiting> {
        let mut waiting: Vec<Waiting> = self.by_priority.values().flatten().copied().collect();
        waiting.sort_by_key(|it| (std::cmp::Reverse(it.class.priority), it.due));
        waiting
    }

    /// Removes a request. Returns whether it was in the queue.
    pub(crate) fn remove(&mut self, id: WaitId) -> bool {
        for same_priority in self.by_priority.values_mut() {
            let Some(index) = same_priority.iter().position(|waiting| waiting.id == id) else {
                continue;
            };
            same_priority.remove(index);
            self.len -= 1;
            self.by_priority.retain(|_, same_priority| !same_priority.is_empty());
            return true;
        }
        false
    }
}
