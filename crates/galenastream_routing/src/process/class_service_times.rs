//! Service times by class.

use std::time::Duration;

use galenastream_utils::FastMap;

use crate::{Class, ServiceTime};

/// A class is short if its mean service time is at most that of the slowest common class, divided by
/// this.
/// Refusing a short request frees little capacity, and often fails a longer request that depends on
/// it.
const SHORT_DIVISOR: u32 = 4;

/// A class is common if it has at least the number of all answered requests, divided by this. A few
/// slow requests, such as those that the target never answers in time, do not make all others short.
const COMMON_SHARE_DIVISOR: u32 = 16;

/// The counts of answered requests are halved when their sum reaches this.
const MAX_ANSWERED: u32 = 256;

/// Service times of all requests together and of each class.
#[derive(Debug, Clone, Default)]
pub(super) struct ClassServiceTimes {
    pub(super) all: ServiceTime,
    by_class: FastMap<u16, ClassServiceTime>,
    answered_count: u32,
}

/// The service time of one class.
#[derive(Debug, Clone, Copy, Default)]
struct ClassServiceTime {
    time: ServiceTime,
    answered_count: u32,
}

impl ClassServiceTimes {
    /// Sets the assumed service time of a class while nothing is known of it.
    pub(super) fn assume(&mut self, class: Class, assumed: Duration) {
        self.by_class.entry(class.index).or_insert_with(|| ClassServiceTime {
            time: ServiceTime::new(assumed),
            answered_count: 0,
        });
        if self.all.mean().is_zero() {
            self.all = ServiceTime::new(assumed);
        }
    }

    /// Adds the service time of an answered request to the mean of its class.
    pub(super) fn add(&mut self, class: Class, service_time: Duration) {
        let of_class = self.by_class.entry(class.index).or_default();
        of_class.time.add(service_time);
        of_class.answered_count += 1;
        self.answered_count += 1;
        if self.answered_count >= MAX_ANSWERED {
            self.by_class.values_mut().for_each(|it| it.answered_count /= 2);
            self.answered_count /= 2;
        }
    }

    /// Returns whether a class is short: see [`SHORT_DIVISOR`].
    pub(super) fn is_short(&self, class: Class) -> bool {
        let min_count = (self.answered_count / COMMON_SHARE_DIVISOR).max(1);
        let common = self.by_class.values().filter(|it| it.answered_count >= min_count);
        let longest = common.map(|it| it.time.mean()).max().unwrap_or_default();
        self.by_class.get(&class.index).is_some_and(|it| it.time.mean() * SHORT_DIVISOR <= longest)
    }

    /// Returns a service time that most requests of a class do not exceed. Under overload, the
    /// requests that start are those that can only just meet their soft deadlines: if they were
    /// chosen by the mean, half of them would miss theirs.
    pub(super) fn upper_estimate(&self, class: Class) -> Duration {
        self.by_class
            .get(&class.index)
            .map_or(self.all.upper_estimate(), |it| it.time.upper_estimate())
    }

    /// Returns the mean of a class, or that of all requests while nothing is known of the class.
    pub(super) fn mean_of(&self, class: Class) -> Duration {
        self.by_class.get(&class.index).map_or(self.all.mean(), |it| it.time.mean())
    }
}
