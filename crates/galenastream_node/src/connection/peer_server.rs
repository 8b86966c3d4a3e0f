//! Serves the connections that other nodes open.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::{SinkExt, StreamExt};
use galenastream_ownership::{FastMap, VmId};
use galenastream_routing::{Deadline, NotRunReason};
use galenastream_wire::{
    Forward, PeerCodec, PeerFrame, SettingsQuery, SettingsReply, peer_frame::Body,
};
use tokio::{
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    task::AbortHandle,
    time::sleep,
};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::{
    process::{Node, boot_now, counters},
    request::{Reply, answer_route, issue_ticket, run_at_owner},
};

/// Requests that may be in progress on one connection.
const MAX_IN_PROGRESS: usize = 4_096;

/// Replies that may wait to be written on one connection.
const WRITE_QUEUE_FRAMES: usize = 4_096;

/// How long to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of other nodes until the process ends.
pub async fn serve_peers(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(node.clone(), stream));
            }
            Err(error) => {
                log::warn!(event = "peer_accept_failed"; "{error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(node: Arc<Node>, stream: TcpStream) {
    // Nagle's algorithm would hold small frames back; a failure only costs latency.
    let _ = stream.set_nodelay(true);
    let (read_half, write_half) = stream.into_split();
    let (replies, queue) = mpsc::channel(WRITE_QUEUE_FRAMES);
    let writer = tokio::spawn(write_replies(write_half, queue));
    let connection = PeerConnection { node, replies, running: Arc::default() };
    connection.read(read_half).await;
    connection.close();
    writer.abort();
}

async fn write_replies(stream: OwnedWriteHalf, mut queue: mpsc::Receiver<PeerFrame>) {
    let mut writer = FramedWrite::new(stream, PeerCodec::new());
    while let Some(frame) = queue.recv().await {
        if writer.feed(frame).await.is_err() {
            return;
        }
        // Replies that are queued already share one write.
        if queue.is_empty() && writer.flush().await.is_err() {
            return;
        }
    }
}

/// A connection that another node opened.
struct PeerConnection {
    node: Arc<Node>,
    replies: mpsc::Sender<PeerFrame>,
    running: Arc<Mutex<FastMap<u64, AbortHandle>>>,
}

impl PeerConnection {
    async fn read(&self, stream: OwnedReadHalf) {
        let mut reader = FramedRead::new(stream, PeerCodec::new());
        loop {
            match reader.next().await {
                Some(Ok(frame)) => self.handle(frame),
                Some(Err(error)) => {
                    counters::frame_dropped("unreadable");
                    log::debug!(event = "peer_frame_unreadable"; "{error}");
                    return;
                }
                None => return,
            }
        }
    }

    /// Ends what the other node no longer waits for.
    fn close(self) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, task) in running.drain() {
            task.abort();
        }
    }

    fn handle(&self, frame: PeerFrame) {
        let correlation = frame.correlation;
        match frame.body {
            Some(Body::Cancel(_)) => self.cancel(correlation),
            Some(Body::Answer(_) | Body::RouteReply(_) | Body::TicketReply(_))
            | Some(Body::SettingsReply(_))
            | None => counters::frame_dropped("unexpected"),
            Some(request) => self.start(correlation, request),
        }
    }

    fn cancel(&self, correlation: u64) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(task) = running.remove(&correlation) {
            task.abort();
        }
    }

    fn start(&self, correlation: u64, request: Body) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        if running.len() >= MAX_IN_PROGRESS || running.contains_key(&correlation) {
            counters::frame_dropped("too-many-in-progress");
            self.refuse(correlation, &request);
            return;
        }
        let node = self.node.clone();
        let replies = self.replies.clone();
        let tasks = self.running.clone();
        let task = tokio::spawn(async move {
            let body = reply_to(&node, request).await;
            // The entry is removed first, so that a later cancellation does not cut the reply off.
            tasks.lock().unwrap_or_else(PoisonError::into_inner).remove(&correlation);
            if let Some(body) = body {
                let frame = PeerFrame { correlation, body: Some(body) };
                // The other node is gone if the queue is closed.
                let _ = replies.send(frame).await;
            }
        });
        running.insert(correlation, task.abort_handle());
    }

    fn refuse(&self, correlation: u64, request: &Body) {
        if !matches!(request, Body::Forward(_)) {
            return;
        }
        let reply = Reply::not_run(NotRunReason::Overloaded);
        let answer = reply.into_answer(self.node.settings.version().0);
        let frame = PeerFrame { correlation, body: Some(Body::Answer(answer)) };
        // Without room for the refusal, the other node's time limit tells it.
        let _ = self.replies.try_send(frame);
    }
}

async fn reply_to(node: &Arc<Node>, request: Body) -> Option<Body> {
    match request {
        Body::Forward(forward) => Some(Body::Answer(run_forward(node, forward).await)),
        Body::RouteQuery(query) => Some(Body::RouteReply(answer_route(node, query))),
        Body::TicketQuery(query) => Some(Body::TicketReply(issue_ticket(node, &query))),
        Body::SettingsQuery(query) => Some(Body::SettingsReply(settings_reply(node, query))),
        _ => None,
    }
}

async fn run_forward(node: &Arc<Node>, forward: Forward) -> galenastream_wire::Answer {
    let deadline = Deadline::new(boot_now(), forward.deadline_ms);
    let reply = run_at_owner(node, forward, deadline).await;
    let vm: VmId = node.vm();
    reply.with_owner(vm).into_answer(node.settings.version().0)
}

fn settings_reply(node: &Node, query: SettingsQuery) -> SettingsReply {
    let current = node.settings.current();
    if current.version().0 < query.version {
        return SettingsReply { version: 0, toml: String::new() };
    }
    SettingsReply { version: current.version().0, toml: current.toml().to_owned() }
}
