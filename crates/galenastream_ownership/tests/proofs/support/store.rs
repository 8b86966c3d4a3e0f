//! The way to the table service and back, with its faults.

use rand::{RngExt, rngs::StdRng};

/// What becomes of one request.
#[derive(Debug, Clone, Copy)]
pub struct Fate {
    /// When the request takes effect, if it ever does.
    pub effect_ns: Option<u64>,
    pub answer: Answer,
}

/// What the asker hears.
#[derive(Debug, Clone, Copy)]
pub enum Answer {
    /// The result.
    Result { at_ns: u64 },
    /// That nobody knows.
    Unknown { at_ns: u64 },
    /// That the request was never sent.
    NotSent { at_ns: u64 },
}

#[derive(Debug)]
pub struct StorePath {
    pub timeout_ns: u64,
    pub outage_until_ns: u64,
    /// The node that cannot reach the store, and until when.
    pub cut: (usize, u64),
    pub answers_lost_until_ns: u64,
    pub late_until_ns: u64,
    pub late_delay_ms: u64,
    pub slow_until_ns: u64,
    pub slow_delay_ms: u64,
}

/// One way, without faults.
const DELAY_NS: std::ops::Range<u64> = 2_000_000..3_000_000;

impl StorePath {
    pub fn new(timeout_ms: u32) -> Self {
        Self {
            timeout_ns: u64::from(timeout_ms) * 1_000_000,
            outage_until_ns: 0,
            cut: (0, 0),
            answers_lost_until_ns: 0,
            late_until_ns: 0,
            late_delay_ms: 0,
            slow_until_ns: 0,
            slow_delay_ms: 0,
        }
    }

    /// What becomes of a request that is sent now.
    pub fn fate(&self, now_ns: u64, index: usize, rng: &mut StdRng) -> Fate {
        let mut delay_ns = rng.random_range(DELAY_NS);
        let mut answer_delay_ns = rng.random_range(DELAY_NS);
        let unknown = Answer::Unknown { at_ns: now_ns + self.timeout_ns };
        if self.cut.0 == index && now_ns < self.cut.1 {
            return Fate { effect_ns: None, answer: unknown };
        }
        if now_ns < self.outage_until_ns {
            return self.fate_in_outage(now_ns, unknown, rng);
        }
        if now_ns < self.late_until_ns && rng.random_ratio(2, 3) {
            let effect_ns = now_ns + rng.random_range(0..=self.late_delay_ms) * 1_000_000;
            return Fate { effect_ns: Some(effect_ns), answer: unknown };
        }
        if now_ns < self.slow_until_ns {
            delay_ns += rng.random_range(0..=self.slow_delay_ms / 2) * 1_000_000;
            answer_delay_ns += rng.random_range(0..=self.slow_delay_ms) * 1_000_000;
        }
        let effect_ns = now_ns + delay_ns;
        let at_ns = effect_ns + answer_delay_ns;
        let lost = now_ns < self.answers_lost_until_ns && rng.random_ratio(2, 3);
        let in_time = at_ns < now_ns + self.timeout_ns;
        let answer = if in_time && !lost { Answer::Result { at_ns } } else { unknown };
        Fate { effect_ns: Some(effect_ns), answer }
    }

    fn fate_in_outage(&self, now_ns: u64, unknown: Answer, rng: &mut StdRng) -> Fate {
        if rng.random_ratio(1, 2) {
            return Fate { effect_ns: None, answer: Answer::NotSent { at_ns: now_ns + 1_000_000 } };
        }
        let survives = rng.random_ratio(1, 5);
        let late_ns = rng.random_range(0..200_000_000);
        Fate { effect_ns: survives.then_some(self.outage_until_ns + late_ns), answer: unknown }
    }
}
