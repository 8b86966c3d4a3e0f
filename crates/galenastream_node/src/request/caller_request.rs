//! A caller's request and its route.

use bytes::Bytes;
use galenastream_adapter::{Route, header_names};
use galenastream_routing::Deadline;
use galenastream_runtime::{boot_now, end_to_end_headers};
use galenastream_utils::BootInstant;
use galenastream_wire::Header;
use http::{HeaderMap, Request, header, request::Parts};

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
    /// The latest time at which the response has to be ready.
    pub(super) deadline: Deadline,
}

impl CallerRequest {
    /// Parses a request and finds its route. An error carries the refusal and the request's id.
    pub(super) fn parse(
        request: Request<Bytes>,
        routing: &RoutingTable,
    ) -> Result<Self, (Refusal, String)> {
        let arrived_at = boot_now();
        let (parts, body) = request.into_parts();
        let id =
            header_text(&parts.headers, header_names::REQUEST_ID).unwrap_or_default().to_owned();
        let host = host_of(&parts);
        let RouteMatch::Found(route) = routing.find(&host, parts.uri.path()) else {
            return Err((Refusal::NoRoute, id));
        };
        let key =
            header_text(&parts.headers, header_names::KEY).and_then(|it| it.trim().parse().ok());
        let requested_ms = header_text(&parts.headers, header_names::DEADLINE_MS)
            .and_then(|it| it.trim().parse::<f64>().ok())
            .map_or(u64::MAX, |it| it.max(0.0) as u64);
        let to_ms = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        let deadline = Deadline::of_answer(arrived_at, to_ms(requested_ms))
            .min(Deadline::new(arrived_at, to_ms(route.timeout_ms)));
        let route = route.clone();
        if body.len() > routing.limits.max_body_bytes {
            return Err((Refusal::TooLong, id));
        }
        Ok(Self {
            id,
            host,
            method: parts.method.as_str().to_owned(),
            path: parts.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned(),
            headers: forwarded_headers(&parts.headers),
            body,
            key,
            route,
            arrived_at,
            deadline,
        })
    }
}

fn host_of(parts: &Parts) -> String {
    let value = header_text(&parts.headers, header::HOST.as_str());
    value.or_else(|| parts.uri.host()).unwrap_or_default().to_owned()
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
