//! Fingerprints of requests at the node beside their target.

use galenastream_adapter::header_names;
use galenastream_routing::{RequestContent, RequestFingerprint};
use galenastream_wire::ForwardedRequest;

/// The fingerprint of a request that a node forwards.
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
