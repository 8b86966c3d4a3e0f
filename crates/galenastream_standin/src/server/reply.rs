//! Reading request bodies and building replies.

use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{StatusCode, header};
use http_body_util::{BodyExt, Limited};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::sleep;
use volo_http::{body::Body, request::Request, response::Response};

/// The time between the first half of a partial reply and the end of its connection.
const PARTIAL_REPLY_DELAY: Duration = Duration::from_millis(20);

/// The longest body that a stand-in reads.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Reads a whole body. Returns `None` if it is incomplete or longer than [`MAX_BODY_BYTES`].
pub(crate) async fn read_body(request: Request) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}

/// Parses a body as JSON. An empty body counts as an empty object.
pub(crate) async fn read_json<T: DeserializeOwned>(request: Request) -> Result<T, String> {
    let body = read_body(request).await.ok_or("the body was cut off")?;
    let text: &[u8] = if body.is_empty() { b"{}" } else { &body };
    serde_json::from_slice(text).map_err(|it| it.to_string())
}

/// Returns a reply with a body.
pub(crate) fn reply(status: StatusCode, content_type: &'static str, body: Bytes) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns a reply with a JSON body.
pub(crate) fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => reply(status, "application/json", Bytes::from(body)),
        Err(error) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Returns a reply with a text body.
pub(crate) fn text_reply(status: StatusCode, text: impl Into<Bytes>) -> Response {
    reply(status, "text/plain", text.into())
}

/// Returns a truncated reply with the headers of `response`: its body has half of the announced
/// length and consists of spaces, and then the connection closes.
pub(crate) fn partial_reply(response: Response) -> Response {
    let (mut parts, body) = response.into_parts();
    let length_bytes = http_body::Body::size_hint(&body).lower();
    parts.headers.insert(header::CONTENT_LENGTH, http::HeaderValue::from(length_bytes));
    let half = vec![b' '; usize::try_from(length_bytes / 2).unwrap_or(0)];
    let first = stream::iter([Ok(http_body::Frame::data(Bytes::from(half)))]);
    let failure = stream::once(async {
        // Without a delay, the server closes the connection before it sends the first half.
        sleep(PARTIAL_REPLY_DELAY).await;
        Err(Box::<dyn std::error::Error + Send + Sync>::from("the reply ends here on purpose"))
    });
    Response::from_parts(parts, Body::from_stream(first.chain(failure)))
}
