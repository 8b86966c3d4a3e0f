//! Server for the connections that other nodes open.

use std::sync::{Arc, Mutex, PoisonError};

use futures::{SinkExt, StreamExt};
use galenastream_routing::TransitDelay;
use galenastream_runtime::boot_now;
use galenastream_utils::FastMap;
use galenastream_wire::{
    ForwardedReply, ForwardedRequest, FrameCodec, PeerFrame, ReplyOutcome, ReplyReason, StatusSeen,
    WireError, peer_frame::Body,
};
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    task::AbortHandle,
};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::accept::accept_all;
use crate::{
    process::{ControlEvent, TrafficState},
    request::run_for_peer,
};

/// Maximum number of replies that wait to be written on one connection.
const WRITE_QUEUE_FRAMES: usize = 4_096;

/// Serves the connections of other nodes until the process ends.
pub async fn serve_peers(traffic: Arc<TrafficState>, listener: TcpListener) {
    accept_all(listener, |stream| {
        tokio::spawn(serve_connection(traffic.clone(), stream));
    })
    .await;
}

async fn serve_connection(traffic: Arc<TrafficState>, stream: TcpStream) {
    let (read_half, write_half) = stream.into_split();
    let (replies, queue) = mpsc::channel(WRITE_QUEUE_FRAMES);
    let writer = tokio::spawn(write_replies(write_half, queue));
    let connection = PeerConnection { traffic, replies, running: Arc::default() };
    connection.read(read_half).await;
    connection.close();
    writer.abort();
}

async fn write_replies(stream: OwnedWriteHalf, mut queue: mpsc::Receiver<PeerFrame>) {
    let mut writer = FramedWrite::new(stream, FrameCodec::<PeerFrame>::new());
    while let Some(frame) = queue.recv().await {
        let correlation = frame.correlation;
        let mut result = writer.feed(frame).await;
        if let Err(error @ WireError::TooLong { .. }) = &result {
            log::warn!(event = "reply_too_long", reason:% = error; "");
            result = writer.feed(reply_too_long(correlation)).await;
        }
        if let Err(error) = result {
            log::info!(event = "reply_not_written", reason:% = error; "");
            return;
        }
        // Replies that are already queued are sent in one write.
        if queue.is_empty() && writer.flush().await.is_err() {
            return;
        }
    }
}

/// What is sent in place of a reply that is too long for a connection between nodes.
fn reply_too_long(correlation: u64) -> PeerFrame {
    let reply = ForwardedReply {
        outcome: ReplyOutcome::Unknown as i32,
        reason: ReplyReason::AnswerTooLong as i32,
        ..Default::default()
    };
    PeerFrame { correlation, body: Some(Body::Reply(reply)) }
}

/// A connection that another node opened.
struct PeerConnection {
    traffic: Arc<TrafficState>,
    replies: mpsc::Sender<PeerFrame>,
    running: Arc<Mutex<FastMap<u64, AbortHandle>>>,
}

impl PeerConnection {
    async fn read(&self, stream: OwnedReadHalf) {
        let mut reader = FramedRead::new(stream, FrameCodec::<PeerFrame>::new());
        let mut transit_delay = TransitDelay::new();
        loop {
            match reader.next().await {
                Some(Ok(mut frame)) => {
                    if let Some(Body::Request(request)) = &mut frame.body {
                        subtract_delay(request, &mut transit_delay);
                    }
                    self.handle(frame);
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
        for (_, task) in running.drain() {
            task.abort();
        }
    }

    fn handle(&self, frame: PeerFrame) {
        let correlation = frame.correlation;
        match frame.body {
            Some(Body::Status(status)) => {
                self.traffic.context.control_events.notify(ControlEvent::PeerStatus(status));
                self.reply(correlation, Body::StatusSeen(StatusSeen {}));
            }
            Some(Body::SyncQuery(query)) => {
                let snapshot = self.traffic.context.sync_snapshot.load();
                let state = snapshot.state_for(&query, boot_now());
                self.reply(correlation, Body::SyncState(state));
            }
            Some(Body::Request(request)) => self.start(correlation, request),
            Some(Body::Cancel(_)) => self.cancel(correlation),
            Some(Body::StatusSeen(_) | Body::Reply(_) | Body::SyncState(_)) | None => {
                log::warn!(event = "peer_frame_unexpected"; "");
            }
        }
    }

    fn reply(&self, correlation: u64, body: Body) {
        let frame = PeerFrame { correlation, body: Some(body) };
        if self.replies.try_send(frame).is_err() {
            log::warn!(event = "reply_dropped"; "");
        }
    }

    fn start(&self, correlation: u64, request: ForwardedRequest) {
        let (traffic, replies) = (self.traffic.clone(), self.replies.clone());
        let running = self.running.clone();
        let task = tokio::spawn(async move {
            let reply = run_for_peer(&traffic, request).await;
            lock(&running).remove(&correlation);
            let frame = PeerFrame { correlation, body: Some(Body::Reply(reply)) };
            if replies.send(frame).await.is_err() {
                log::debug!(event = "reply_unwanted"; "");
            }
        });
        if !task.is_finished() {
            lock(&self.running).insert(correlation, task.abort_handle());
        }
    }

    fn cancel(&self, correlation: u64) {
        if let Some(task) = lock(&self.running).remove(&correlation) {
            task.abort();
        }
    }
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

fn lock(
    running: &Mutex<FastMap<u64, AbortHandle>>,
) -> std::sync::MutexGuard<'_, FastMap<u64, AbortHandle>> {
    running.lock().unwrap_or_else(PoisonError::into_inner)
}
