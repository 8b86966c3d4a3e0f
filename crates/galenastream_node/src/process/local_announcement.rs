//! What the local target announces in its responses.

use std::time::Duration;

use galenastream_adapter::{FormatError, decode_leaving, decode_request_limit};
use galenastream_ranges::TargetIncarnation;
use galenastream_routing::{AnnouncedLimit, RequestRate};
use galenastream_utils::BootInstant;
use galenastream_wire::TargetAnnouncement;
use http::HeaderMap;
use metrics::gauge;

use super::TargetLimit;
use super::remembered_announcements::{earliest, elapsed_ms};

/// What the current incarnation of the local target announces in its responses.
#[derive(Debug, Default)]
pub struct LocalAnnouncement {
    incarnation: Option<TargetIncarnation>,
    limit: AnnouncedLimit,
    leaving_since: Option<BootInstant>,
    has_logged_malformed: bool,
}

impl LocalAnnouncement {
    /// Discards what an earlier incarnation has announced.
    pub fn set_incarnation(&mut self, incarnation: &TargetIncarnation) {
        if self.incarnation.as_ref() == Some(incarnation) {
            return;
        }
        *self = Self { incarnation: Some(incarnation.clone()), ..Self::default() };
        set_limit_gauge(None);
    }

    /// The limit in force.
    pub fn limit(&self) -> Option<TargetLimit> {
        let rate = self.limit.current()?;
        let last_exchange_at = self.limit.last_exchange_at();
        Some(TargetLimit { target: self.incarnation.clone()?, rate, last_exchange_at })
    }

    /// Records that a request is sent to the incarnation.
    pub const fn record_request(&mut self, now: BootInstant) {
        self.limit.record_request(now);
    }

    /// When the incarnation announced that it leaves, if it has.
    pub fn leaving(&self) -> Option<(TargetIncarnation, BootInstant)> {
        let since = self.leaving_since?;
        Some((self.incarnation.clone()?, since))
    }

    /// The announcement for the node that sent a request. `draining_since` is what the target said
    /// by other means than its responses.
    pub fn to_message(
        &self,
        draining_since: Option<BootInstant>,
        now: BootInstant,
    ) -> TargetAnnouncement {
        let leaving_since = earliest(self.leaving_since, draining_since);
        TargetAnnouncement {
            limit_milli_per_s: self.limit.current().map(RequestRate::milli_per_s),
            leaving_for_ms: leaving_since.map(|it| elapsed_ms(it, now)),
        }
    }

    /// Whether the announcements are those of the incarnation with this id and start time.
    pub fn is_of(&self, target_id: &str, born_ms: u64) -> bool {
        let incarnation = self.incarnation.as_ref();
        incarnation.is_some_and(|it| *it.id == *target_id && it.born_ms == born_ms)
    }

    /// Records what the response to a request announces. Values that cannot be decoded count as not
    /// announced, and are logged once for each incarnation.
    pub fn record_response(
        &mut self,
        headers: &HeaderMap,
        request_id: &str,
        sent_at: BootInstant,
        now: BootInstant,
    ) {
        let limit_milli_per_s = decode_request_limit(headers)
            .unwrap_or_else(|error| self.log_malformed(request_id, &error));
        let is_leaving =
            decode_leaving(headers).unwrap_or_else(|error| self.log_malformed(request_id, &error));
        let before = self.limit.current();
        let announced = limit_milli_per_s.map(RequestRate::new);
        if self.limit.record_response(announced, sent_at, now) {
            self.log_limit(before, request_id);
        }
        if is_leaving {
            self.record_leave(request_id, now);
        }
    }

    /// Records what another node remembers of the incarnation's announcements. This process may
    /// have started after them.
    pub fn record_report(
        &mut self,
        remembered: TargetAnnouncement,
        request_id: &str,
        now: BootInstant,
    ) {
        let before = self.limit.current();
        let limit = remembered.limit_milli_per_s.map(RequestRate::new);
        if limit.is_some_and(|it| self.limit.record_report(it, now)) {
            self.log_limit(before, request_id);
        }
        if let Some(leaving_for_ms) = remembered.leaving_for_ms {
            let since = now.saturating_sub(Duration::from_millis(leaving_for_ms));
            self.record_leave(request_id, since);
        }
    }

    /// The first announcement of a leave is the one from which the drain period counts.
    fn record_leave(&mut self, request_id: &str, since: BootInstant) {
        if self.leaving_since.is_none() {
            log::info!(event = "target_announces_leave", target_id = self.target_id(), request_id; "");
            self.leaving_since = Some(since);
        }
    }

    fn log_limit(&self, before: Option<RequestRate>, request_id: &str) {
        let limit = self.limit.current();
        set_limit_gauge(limit);
        let event = match (before, limit) {
            (None, _) => "target_limit_announced",
            (Some(_), Some(_)) => "target_limit_changed",
            (Some(_), None) => "target_limit_ended",
        };
        let limit_milli_per_s = limit.map(RequestRate::milli_per_s);
        log::info!(event, target_id = self.target_id(), limit_milli_per_s, request_id; "");
    }

    fn log_malformed<T: Default>(&mut self, request_id: &str, error: &FormatError) -> T {
        if !self.has_logged_malformed {
            self.has_logged_malformed = true;
            log::warn!(event = "announcement_malformed", target_id = self.target_id(), request_id, reason:% = error; "");
        }
        T::default()
    }

    fn target_id(&self) -> &str {
        self.incarnation.as_ref().map_or("", |it| &it.id)
    }
}

/// Publishes the limit in requests per second; -1 stands for none.
fn set_limit_gauge(limit: Option<RequestRate>) {
    gauge!("galenastream_target_limit_per_s").set(limit.map_or(-1.0, RequestRate::per_s));
}
