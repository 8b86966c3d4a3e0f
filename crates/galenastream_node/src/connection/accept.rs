//! Accepting, serving and closing connections.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use galenastream_runtime::{ConnectionSlot, ConnectionSlots, tune_socket};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Delay before the next attempt after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout for the headers of the next request on a connection. Clients reuse idle connections for
/// less time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The most that is read at once of a request, and the longest head. Heads of such clients are short.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Timeout for the peer to close its side too, or to send more, after short responses.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum time for which a peer may go on reading or sending on a connection that is being closed;
/// longer than callers wait for a response.
pub(super) const MAX_CLOSE_TIME: Duration = Duration::from_secs(30);

/// Accepts connections until the process ends, and passes each to `serve` once there is room for it.
pub(super) async fn accept_all(
    listener: TcpListener,
    slots: &Arc<ConnectionSlots>,
    mut serve: impl FnMut(TcpStream, ConnectionSlot),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tune_socket(&stream);
                serve(stream, slots.admit().await);
            }
            Err(error) => {
                log::warn!(event = "accept_failed", reason:% = error; "");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves HTTP on a connection until it ends, or has to make room for others. If the peer closes it, the
/// future of the request in progress is dropped.
pub(super) async fn serve_http<S, F>(stream: TcpStream, slot: &ConnectionSlot, answer: S)
where
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Full<Bytes>>>,
{
    let state = slot.state();
    let service = service_fn(|request| {
        // The body may still arrive.
        state.record_part(MAX_BUFFER_BYTES);
        let response = answer(request);
        async move {
            let response = response.await;
            state.record_message();
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(MAX_BUFFER_BYTES)
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let served = async {
        match connection.without_shutdown().await {
            Ok(parts) => {
                state.record_closing();
                close_gracefully(parts.io.into_inner(), CLOSE_TIMEOUT).await;
            }
            Err(error) => log::debug!(event = "connection_ended", reason:% = error; ""),
        }
    };
    tokio::select! {
        biased;
        () = slot.evicted() => {}
        () = served => {}
    }
}

/// Closes a connection without a reset, which would discard responses that the peer has not read yet.
/// What the peer sends after the last answered request, or to the end of one that was refused before it
/// was read, is read and discarded until the peer closes its side, or neither does so nor sends more for
/// `silence_timeout`. A socket that is dropped earlier resets the connection when more bytes arrive.
pub(super) async fn close_gracefully(mut stream: TcpStream, silence_timeout: Duration) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut discarded = [0; 4_096];
    let discard = async {
        loop {
            match timeout(silence_timeout, stream.read(&mut discarded)).await {
                Ok(Ok(1..)) => {}
                Ok(_) => return true,
                Err(_) => return false,
            }
        }
    };
    if !timeout(MAX_CLOSE_TIME, discard).await.unwrap_or(false) {
        log::debug!(event = "connection_not_closed_by_peer"; "");
    }
}
