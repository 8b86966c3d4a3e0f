//! Server for the connections of callers.

use std::{
    collections::VecDeque,
    io,
    pin::pin,
    sync::{Arc, atomic::Ordering},
};

use bytes::{Bytes, BytesMut};
use futures::{
    FutureExt, SinkExt, StreamExt,
    future::{Either, poll_immediate, ready},
    stream::FuturesOrdered,
};
use galenastream_adapter::CallerLimits;
use galenastream_runtime::{
    ArrivalRoom, ConnectionSlot, ConnectionState, MemoryReservation, discard_unsent, limit_queues,
    set_user_timeout,
};
use http::{HeaderValue, Method, Request, Response, Version, header};
use tokio::{
    io::Interest,
    net::{TcpListener, TcpStream},
    time::{Duration, sleep, timeout},
};
use tokio_util::codec::Framed;

use super::{
    accept::{MAX_CLOSE_TIME, accept_all, close_gracefully},
    outgoing::{Outgoing, WRITE_BYTES, has_body},
    request_codec::{BUFFER_BYTES, Incoming, RequestCodec},
    served_connections::ServedConnection,
};
use crate::{
    process::{CountGuard, TrafficState},
    request::{answer_caller, refuse_unread},
};

/// Maximum number of pipelined requests of one connection in progress at once. Callers send a few
/// ahead.
const MAX_PIPELINED: usize = 16;

/// The longest body of a response after which a connection keeps its buffer.
const MAX_KEPT_BYTES: usize = 2 * BUFFER_BYTES;

/// Timeout for the next request on a connection. Callers reuse idle connections for less time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a caller may read nothing of an answer. Callers on slow links pause, and are on the same
/// VM, so that the close of a connection is always seen.
const READ_PAUSE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a caller may take to read an answer, which is held in memory meanwhile; longer than callers
/// wait for one.
const MAX_SEND_TIME: Duration = Duration::from_secs(60);

/// Serves callers until the process ends.
pub async fn serve_callers(traffic: Arc<TrafficState>, listener: TcpListener) {
    limit_queues(&listener);
    accept_all(listener, &traffic.caller_slots, |stream, slot| {
        set_user_timeout(&stream, READ_PAUSE_TIMEOUT);
        let served = traffic.connections.add();
        tokio::spawn(serve_connection(traffic.clone(), stream, served, slot));
    })
    .await;
}

/// Serves one connection until it ends, or has to make room for others.
async fn serve_connection(
    traffic: Arc<TrafficState>,
    stream: TcpStream,
    served: ServedConnection,
    slot: ConnectionSlot,
) {
    let limits_in_force = || traffic.context.routing.load().as_ref().map(|it| it.limits);
    let (budget, slots) = (traffic.memory_budgets.callers.clone(), traffic.caller_slots.clone());
    let room = ArrivalRoom::new(budget, slots, slot.state().clone());
    let codec = RequestCodec::new(limits_in_force, room);
    let mut framed = Framed::with_capacity(stream, codec, BUFFER_BYTES);
    tokio::select! {
        biased;
        () = slot.evicted() => {
            // A caller that waits for its next request may still be reading the last answer.
            if slot.state().has_unread_answer() {
                discard_unsent(framed.get_ref());
            }
            return;
        }
        end = serve_requests(&traffic, &mut framed, &served, slot.state()) => match end {
            ServiceEnd::Broken => return,
            ServiceEnd::Complete => {}
        }
    }
    slot.state().record_closing();
    // The caller may still be reading earlier responses, and send requests meanwhile.
    tokio::select! {
        () = slot.evicted() => {}
        () = close_gracefully(framed.into_inner(), MAX_CLOSE_TIME) => {}
    }
}

/// A response that can be written.
struct ReadyResponse {
    response: Response<Bytes>,
    /// Whether its request only asks for the head.
    is_to_head: bool,
    /// The memory of its request, which is given back when the response is written.
    reservation: Option<MemoryReservation>,
}

/// How the service of a connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServiceEnd {
    /// The connection cannot be used any more.
    Broken,
    /// The last response has been written.
    Complete,
}

/// Serves the requests of a connection. They run concurrently, and responses are sent in the order of
/// their requests. If the caller closes the connection, the futures of its requests are dropped.
async fn serve_requests<F>(
    traffic: &Arc<TrafficState>,
    framed: &mut Framed<TcpStream, RequestCodec<F>>,
    served: &ServedConnection,
    state: &ConnectionState,
) -> ServiceEnd
where
    F: Fn() -> Option<CallerLimits> + Unpin,
{
    let mut in_progress = FuturesOrdered::new();
    // Responses that were complete while an earlier one was sent.
    let mut complete = VecDeque::new();
    let mut is_last_read = false;
    loop {
        let is_any_open = !(complete.is_empty() && in_progress.is_empty());
        let may_read = !is_last_read && complete.len() + in_progress.len() < MAX_PIPELINED;
        let is_idle = !is_any_open && is_between_requests(framed);
        tokio::select! {
            Some(ready) = next_response(&mut complete, &mut in_progress), if is_any_open => {
                let ReadyResponse { mut response, is_to_head, reservation } = ready;
                is_last_read |= is_closing(traffic);
                let is_final = is_last_read && complete.is_empty() && in_progress.is_empty();
                if is_final {
                    // Makes the caller open a new connection, possibly to another node.
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                // A caller that reads slowly gets the rest before the process stops.
                let _counted = CountGuard::new(&traffic.in_progress);
                let bytes = response.body().len();
                let sending = send_response(framed, response, is_to_head, state);
                let sending = send_beside(sending, &mut complete, &mut in_progress);
                let sending = timeout(MAX_SEND_TIME, sending);
                match record_pause(sending, || state.record_unread(bytes)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return ServiceEnd::Broken,
                    Err(_) => {
                        log::info!(event = "caller_reads_too_slowly"; "");
                        return ServiceEnd::Broken;
                    }
                }
                drop(reservation);
                state.record_read();
                state.record_answer();
                if is_final {
                    return ServiceEnd::Complete;
                }
            }
            event = next_event(framed, may_read) => match event {
                CallerEvent::Incoming(Incoming::Request(request, reservation)) => {
                    state.record_request();
                    is_last_read |= asks_for_close(&request);
                    let is_to_head = request.method() == Method::HEAD;
                    let response = answer_caller(traffic, *request);
                    let ready = response.map(move |response| ReadyResponse {
                        response,
                        is_to_head,
                        reservation: Some(reservation),
                    });
                    in_progress.push_back(Either::Left(ready));
                }
                CallerEvent::Incoming(Incoming::ExpectsContinue) => {
                    if framed.send(Outgoing::Continue).await.is_err() {
                        return ServiceEnd::Broken;
                    }
                }
                CallerEvent::Incoming(Incoming::Invalid { error, head }) => {
                    state.record_request();
                    is_last_read = true;
                    let response = refuse_unread(traffic, error, head.as_deref());
                    let is_to_head = head.is_some_and(|it| it.method() == Method::HEAD);
                    let refused = ReadyResponse { response, is_to_head, reservation: None };
                    in_progress.push_back(Either::Right(ready(refused)));
                }
                CallerEvent::Closed => return ServiceEnd::Broken,
                CallerEvent::Idle if !is_any_open => return ServiceEnd::Complete,
                CallerEvent::Idle => {}
            },
            () = served.closing(), if is_idle => {
                if is_between_requests(framed) {
                    return ServiceEnd::Complete;
                }
            }
        }
    }
}

/// Whether no part of a further request has been read.
fn is_between_requests<F>(framed: &Framed<TcpStream, RequestCodec<F>>) -> bool {
    framed.read_buffer().is_empty() && framed.codec().is_between_requests()
}

/// Sends a response. A long body is copied in parts as the caller reads, and counts against the budget
/// for bodies until the last one is written.
pub(super) async fn send_response<F>(
    framed: &mut Framed<TcpStream, RequestCodec<F>>,
    response: Response<Bytes>,
    is_to_head: bool,
    state: &ConnectionState,
) -> io::Result<()> {
    let body_bytes = match has_body(response.status(), is_to_head) {
        true => response.body().len(),
        false => 0,
    };
    let (is_in_parts, has_long_body) = (body_bytes > WRITE_BYTES, body_bytes > MAX_KEPT_BYTES);
    let mut body = if is_in_parts { response.body().clone() } else { Bytes::new() };
    framed.send(Outgoing::Response { response, is_to_head }).await?;
    while !body.is_empty() {
        let part = body.split_to(body.len().min(WRITE_BYTES));
        framed.send(Outgoing::Part(part)).await?;
        state.record_progress();
    }
    if has_long_body {
        // The connection would keep the memory of its longest response.
        *framed.write_buffer_mut() = BytesMut::with_capacity(BUFFER_BYTES);
    }
    Ok(())
}

/// Runs a future, and `record` once if it is not ready at once.
async fn record_pause<T>(future: impl Future<Output = T>, record: impl FnOnce()) -> T {
    let mut future = pin!(future);
    match poll_immediate(&mut future).await {
        Some(output) => output,
        None => {
            record();
            future.await
        }
    }
}

/// Returns the next response in the order of the requests.
async fn next_response<T: Future>(
    complete: &mut VecDeque<T::Output>,
    in_progress: &mut FuturesOrdered<T>,
) -> Option<T::Output> {
    match complete.pop_front() {
        Some(response) => Some(response),
        None => in_progress.next().await,
    }
}

/// Sends a response while the further requests of the connection go on: a caller that reads slowly
/// must not keep their slots.
async fn send_beside<T: Future, E>(
    sending: impl Future<Output = Result<(), E>>,
    complete: &mut VecDeque<T::Output>,
    in_progress: &mut FuturesOrdered<T>,
) -> Result<(), E> {
    let mut sending = pin!(sending);
    loop {
        tokio::select! {
            biased;
            result = &mut sending => return result,
            Some(response) = in_progress.next(), if !in_progress.is_empty() => {
                complete.push_back(response);
            }
        }
    }
}

fn is_closing(traffic: &TrafficState) -> bool {
    traffic.context.is_closing.load(Ordering::Relaxed)
}

/// Whether the connection ends with the response to this request.
fn asks_for_close(request: &Request<Bytes>) -> bool {
    let value = request.headers().get(header::CONNECTION).and_then(|it| it.to_str().ok());
    match value {
        Some(value) => value.split(',').any(|it| it.trim().eq_ignore_ascii_case("close")),
        None => request.version() == Version::HTTP_10,
    }
}

/// An event on the connection of a caller.
enum CallerEvent {
    Incoming(Incoming),
    /// The caller closed the connection, or it broke.
    Closed,
    /// The caller sent no complete request within the idle timeout.
    Idle,
}

/// Waits for the next event. While no request may be read, only the close of the connection is one.
async fn next_event<F>(
    framed: &mut Framed<TcpStream, RequestCodec<F>>,
    may_read: bool,
) -> CallerEvent
where
    F: Fn() -> Option<CallerLimits> + Unpin,
{
    if !may_read {
        wait_for_close(framed.get_ref()).await;
        return CallerEvent::Closed;
    }
    match timeout(IDLE_TIMEOUT, framed.next()).await {
        Ok(Some(Ok(incoming))) => CallerEvent::Incoming(incoming),
        Ok(Some(Err(_)) | None) => CallerEvent::Closed,
        Err(_) => CallerEvent::Idle,
    }
}

async fn wait_for_close(stream: &TcpStream) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if ready.is_read_closed() || ready.is_error() => return,
            Ok(_) => sleep(CLOSE_POLL_INTERVAL).await,
            Err(_) => return,
        }
    }
}

/// Interval at which a connection that is not read from is checked for a close.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(100);
