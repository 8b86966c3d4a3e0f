//! The sizes of long answers.

use std::sync::atomic::{AtomicUsize, Ordering};

/// The weight of a further answer in the mean size is one in this many.
const MEMORY: usize = 8;

/// The size that is assumed until the first answer has come.
const FIRST_BYTES: usize = 1024 * 1024;

/// The mean size of the long answers so far.
#[derive(Debug, Default)]
pub struct AnswerSizes {
    /// 0 before the first answer.
    mean_bytes: AtomicUsize,
}

impl AnswerSizes {
    /// How long the next answer is expected to be.
    pub fn expected_bytes(&self) -> usize {
        match self.mean_bytes.load(Ordering::Relaxed) {
            0 => FIRST_BYTES,
            mean => mean,
        }
    }

    /// Adds an answer to the mean.
    pub fn add(&self, bytes: usize) {
        let mean = match self.mean_bytes.load(Ordering::Relaxed) {
            0 => bytes,
            mean => mean - mean / MEMORY + bytes / MEMORY,
        };
        self.mean_bytes.store(mean, Ordering::Relaxed);
    }
}
