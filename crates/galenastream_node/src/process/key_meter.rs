//! Measures the load of single keys at the local target.
//!
//! Load pattern: a band of neighbouring keys gets a third of a service's requests from one moment to the
//! next. Its owner is overloaded until the planner knows by how much.

use galenastream_ranges::KeyRange;
use galenastream_utils::FastMap;
use galenastream_wire::KeyLoadRecord;

/// Share of a count that is kept from one step to the next. A change of load shows within a few
/// steps.
const DECAY_FACTOR: f64 = 0.8;

/// The same share for counts of the last moments, which show a surge at once and vary more.
const RECENT_DECAY_FACTOR: f64 = 0.4;

/// Ratio of the recent load to that over a longer time above which it counts as a surge.
const SURGE_RATIO: f64 = 1.25;

/// By how many standard deviations of the expected count the recent one has to exceed it as well: few
/// requests vary much from one moment to the next.
const SURGE_DEVIATIONS: f64 = 4.0;

/// Rate at which [`KeyMeter::decay`] has to be called.
const STEPS_PER_SECOND: f64 = 2.0;

/// Keys whose decayed count falls below this value are dropped.
const MIN_COUNT: f64 = 0.05;

/// Number of ranges into which the load is divided for the planner. A range ends before it exceeds
/// its share of the load, unless a single key does, so there may be more.
const NOMINAL_LOAD_RANGES: usize = 40;

/// Counts requests by key with exponential decay.
#[derive(Debug, Default)]
pub struct KeyMeter {
    counts: FastMap<u16, KeyCounts>,
    /// Number of steps that the counts cover, with the same decay.
    decayed_steps: KeyCounts,
}

/// A quantity that decays with either factor.
#[derive(Debug, Clone, Copy, Default)]
struct KeyCounts {
    usual: f64,
    recent: f64,
}

impl KeyCounts {
    const fn add(&mut self, amount: f64) {
        self.usual += amount;
        self.recent += amount;
    }

    const fn decay(&mut self) {
        self.usual *= DECAY_FACTOR;
        self.recent *= RECENT_DECAY_FACTOR;
    }
}

impl KeyMeter {
    /// Creates a meter without counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request for a key.
    pub fn add(&mut self, key: u16) {
        self.counts.entry(key).or_default().add(1.0);
    }

    /// Ends a step and decays the counts. Must be called twice per second.
    pub fn decay(&mut self) {
        match self.counts.is_empty() {
            // No counts are left, so those of the next step cover that step only.
            true => self.decayed_steps = KeyCounts::default(),
            false => {
                self.decayed_steps.add(1.0);
                self.decayed_steps.decay();
            }
        }
        self.counts.retain(|_, count| {
            count.decay();
            count.usual >= MIN_COUNT
        });
    }

    /// The load in thousandths of a request per second, by ranges of about equal load in the order
    /// of their keys.
    pub fn load_ranges(&self) -> Vec<KeyLoadRecord> {
        let (is_surge, seconds) = self.is_surge();
        let count_of = |it: &KeyCounts| if is_surge { it.recent } else { it.usual };
        let mut counts: Vec<(u16, f64)> =
            self.counts.iter().map(|(key, it)| (*key, count_of(it))).collect();
        counts.sort_unstable_by_key(|(key, _)| *key);
        let total: f64 = counts.iter().map(|(_, it)| it).sum();
        let range_load = total / NOMINAL_LOAD_RANGES as f64;
        let mut ranges: Vec<(KeyRange, f64)> = Vec::new();
        for (key, count) in counts {
            match ranges.last_mut() {
                Some((range, load)) if *load + count <= range_load => {
                    range.last = key;
                    *load += count;
                }
                _ => ranges.push((KeyRange { first: key, last: key }, count)),
            }
        }
        ranges.into_iter().map(|(range, load)| key_load_record(range, load / seconds)).collect()
    }
}

impl KeyMeter {
    /// Whether the recent load is a surge, and the seconds that the counts cover that show the load.
    fn is_surge(&self) -> (bool, f64) {
        let usual_s = self.decayed_steps.usual.max(DECAY_FACTOR) / STEPS_PER_SECOND;
        let recent_s = self.decayed_steps.recent.max(RECENT_DECAY_FACTOR) / STEPS_PER_SECOND;
        let usual: f64 = self.counts.values().map(|it| it.usual).sum();
        let recent: f64 = self.counts.values().map(|it| it.recent).sum();
        let expected = usual / usual_s * recent_s;
        let noise = SURGE_DEVIATIONS * expected.max(1.0).sqrt();
        match recent > expected * SURGE_RATIO && recent > expected + noise {
            true => (true, recent_s),
            false => (false, usual_s),
        }
    }
}

fn key_load_record(range: KeyRange, per_s: f64) -> KeyLoadRecord {
    KeyLoadRecord {
        first: u32::from(range.first),
        last: u32::from(range.last),
        milli_per_s: (per_s * 1_000.0) as u64,
    }
}
