//! The beats whose replies are awaited.

use std::collections::VecDeque;

use crate::{BootInstant, HoldingVersion, Sequence, Term};

/// How many beats are remembered; replies to older ones are worthless.
const REMEMBERED_BEATS: usize = 32;

/// A beat that was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentBeat {
    pub(crate) sequence: Sequence,
    pub(crate) sent_at: BootInstant,
    pub(crate) holding: Option<(Term, HoldingVersion)>,
}

/// The beats whose replies are awaited. Each reply is used once, and only in the order of beats.
#[derive(Debug, Default)]
pub(crate) struct BeatLog {
    sent: VecDeque<SentBeat>,
    last_answered: Sequence,
}

impl BeatLog {
    pub(crate) fn record(&mut self, beat: SentBeat) {
        if self.sent.len() == REMEMBERED_BEATS {
            self.sent.pop_front();
        }
        self.sent.push_back(beat);
    }

    /// The beat with this sequence, if no reply to it or a later one was used.
    pub(crate) fn awaited(&self, sequence: Sequence) -> Option<SentBeat> {
        self.sent.iter().copied().find(|it| it.sequence == sequence)
    }

    /// Uses the reply to a beat: it and earlier beats await no reply any more.
    pub(crate) fn answer(&mut self, sequence: Sequence) {
        self.last_answered = self.last_answered.max(sequence);
        self.sent.retain(|it| it.sequence > sequence);
    }

    pub(crate) fn last_answered(&self) -> Sequence {
        self.last_answered
    }
}
