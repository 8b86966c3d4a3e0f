//! The memory for requests and answers in progress.

use std::sync::Arc;

use galenastream_adapter::ProcessLimits;
use galenastream_runtime::{KeptRoom, MemoryBudget};

/// A part of the memory limit of the process, in percent of it.
struct Share {
    total: u64,
    /// What longer bodies leave to short ones, and the part of it for small ones.
    short: u64,
    small: u64,
}

/// All that is in progress. Long bodies may take twice what long answers may, and some requests beside.
const SHARED: Share = Share { total: 48, short: 4, small: 2 };

/// Requests, so that there is always room for some answers.
const REQUESTS: Share = Share { total: 42, short: 8, small: 2 };

/// Answers. They may take twice as much while they are joined.
const ANSWERS: Share = Share { total: 26, short: 6, small: 2 };

/// Requests that other nodes pass on. They may take twice as much while they are joined. The rest of the
/// requests are those of callers.
const FORWARDED: Share = Share { total: 18, short: 3, small: 1 };

/// How much room there has to be for answers when a request begins, in percent: others are in progress.
const ANSWERS_MARGIN: u64 = 2;

/// Frames of other nodes that have not arrived whole.
const FRAMES_PERCENT: u64 = 6;

/// What a request takes from its arrival until its response is written, without its headers and its body.
const REQUEST_BYTES: usize = 12 * 1024;

/// What each header of a request takes beside its text, which is there twice.
const HEADER_BYTES: usize = 160;

/// How many bytes of memory a byte may take that arrives from a target or from another node.
const JOINED_WEIGHT: usize = 2;

/// The memory for requests and answers in progress. The budgets are parts of one, so that they cannot fill the
/// memory together.
pub struct MemoryBudgets {
    /// For requests of callers.
    pub callers: Arc<MemoryBudget>,
    /// For answers of the target and of other nodes.
    pub answers: Arc<MemoryBudget>,
    /// For requests that other nodes pass on.
    pub forwarded: Arc<MemoryBudget>,
    /// For frames of other nodes that have not arrived whole.
    pub frames: Arc<MemoryBudget>,
    answers_margin_bytes: usize,
}

impl MemoryBudgets {
    /// Creates the unused budgets of a process with these limits.
    pub fn new(limits: ProcessLimits) -> Self {
        let shared = MemoryBudget::with_kept(SHARED.total_bytes(limits), SHARED.kept(limits));
        let part = |whole, share: Share, weight| {
            MemoryBudget::within(whole, weight, share.total_bytes(limits), share.kept(limits))
        };
        let requests = part(&shared, REQUESTS, 1);
        Self {
            answers: part(&shared, ANSWERS, JOINED_WEIGHT),
            forwarded: part(&requests, FORWARDED, JOINED_WEIGHT),
            callers: requests,
            frames: MemoryBudget::new(bytes_of(limits, FRAMES_PERCENT)),
            answers_margin_bytes: bytes_of(limits, ANSWERS_MARGIN),
        }
    }

    /// How many bytes of answers have to be read before another request may begin; 0 if it may now.
    pub fn missing_for_answers(&self) -> usize {
        self.answers.missing_for(self.answers_margin_bytes)
    }
}

impl Share {
    fn total_bytes(&self, limits: ProcessLimits) -> usize {
        bytes_of(limits, self.total)
    }

    fn kept(&self, limits: ProcessLimits) -> KeptRoom {
        KeptRoom {
            short_bytes: bytes_of(limits, self.short),
            small_bytes: bytes_of(limits, self.small),
        }
    }
}

/// How much memory a request in progress takes, but for its body.
pub const fn request_bytes(head_bytes: usize, header_count: usize) -> usize {
    REQUEST_BYTES + 2 * head_bytes + HEADER_BYTES * header_count
}

/// A share of the memory limit of the process.
fn bytes_of(limits: ProcessLimits, percent: u64) -> usize {
    let bytes = limits.memory_mb.saturating_mul(1_024 * 1_024) * percent / 100;
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
