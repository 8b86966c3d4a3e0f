//! How fast a target works at the moment, as far as it tells and that has proved right.
//!
//! Load pattern: targets share their machines with others, which make them several times slower for
//! some tenths of a second, in turns. An urgent request that meets a slow one misses its soft deadline
//! although other targets would have answered in time.

use std::time::Duration;

use galenastream_utils::BootInstant;

/// A target is slow from this time per request on, in percent of the usual one.
const SLOW_PERCENT: u32 = 150;

/// Age from which what a target has told no longer counts: it changes several times a second.
const MAX_AGE: Duration = Duration::from_millis(100);

/// How far the number of requests that a target counts as running may differ from those that its node
/// has sent, if it is to be believed. Responses and further requests cross.
const MAX_COUNT_DIFFERENCE: u32 = 3;

/// The weight of a new sample in the moving mean of the slowdown.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// The highest ratio of a single sample. One request that hangs says nothing of the others.
const MAX_RATIO: f64 = 8.0;

/// What a target tells of its load in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ToldLoad {
    /// Requests that it runs.
    pub running: u32,
    /// The time that work takes there now, in percent of the usual one.
    pub pace_percent: u32,
}

/// How fast a target works at the moment.
///
/// What it tells only says when it is slow. By how much is measured, so that a target whose words mean
/// nothing is taken for as fast as usual.
#[derive(Debug, Clone, Copy)]
pub struct TargetPace {
    told_slow_at: Option<BootInstant>,
    /// The mean ratio of the service times of requests that began while the target was said to be
    /// slow to those of their classes.
    slowdown: f64,
}

impl Default for TargetPace {
    fn default() -> Self {
        Self { told_slow_at: None, slowdown: 1.0 }
    }
}

impl TargetPace {
    /// Records what a response tells. `sent` is the number of requests that the node has sent to the
    /// target and that are not answered.
    pub fn record(&mut self, told: ToldLoad, sent: u32, now: BootInstant) {
        let is_plausible = told.running.abs_diff(sent) <= MAX_COUNT_DIFFERENCE;
        let is_slow = is_plausible && told.pace_percent >= SLOW_PERCENT;
        self.told_slow_at = is_slow.then_some(now);
    }

    /// Whether the target has lately told that it is slow.
    pub fn is_told_slow(&self, now: BootInstant) -> bool {
        self.told_slow_at.is_some_and(|it| now.saturating_since(it) < MAX_AGE)
    }

    /// Records the service time of a request that began while the target was said to be slow, and the
    /// mean of its class.
    pub fn record_service_time(&mut self, service_time: Duration, class_mean: Duration) {
        if class_mean.is_zero() {
            return;
        }
        let ratio = service_time.as_secs_f64() / class_mean.as_secs_f64();
        self.slowdown += (ratio.min(MAX_RATIO) - self.slowdown) * SAMPLE_WEIGHT;
    }

    /// Returns by how much longer than usual a request takes that begins now; at least 1.
    pub fn slowdown(&self, now: BootInstant) -> f64 {
        match self.is_told_slow(now) {
            true => self.slowdown.max(1.0),
            false => 1.0,
        }
    }
}
