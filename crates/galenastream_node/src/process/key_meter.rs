//! Measures the load of single keys at the local target.

use galenastream_ranges::KeyRange;
use galenastream_utils::FastMap;
use galenastream_wire::KeyLoadRecord;

/// Share of a count that is kept from one step to the next. A change of load shows within a few
/// steps.
const DECAY_FACTOR: f64 = 0.8;

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
    counts: FastMap<u16, f64>,
    /// Number of steps that the counts cover, with the same decay.
    decayed_steps: f64,
}

impl KeyMeter {
    /// Creates a meter without counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request for a key.
    pub fn add(&mut self, key: u16) {
        *self.counts.entry(key).or_default() += 1.0;
    }

    /// Ends a step and decays the counts. Must be called twice per second.
    pub fn decay(&mut self) {
        self.decayed_steps = match self.counts.is_empty() {
            // No counts are left, so those of the next step cover that step only.
            true => 0.0,
            false => (self.decayed_steps + 1.0) * DECAY_FACTOR,
        };
        self.counts.retain(|_, count| {
            *count *= DECAY_FACTOR;
            *count >= MIN_COUNT
        });
    }

    /// The load in thousandths of a request per second, by ranges of about equal load in the order
    /// of their keys.
    pub fn load_ranges(&self) -> Vec<KeyLoadRecord> {
        let mut counts: Vec<(u16, f64)> = self.counts.iter().map(|(key, it)| (*key, *it)).collect();
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
        let seconds = self.decayed_steps.max(DECAY_FACTOR) / STEPS_PER_SECOND;
        ranges.into_iter().map(|(range, load)| key_load_record(range, load / seconds)).collect()
    }
}

fn key_load_record(range: KeyRange, per_s: f64) -> KeyLoadRecord {
    KeyLoadRecord {
        first: u32::from(range.first),
        last: u32::from(range.last),
        milli_per_s: (per_s * 1_000.0) as u64,
    }
}
