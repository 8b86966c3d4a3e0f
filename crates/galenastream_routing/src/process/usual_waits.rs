//! How long callers of a class have waited before the attempt at hand.

use galenastream_utils::FastMap;

/// The number of requests after which the usual waits are determined anew.
const REQUESTS_PER_SAMPLE: u32 = 64;

/// A wait is usual if at least the number of requests of a sample, divided by this, state it.
const USUAL_SHARE_DIVISOR: u32 = 8;

/// The waits that the callers of one class state at their first attempts.
///
/// Load pattern: a target is overloaded, and refused callers come back. They state what is left of
/// their time, and their target latency counts from their first attempt. If the target latency
/// counted anew, every other slot would serve a request that is late already, in place of one that
/// can be answered in time.
///
/// First attempts state the same few waits, and what is left at later attempts differs from request
/// to request. So a wait that is stated often is that of a first attempt, and a caller that states
/// another one has used up the difference to the next longer usual wait. Callers whose waits are
/// all different are taken to be at their first attempt.
#[derive(Debug, Clone, Default)]
pub struct UsualWaits {
    usual_ms: Vec<u32>,
    sample: FastMap<u32, u32>,
    sample_size: u32,
}

impl UsualWaits {
    /// Adds the wait that a request states, and returns for how many milliseconds its caller has
    /// waited before.
    pub fn add(&mut self, wait_ms: u32) -> u32 {
        *self.sample.entry(wait_ms).or_default() += 1;
        self.sample_size += 1;
        if self.sample_size == REQUESTS_PER_SAMPLE {
            let min_count = REQUESTS_PER_SAMPLE / USUAL_SHARE_DIVISOR;
            let sample = self.sample.drain().filter(|(_, count)| *count >= min_count);
            self.usual_ms = sample.map(|(wait_ms, _)| wait_ms).collect();
            self.sample_size = 0;
        }
        let longer = self.usual_ms.iter().filter(|it| **it >= wait_ms);
        longer.min().map_or(0, |usual_ms| usual_ms - wait_ms)
    }
}
