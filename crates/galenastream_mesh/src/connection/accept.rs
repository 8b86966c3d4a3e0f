//! Accepts connections and serves HTTP on them.

use std::{convert::Infallible, future::Future, time::Duration};

use bytes::Bytes;
use galenastream_runtime::tune_socket;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, net::TcpStream, time::sleep};

/// How long to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a connection may stay without a request. Callers reuse theirs for less.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// Accepts connections until the process ends.
pub(super) async fn accept_all(listener: TcpListener, mut serve: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tune_socket(&stream);
                serve(stream);
            }
            Err(error) => {
                log::warn!(event = "accept_failed", reason:% = error; "");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves HTTP on a connection. When the peer closes it, the request in progress is dropped.
pub(super) async fn serve_http<S, F>(stream: TcpStream, answer: S)
where
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    let service = service_fn(|request| {
        let response = answer(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_LIMIT)
        .pipeline_flush(true)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(event = "connection_ended", reason:% = error; "");
    }
}
