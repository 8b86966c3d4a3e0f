//! Bodies of requests and replies.

use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{StatusCode, header};
use http_body_util::{BodyExt, Limited};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::sleep;
use volo_http::{body::Body, request::Request, response::Response};

/// Time between the first half of an answer and the break of its connection.
const BREAK_PAUSE: Duration = Duration::from_millis(20);

/// The longest body that a stand-in reads.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Reads a whole body; `None` if it is cut off or too long.
pub(crate) async fn read_body(request: Request) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}

/// Reads a body as JSON; an empty one as an empty object.
pub(crate) async fn read_json<T: DeserializeOwned>(request: Request) -> Result<T, String> {
    let body = read_body(request).await.ok_or("the body was cut off")?;
    let text: &[u8] = if body.is_empty() { b"{}" } else { &body };
    serde_json::from_slice(text).map_err(|it| it.to_string())
}

/// A reply with a body.
pub(crate) fn reply(status: StatusCode, content_type: &'static str, body: Bytes) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// A reply with a JSON body.
pub(crate) fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => reply(status, "application/json", Bytes::from(body)),
        Err(error) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// A reply with a text body.
pub(crate) fn text_reply(status: StatusCode, text: impl Into<Bytes>) -> Response {
    reply(status, "text/plain", text.into())
}

/// A reply that breaks off after the first half of the body that its length announces.
pub(crate) fn partial_reply(response: Response) -> Response {
    let (mut parts, body) = response.into_parts();
    let length_bytes = http_body::Body::size_hint(&body).lower();
    parts.headers.insert(header::CONTENT_LENGTH, http::HeaderValue::from(length_bytes));
    let half = vec![b' '; usize::try_from(length_bytes / 2).unwrap_or(0)];
    let first = stream::iter([Ok(http_body::Frame::data(Bytes::from(half)))]);
    let breaking = stream::once(async {
        // Without a pause the server breaks the connection before it sends the first half.
        sleep(BREAK_PAUSE).await;
        Err(Box::<dyn std::error::Error + Send + Sync>::from("the connection breaks here"))
    });
    Response::from_parts(parts, Body::from_stream(first.chain(breaking)))
}
