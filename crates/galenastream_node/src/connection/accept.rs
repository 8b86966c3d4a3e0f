//! Accepts connections and serves HTTP on them.

use std::{convert::Infallible, future::Future, time::Duration};

use bytes::Bytes;
use galenastream_runtime::tune_socket;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// How long to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a connection may stay without a request. Callers reuse theirs for less.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// How long to wait for the peer to close its side too: a few round trips to callers.
const CLOSE_LIMIT: Duration = Duration::from_millis(1_000);

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
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_LIMIT)
        .serve_connection(TokioIo::new(stream), service);
    match connection.without_shutdown().await {
        Ok(parts) => close_gently(parts.io.into_inner()).await,
        Err(error) => log::debug!(event = "connection_ended", reason:% = error; ""),
    }
}

/// Closes a connection without a reset. Requests that the peer sent behind the last response are
/// read and dropped: closing with unread bytes would destroy the response on its way.
pub(super) async fn close_gently(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut dropped = [0; 4_096];
    let drain = async { while matches!(stream.read(&mut dropped).await, Ok(1..)) {} };
    if timeout(CLOSE_LIMIT, drain).await.is_err() {
        log::debug!(event = "connection_not_closed_by_peer"; "");
    }
}
