//! Work that may outlast the hold on its slice.

use crate::{BootInstant, KeyHash};

/// Ranges in which work may still go on although the slice that it began under is gone.
///
/// A slice that was split or merged leaves the set without being stopped. Until its lease would
/// have ended, none of its positions may be handed over.
#[derive(Debug, Default)]
pub(crate) struct Tails {
    tails: Vec<Tail>,
}

#[derive(Debug, Clone, Copy)]
struct Tail {
    first: KeyHash,
    last: KeyHash,
    until: BootInstant,
}

impl Tails {
    pub(crate) fn add(&mut self, first: KeyHash, last: KeyHash, until: BootInstant) {
        self.tails.push(Tail { first, last, until });
    }

    /// Forgets what is over.
    pub(crate) fn expire(&mut self, now: BootInstant) {
        self.tails.retain(|it| now < it.until);
    }

    /// When the next one is over.
    pub(crate) fn next_end(&self) -> Option<BootInstant> {
        self.tails.iter().map(|it| it.until).min()
    }

    /// Whether work may go on in a range.
    pub(crate) fn overlap(&self, first: KeyHash, last: KeyHash) -> bool {
        self.tails.iter().any(|it| it.first <= last && first <= it.last)
    }
}
