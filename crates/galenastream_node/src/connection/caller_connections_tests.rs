//! Tests of what the connections of callers keep between requests.

use bytes::Bytes;
use galenastream_adapter::CallerLimits;
use galenastream_runtime::MemoryBudget;
use http::Response;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::codec::Framed;

use super::{
    caller_connections::send_response,
    request_codec::{BUFFER_BYTES, Incoming, RequestCodec},
    request_codec_tests::room,
};

/// Longer than what a connection keeps, and shorter than what is written in parts.
const LONG_BYTES: usize = 30 * 1024;

const WORKS: &str = "the connection works";

/// Both ends of a connection.
async fn connect()
-> (TcpStream, Framed<TcpStream, RequestCodec<impl Fn() -> Option<CallerLimits> + Unpin>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect(WORKS);
    let address = listener.local_addr().expect(WORKS);
    let (near, far) = tokio::join!(TcpStream::connect(address), listener.accept());
    let limits = CallerLimits {
        max_header_bytes: 2 * LONG_BYTES,
        max_body_bytes: 2 * LONG_BYTES,
        header_timeout_ms: 1,
        idle_timeout_ms: 1,
    };
    let codec = RequestCodec::new(move || Some(limits), room(MemoryBudget::new(usize::MAX)));
    let framed = Framed::with_capacity(far.expect(WORKS).0, codec, BUFFER_BYTES);
    (near.expect(WORKS), framed)
}

/// Guards against idle connections that keep the memory of their longest responses.
#[tokio::test]
async fn a_connection_does_not_keep_the_buffer_of_a_long_response() {
    let (mut caller, mut framed) = connect().await;
    for body_bytes in [10, LONG_BYTES, 3 * LONG_BYTES, 10] {
        let response = Response::new(Bytes::from(vec![b'x'; body_bytes]));
        let read = async {
            let mut answer = vec![0; body_bytes];
            caller.read_exact(&mut answer).await.expect(WORKS);
        };
        let state = Default::default();
        let (sent, ()) = tokio::join!(send_response(&mut framed, response, false, &state), read);
        sent.expect(WORKS);
        let buffer = framed.write_buffer_mut();
        assert!(!buffer.try_reclaim(2 * BUFFER_BYTES), "after a body of {body_bytes} bytes");
        // What is left of the head.
        let mut rest = vec![0; LONG_BYTES];
        let _ = caller.try_read(&mut rest);
    }
}

/// Guards against idle connections that keep the memory of their longest requests.
#[tokio::test]
async fn a_connection_does_not_keep_the_buffer_of_a_long_request() {
    let long = "b".repeat(LONG_BYTES);
    let requests = [
        format!("POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n{long}", long.len()),
        format!("GET /a HTTP/1.1\r\nx: {long}\r\n\r\n"),
        format!(
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{long}\r\n0\r\n\r\n",
            long.len()
        ),
    ];
    for request in requests {
        let (mut caller, mut framed) = connect().await;
        let (sent, read) = tokio::join!(
            caller.write_all(request.as_bytes()),
            futures::StreamExt::next(&mut framed)
        );
        sent.expect(WORKS);
        let read = read.expect(WORKS).expect(WORKS);
        assert!(matches!(read, Incoming::Request(..)), "{read:?}");
        drop(read);
        // The connection waits for the next request.
        let next = futures::StreamExt::next(&mut framed);
        assert!(futures::FutureExt::now_or_never(next).is_none());
        let buffer = framed.read_buffer_mut();
        assert!(buffer.is_empty() && !buffer.try_reclaim(2 * BUFFER_BYTES), "{}", &request[..40]);
    }
}
