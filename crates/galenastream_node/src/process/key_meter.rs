//! The load of single keys at the target beside this node.

use galenastream_ranges::KeyRange;
use galenastream_utils::FastMap;
use galenastream_wire::KeyLoadRecord;

/// Share of the count that is kept from one step to the next; the load shows within a few.
const DECAY_FACTOR: f64 = 0.8;

/// Steps in a second.
const STEPS_PER_SECOND: f64 = 2.0;

/// Keys with less than this many counted requests are dropped.
const MIN_COUNT: f64 = 0.05;

/// Pieces into which the load is cut for the planner.
const NOMINAL_LOAD_RANGES: usize = 40;

/// Counts requests by key, newer ones more than older ones.
#[derive(Debug, Default)]
pub struct KeyMeter {
    counts: FastMap<u16, f64>,
    /// How many steps the counts stand for, aged like them.
    decayed_steps: f64,
}

impl KeyMeter {
    /// Creates a meter that has counted nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request.
    pub fn add(&mut self, key: u16) {
        *self.counts.entry(key).or_default() += 1.0;
    }

    /// Ages the counts. Call it twice a second.
    pub fn decay(&mut self) {
        self.decayed_steps = match self.counts.is_empty() {
            // Requests have only begun to come: what they show is of this step alone.
            true => 0.0,
            false => (self.decayed_steps + 1.0) * DECAY_FACTOR,
        };
        self.counts.retain(|_, count| {
            *count *= DECAY_FACTOR;
            *count >= MIN_COUNT
        });
    }

    /// The load in pieces of about the same load, in the order of their keys.
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
