//! A fake network that loses, doubles, delays and cuts.

use rand::{RngExt, rngs::StdRng};

/// Who cannot reach whom until when.
#[derive(Debug, Clone, Copy)]
struct Cut {
    from: u64,
    to: u64,
    until_ns: u64,
}

#[derive(Debug, Default)]
pub struct Network {
    cuts: Vec<Cut>,
    bad_until_ns: u64,
    loss_percent: u32,
    delay_ms: u64,
}

/// One way, without faults.
const DELAY_NS: std::ops::Range<u64> = 500_000..1_500_000;

impl Network {
    /// Cuts the senders in the bit set `from` off from the receivers in `to`.
    pub fn cut(&mut self, from: u64, to: u64, until_ns: u64) {
        self.cuts.push(Cut { from, to, until_ns });
    }

    pub fn degrade(&mut self, loss_percent: u32, delay_ms: u64, until_ns: u64) {
        self.loss_percent = loss_percent;
        self.delay_ms = delay_ms;
        self.bad_until_ns = until_ns;
    }

    /// The delays of the copies that arrive of a message that is sent now.
    pub fn deliveries(&self, now_ns: u64, from: usize, to: usize, rng: &mut StdRng) -> Vec<u64> {
        let is_cut =
            |it: &Cut| now_ns < it.until_ns && it.from & (1 << from) != 0 && it.to & (1 << to) != 0;
        if self.cuts.iter().any(is_cut) {
            return Vec::new();
        }
        let delay_ns = rng.random_range(DELAY_NS);
        if now_ns >= self.bad_until_ns {
            return vec![delay_ns];
        }
        let copies = if rng.random_ratio(1, 5) { 2 } else { 1 };
        let mut delays = Vec::new();
        for _ in 0..copies {
            if rng.random_ratio(self.loss_percent, 100) {
                continue;
            }
            delays.push(delay_ns + rng.random_range(0..=self.delay_ms) * 1_000_000);
        }
        delays
    }
}
