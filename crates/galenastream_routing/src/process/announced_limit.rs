//! The request limit that a target announces in its responses.
//!
//! Load pattern: a target in need lowers its limit, raises it again and ends it within seconds. Its
//! responses arrive over many connections, so that one with an older announcement may come late.

use galenastream_utils::BootInstant;

use crate::RequestRate;

/// The request limit that one incarnation of a target announces, as far as its responses show.
///
/// A lower limit is in force at once. A higher one or none has to come with the response to a
/// request that was sent after the last response that confirmed the current one: only such a
/// response is certain to be newer.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnnouncedLimit {
    current: Option<RequestRate>,
    confirmed_at: BootInstant,
    last_sent_at: BootInstant,
    has_response: bool,
}

impl AnnouncedLimit {
    /// Returns the limit in force; `None` if the target takes any number of requests.
    pub const fn current(&self) -> Option<RequestRate> {
        self.current
    }

    /// Returns when the target was last sent a request or answered one. Its next response is not far
    /// from then, unless it gets no more requests.
    pub fn last_exchange_at(&self) -> BootInstant {
        self.confirmed_at.max(self.last_sent_at)
    }

    /// Records that a request is sent to the target.
    pub const fn record_request(&mut self, now: BootInstant) {
        self.last_sent_at = now;
    }

    /// Records what the response to a request that was sent at `sent_at` announces. Returns whether
    /// the limit in force has changed.
    pub fn record_response(
        &mut self,
        announced: Option<RequestRate>,
        sent_at: BootInstant,
        now: BootInstant,
    ) -> bool {
        self.has_response = true;
        let is_lower = is_lower(announced, self.current);
        if announced != self.current && !is_lower && sent_at < self.confirmed_at {
            return false;
        }
        self.confirmed_at = now;
        std::mem::replace(&mut self.current, announced) != announced
    }

    /// Records the limit that another node remembers from earlier responses of the same
    /// incarnation. It is ignored once a response has arrived here, since those are newer. Returns
    /// whether the limit in force has changed.
    pub fn record_report(&mut self, reported: RequestRate, now: BootInstant) -> bool {
        if self.has_response || !is_lower(Some(reported), self.current) {
            return false;
        }
        self.confirmed_at = now;
        self.current = Some(reported);
        true
    }
}

/// Whether the first limit allows fewer requests than the second one.
fn is_lower(first: Option<RequestRate>, second: Option<RequestRate>) -> bool {
    match (first, second) {
        (Some(first), Some(second)) => first < second,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
