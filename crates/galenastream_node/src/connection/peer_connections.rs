//! Server for the connections that other nodes open.

use std::{
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use galenastream_routing::TransitDelay;
use galenastream_runtime::{
    ArrivalRoom, ConnectionSlot, ConnectionState, FrameReader, ReceivedFrame, boot_now,
};
use galenastream_utils::{FastMap, FastSet};
use galenastream_wire::{
    ForwardedRequest, NodeStatus, PeerFrame, ReplyReason, StatusSeen, peer_frame::Body,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::{AbortHandle, JoinHandle},
    time::{Instant, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{
    accept::accept_all,
    peer_replies::{OutgoingReply, write_replies},
    served_connections::ServedConnection,
};
use crate::{
    process::{ControlEvent, TrafficState, elapsed_ms, request_bytes},
    request::{TOO_LONG_RETRY_AFTER_MS, TargetRun, Withdrawal, not_sent, run_for_peer},
};

/// Maximum number of replies that wait to be written on one connection.
const WRITE_QUEUE_FRAMES: usize = 4_096;

/// How long a connection without requests in progress may bring no frame. A status comes every
/// second; this is longer than most suspensions, after which the other node uses the connection again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without a frame after which another node has vanished, or is suspended. A status comes every
/// second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long another node may take to close its side of a connection whose last reply was written.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Serves the connections of other nodes until the process ends.
pub async fn serve_peers(traffic: Arc<TrafficState>, listener: TcpListener) {
    accept_all(listener, &traffic.peer_slots, |stream, slot| {
        let served = traffic.connections.add();
        tokio::spawn(serve_connection(traffic.clone(), stream, served, slot));
    })
    .await;
}

async fn serve_connection(
    traffic: Arc<TrafficState>,
    stream: TcpStream,
    served: ServedConnection,
    slot: ConnectionSlot,
) {
    let (read_half, write_half) = stream.into_split();
    let (replies, queue) = mpsc::channel(WRITE_QUEUE_FRAMES);
    let mut writer = tokio::spawn(write_replies(traffic.link.clone(), write_half, queue));
    let frames = traffic.memory_budgets.frames.clone();
    let room = ArrivalRoom::new(frames, traffic.peer_slots.clone(), slot.state().clone());
    let bodies = traffic.memory_budgets.forwarded.clone();
    let mut reader = FrameReader::new(read_half, bodies).with_room(room);
    let connection = PeerConnection {
        traffic,
        replies,
        running: Arc::default(),
        withdrawn: Mutex::default(),
        state: slot.state().clone(),
    };
    let mut last_frame_at = Instant::now();
    tokio::select! {
        () = slot.evicted() => {
            connection.close();
            writer.abort();
        }
        () = connection.read(&mut reader, &mut last_frame_at) => {
            connection.close();
            writer.abort();
        }
        () = served.closing() => {
            // Without senders, the writer ends after the last reply.
            connection.close();
            let is_silent = last_frame_at.elapsed() >= SILENCE_TIMEOUT;
            discard_until_close(&mut reader, &mut writer, is_silent).await;
            writer.abort();
        }
    }
}

/// Reads and discards what another node sends until it closes its side, which it does once it has
/// read the last reply. A silent node only gets the replies that it still takes.
async fn discard_until_close(
    reader: &mut FrameReader<PeerFrame>,
    writer: &mut JoinHandle<()>,
    is_silent: bool,
) {
    let mut discard = pin!(async { while let Some(Ok(_)) = reader.next().await {} });
    tokio::select! {
        () = &mut discard => return,
        _ = writer => {}
    }
    if !is_silent && timeout(CLOSE_TIMEOUT, discard).await.is_err() {
        log::info!(event = "connection_not_closed_by_peer"; "");
    }
}

/// A connection that another node opened.
struct PeerConnection {
    traffic: Arc<TrafficState>,
    replies: mpsc::Sender<OutgoingReply>,
    running: Arc<Mutex<FastMap<u64, RunningRequest>>>,
    /// Requests that were withdrawn before they had arrived whole.
    withdrawn: Mutex<FastSet<u64>>,
    state: Arc<ConnectionState>,
}

/// A request in progress.
struct RunningRequest {
    task: AbortHandle,
    withdrawn: CancellationToken,
}

impl PeerConnection {
    async fn read(&self, reader: &mut FrameReader<PeerFrame>, last_frame_at: &mut Instant) {
        let mut transit_delay = TransitDelay::new();
        loop {
            let Ok(next) = timeout(IDLE_TIMEOUT, reader.next()).await else {
                if lock(&self.running).is_empty() {
                    log::info!(event = "peer_connection_idle"; "");
                    return;
                }
                continue;
            };
            *last_frame_at = Instant::now();
            self.state.record_message();
            match next {
                Some(Ok(ReceivedFrame::Whole(mut frame))) => {
                    match &mut frame.body {
                        Some(Body::Request(request)) => subtract_delay(request, &mut transit_delay),
                        Some(Body::Cancel(_)) => reader.forget(frame.correlation),
                        _ => {}
                    }
                    self.handle(frame);
                }
                Some(Ok(ReceivedFrame::Part { .. })) => {}
                Some(Ok(ReceivedFrame::TooLong { correlation, bytes })) => {
                    log::warn!(event = "request_too_long", bytes; "");
                    let retry_after_ms = TOO_LONG_RETRY_AFTER_MS;
                    let reply = not_sent(ReplyReason::RequestTooLong, retry_after_ms);
                    self.reply(correlation, Body::Reply(reply));
                }
                Some(Err(error)) => {
                    log::info!(event = "peer_frame_unreadable", reason:% = error; "");
                    return;
                }
                None => return,
            }
        }
    }

    /// Aborts the requests in progress, as the other node can no longer get their replies.
    fn close(self) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, request) in running.drain() {
            request.task.abort();
        }
    }

    fn handle(&self, frame: PeerFrame) {
        let correlation = frame.correlation;
        match frame.body {
            Some(Body::Status(status)) => {
                let seen = self.status_seen(&status);
                self.traffic.context.control_events.notify(ControlEvent::peer_status(status));
                self.reply(correlation, Body::StatusSeen(seen));
            }
            Some(Body::SyncQuery(query)) => {
                let snapshot = self.traffic.context.sync_snapshot.load();
                let state = snapshot.state_for(&query, boot_now());
                self.reply(correlation, Body::SyncState(state));
            }
            Some(Body::Request(request)) => self.start(correlation, request),
            Some(Body::Cancel(_)) => self.cancel(correlation),
            Some(Body::Withdrawal(_)) => self.withdraw(correlation),
            Some(Body::StatusSeen(_) | Body::Reply(_) | Body::SyncState(_) | Body::Part(_))
            | None => {
                log::warn!(event = "peer_frame_unexpected"; "");
            }
        }
    }

    /// The acknowledgement of a status. Only the few nodes that watch the config for short times
    /// confirm it, since every node has to handle each confirmation.
    fn status_seen(&self, status: &NodeStatus) -> StatusSeen {
        let context = &self.traffic.context;
        let now = boot_now();
        let seen = match *context.reads_rows.borrow() {
            true => context.sync_snapshot.load().status_seen(now),
            false => StatusSeen::default(),
        };
        let leaving_since = context.directory.load().forgotten_leave(status);
        let target_leaving_for_ms = leaving_since.map(|it| elapsed_ms(it, now));
        StatusSeen { target_leaving_for_ms, ..seen }
    }

    fn reply(&self, correlation: u64, body: Body) {
        let frame = PeerFrame { correlation, body: Some(body) };
        if self.replies.try_send(OutgoingReply::Prompt(frame)).is_err() {
            log::warn!(event = "reply_dropped"; "");
        }
    }

    fn start(&self, correlation: u64, request: ForwardedRequest) {
        let mut reservation = self.traffic.memory_budgets.forwarded.reservation();
        if !reservation.extend_to(request_bytes(head_bytes(&request), request.headers.len())) {
            let reply = not_sent(ReplyReason::RequestTooLong, TOO_LONG_RETRY_AFTER_MS);
            self.reply(correlation, Body::Reply(reply));
            return;
        }
        let (traffic, replies) = (self.traffic.clone(), self.replies.clone());
        let running = self.running.clone();
        let withdrawn = CancellationToken::new();
        if lock(&self.withdrawn).remove(&correlation) {
            withdrawn.cancel();
        }
        let withdrawal = Withdrawal::new(withdrawn.clone());
        let in_progress = self.state.request();
        let task = tokio::spawn(async move {
            let _in_progress = (in_progress, reservation);
            let TargetRun { reply, transfer } = run_for_peer(&traffic, request, withdrawal).await;
            lock(&running).remove(&correlation);
            let frame = PeerFrame { correlation, body: Some(Body::Reply(reply)) };
            let reply = match transfer {
                Some(transfer) => OutgoingReply::Paced { frame, transfer },
                None => OutgoingReply::Prompt(frame),
            };
            if replies.send(reply).await.is_err() {
                log::debug!(event = "reply_unwanted"; "");
            }
        });
        if !task.is_finished() {
            let task = task.abort_handle();
            lock(&self.running).insert(correlation, RunningRequest { task, withdrawn });
        }
    }

    /// Withdraws a request. One that has been replied to is remembered until the connection ends.
    fn withdraw(&self, correlation: u64) {
        match lock(&self.running).get(&correlation) {
            Some(request) => request.withdrawn.cancel(),
            None => {
                lock(&self.withdrawn).insert(correlation);
            }
        }
    }

    fn cancel(&self, correlation: u64) {
        match lock(&self.running).remove(&correlation) {
            Some(request) => request.task.abort(),
            // The reply is on its way, or waits for the link.
            None => {
                if self.replies.try_send(OutgoingReply::Unwanted { correlation }).is_err() {
                    log::debug!(event = "reply_unwanted"; "");
                }
            }
        }
    }
}

/// The size of the head of a request.
fn head_bytes(request: &ForwardedRequest) -> usize {
    let headers = request.headers.iter().map(|it| it.name.len() + it.value.len());
    request.path.len() + headers.sum::<usize>()
}

/// Subtracts the time that a request was under way from the time that it has left.
fn subtract_delay(request: &mut ForwardedRequest, transit_delay: &mut TransitDelay) {
    if request.sent_at_ns == 0 {
        return;
    }
    let delay = transit_delay.record(request.sent_at_ns, boot_now());
    let delay_ms = u32::try_from(delay.as_millis()).unwrap_or(u32::MAX);
    request.remaining_ms = request.remaining_ms.saturating_sub(delay_ms);
    request.prompt_ms = request.prompt_ms.saturating_sub(delay_ms);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
