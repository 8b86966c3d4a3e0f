//! Fingerprints of requests, at their entry and at the node beside their target.

use galenastream_adapter::header_names;
use galenastream_routing::{RequestContent, RequestFingerprint};
use galenastream_wire::ForwardedRequest;

use super::caller_request::CallerRequest;

/// The fingerprint of a caller's request. `caller_service` is the service on the VM of the entry.
pub(super) fn fingerprint_at_entry(
    request: &CallerRequest,
    caller_service: &str,
) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        method: &request.method,
        host: &request.host,
        path: &request.path,
        caller_service: caller_service.as_bytes(),
        body: &request.body,
    })
}

/// The fingerprint of a request that a node forwards: the same as at its entry.
pub(super) fn fingerprint_of_forwarded(request: &ForwardedRequest) -> RequestFingerprint {
    let caller_service = request.headers.iter().find(|it| it.name == header_names::CALLER_SERVICE);
    RequestFingerprint::of(&RequestContent {
        method: &request.method,
        host: &request.host,
        path: &request.path,
        caller_service: caller_service.map_or(&[], |it| &it.value),
        body: &request.body,
    })
}
