//! A caller's request and its route.

use bytes::Bytes;
use galenastream_adapter::{Route, header_names};
use galenastream_routing::Deadline;
use galenastream_runtime::{boot_now, end_to_end_headers};
use galenastream_utils::BootInstant;
use galenastream_wire::Header;
use http::{HeaderMap, Uri, header, request::Parts};

use super::refusal::Refusal;
use crate::version::{RouteMatch, RoutingTable};

/// A caller's request with the route that matches it.
#[derive(Debug)]
pub(super) struct CallerRequest {
    pub(super) id: String,
    pub(super) host: String,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) headers: Vec<Header>,
    pub(super) body: Bytes,
    pub(super) key: Option<u16>,
    pub(super) route: Route,
    pub(super) arrived_at: BootInstant,
    /// How long the caller waits, if it says so.
    pub(super) wait_ms: Option<u32>,
    /// For how many milliseconds the caller has waited before this attempt.
    pub(super) waited_ms: u32,
    /// The time after which the response loses most of its value.
    pub(super) soft_deadline: Deadline,
    /// The latest time at which the response has to be ready.
    pub(super) deadline: Deadline,
}

impl CallerRequest {
    /// Parses a request and finds its route. The limits are checked where the request is read: a
    /// config that came into force since may have lowered them.
    pub(super) fn parse(
        parts: &Parts,
        body: Bytes,
        routing: &RoutingTable,
    ) -> Result<Self, Refusal> {
        let arrived_at = boot_now();
        let address = RequestAddress::of(parts);
        let RouteMatch::Found(route) = routing.find(address.host, address.path) else {
            return Err(Refusal::NoRoute);
        };
        let key =
            header_text(&parts.headers, header_names::KEY).and_then(|it| it.trim().parse().ok());
        let wait_ms = header_text(&parts.headers, header_names::DEADLINE_MS)
            .and_then(|it| it.trim().parse::<f64>().ok())
            .map(|it| it.max(0.0) as u32);
        let to_ms = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        let deadline = Deadline::of_answer(arrived_at, wait_ms.unwrap_or(u32::MAX))
            .min(Deadline::new(arrived_at, to_ms(route.timeout_ms)));
        let soft_deadline = Deadline::of_answer(arrived_at, to_ms(route.target_latency_ms));
        let route = route.clone();
        Ok(Self {
            id: address.request_id.to_owned(),
            host: address.host.to_owned(),
            method: parts.method.as_str().to_owned(),
            path: parts.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned(),
            headers: forwarded_headers(&parts.headers),
            body,
            key,
            route,
            arrived_at,
            wait_ms,
            waited_ms: 0,
            soft_deadline,
            deadline,
        })
    }

    /// The target latency of the route in milliseconds.
    pub(super) fn target_latency_ms(&self) -> u32 {
        u32::try_from(self.route.target_latency_ms).unwrap_or(u32::MAX)
    }

    /// What identifies the request in responses and log lines.
    pub(super) fn address(&self) -> RequestAddress<'_> {
        RequestAddress { request_id: &self.id, host: &self.host, path: &self.path }
    }
}

/// What identifies a request in responses and log lines; empty where the request does not say it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RequestAddress<'a> {
    pub(super) request_id: &'a str,
    pub(super) host: &'a str,
    pub(super) path: &'a str,
}

impl<'a> RequestAddress<'a> {
    pub(super) fn of(parts: &'a Parts) -> Self {
        Self::of_head(&parts.headers, &parts.uri)
    }

    pub(super) fn of_head(headers: &'a HeaderMap, uri: &'a Uri) -> Self {
        // RFC 9112, section 3.2.2: the host of the target takes precedence.
        let of_target = uri.authority().and_then(|it| it.as_str().rsplit('@').next());
        let host = of_target.or_else(|| header_text(headers, header::HOST.as_str()));
        Self {
            request_id: header_text(headers, header_names::REQUEST_ID).unwrap_or_default(),
            host: host.unwrap_or_default(),
            path: uri.path(),
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The headers to forward: the end-to-end ones without those that galenastream sets itself.
fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let mut kept = end_to_end_headers(headers);
    kept.retain(|it| {
        !matches!(
            it.name.as_str(),
            header_names::DEADLINE_MS
                | header_names::EXPECTED_TARGET
                | header_names::CALLER_SERVICE
        )
    });
    kept
}
