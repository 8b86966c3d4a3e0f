//! Service times by class.

use std::time::Duration;

use galenastream_utils::FastMap;

use crate::{Class, ServiceTime};

/// A class is short if its mean service time is at most that of the slowest class, divided by this.
/// Refusing a short request frees little capacity, and often fails a longer request that depends on
/// it.
const SHORT_DIVISOR: u32 = 4;

/// Service times of all requests together and of each class.
#[derive(Debug, Clone, Default)]
pub(super) struct ClassServiceTimes {
    pub(super) all: ServiceTime,
    pub(super) by_class: FastMap<u16, ServiceTime>,
}

impl ClassServiceTimes {
    /// Sets the assumed service time of a class while nothing is known of it.
    pub(super) fn assume(&mut self, class: Class, assumed: Duration) {
        self.by_class.entry(class.index).or_insert_with(|| ServiceTime::new(assumed));
        if self.all.mean().is_zero() {
            self.all = ServiceTime::new(assumed);
        }
    }

    /// Returns whether a class is short: see [`SHORT_DIVISOR`].
    pub(super) fn is_short(&self, class: Class) -> bool {
        let longest = self.by_class.values().map(|it| it.mean()).max().unwrap_or_default();
        self.by_class.get(&class.index).is_some_and(|it| it.mean() * SHORT_DIVISOR <= longest)
    }

    /// Returns a service time that most requests of a class do not exceed. Under overload, the
    /// requests that start are those that can only just meet their soft deadlines: if they were
    /// chosen by the mean, half of them would miss theirs.
    pub(super) fn upper_estimate(&self, class: Class) -> Duration {
        self.by_class.get(&class.index).map_or(self.all.upper_estimate(), |it| it.upper_estimate())
    }

    /// Returns the mean of a class, or that of all requests while nothing is known of the class.
    pub(super) fn mean_of(&self, class: Class) -> Duration {
        self.by_class.get(&class.index).map_or(self.all.mean(), |it| it.mean())
    }
}
