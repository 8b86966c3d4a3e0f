//! HTTP responses to callers.

use bytes::Bytes;
use galenastream_adapter::header_names;
use galenastream_runtime::append_headers;
use galenastream_wire::ForwardedReply;
use http::{HeaderValue, Response, StatusCode, header};

use super::refusal::Refusal;

/// Builds the response to a caller from the reply of a target. An invalid status becomes 502.
pub(super) fn target_response(reply: ForwardedReply) -> Response<Bytes> {
    let status = u16::try_from(reply.status).ok().and_then(|it| StatusCode::from_u16(it).ok());
    let mut response = Response::new(reply.body);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    append_headers(response.headers_mut(), &reply.headers);
    response
}

/// Builds the node's own response to a caller, with the reason as a JSON body.
pub(super) fn refusal_response(refusal: Refusal, request_id: &str) -> Response<Bytes> {
    let text = format!("{{\"reason\":\"{}\",\"message\":\"{refusal}\"}}", refusal.as_str());
    let mut response = Response::new(Bytes::from(text));
    *response.status_mut() =
        StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert(header_names::REQUEST_ID, id);
    }
    if let Some(retry_after_ms) = refusal.retry_after_ms() {
        let seconds = f64::from(retry_after_ms) / 1_000.0;
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
