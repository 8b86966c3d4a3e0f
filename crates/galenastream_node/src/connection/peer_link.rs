//! A connection to another node, shared by all requests to it.

use std::{sync::Arc, time::Duration};

use futures::{SinkExt, StreamExt};
use galenastream_ownership::VmId;
use galenastream_wire::{Cancel, PeerCodec, PeerFrame, peer_frame::Body};
use tokio::{
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::timeout,
};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::{PeerError, PendingReplies};
use crate::process::counters;

/// Frames that may wait to be written on one connection.
const WRITE_QUEUE_FRAMES: usize = 4_096;

/// How long opening a connection to another node may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection to another node, shared by all requests to it.
#[derive(Debug)]
pub struct PeerLink {
    frames: mpsc::Sender<PeerFrame>,
    pending: Arc<PendingReplies>,
}

impl PeerLink {
    /// Opens a connection. The tasks that serve it run on the current runtime.
    pub async fn connect(vm: VmId) -> Result<Self, PeerError> {
        let connecting = TcpStream::connect(vm.address());
        let stream = match timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(PeerError::NotSent),
            Err(_) => return Err(PeerError::Unreachable),
        };
        // Nagle's algorithm would hold small frames back; a failure only costs latency.
        let _ = stream.set_nodelay(true);
        let (read_half, write_half) = stream.into_split();
        let pending = Arc::new(PendingReplies::new());
        let (frames, queue) = mpsc::channel(WRITE_QUEUE_FRAMES);
        tokio::spawn(write_frames(write_half, queue, pending.clone()));
        tokio::spawn(read_frames(read_half, pending.clone()));
        Ok(Self { frames, pending })
    }

    /// Whether the connection has broken.
    pub fn is_closed(&self) -> bool {
        self.pending.is_closed()
    }

    /// Sends a request and waits for its reply. Dropping the future cancels the request.
    pub async fn ask(&self, body: Body, limit: Duration) -> Result<Body, PeerError> {
        let waiting = self.pending.add().ok_or(PeerError::NotSent)?;
        let correlation = waiting.correlation;
        let abandon = AbandonOnDrop { link: self, correlation };
        let frame = PeerFrame { correlation, body: Some(body) };
        match self.frames.try_send(frame) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => {
                self.pending.remove(correlation);
                return Err(PeerError::QueueFull);
            }
            Err(mpsc::error::TrySendError::Closed(_)) => {
                self.pending.remove(correlation);
                return Err(PeerError::NotSent);
            }
        }
        let reply = timeout(limit, waiting.reply).await;
        drop(abandon);
        match reply {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(PeerError::Lost),
            Err(_) => Err(PeerError::TimedOut),
        }
    }
}

/// Tells the other node that a request's reply is no longer wanted.
struct AbandonOnDrop<'a> {
    link: &'a PeerLink,
    correlation: u64,
}

impl Drop for AbandonOnDrop<'_> {
    fn drop(&mut self) {
        if !self.link.pending.remove(self.correlation) {
            return;
        }
        let body = Some(Body::Cancel(Cancel {}));
        // A full queue loses the cancellation; the request then ends at its deadline.
        let _ = self.link.frames.try_send(PeerFrame { correlation: self.correlation, body });
    }
}

async fn write_frames(
    stream: OwnedWriteHalf,
    mut queue: mpsc::Receiver<PeerFrame>,
    pending: Arc<PendingReplies>,
) {
    let mut writer = FramedWrite::new(stream, PeerCodec::new());
    while let Some(frame) = queue.recv().await {
        if pending.is_closed() || writer.feed(frame).await.is_err() {
            break;
        }
        // Frames that are queued already share one write.
        if queue.is_empty() && writer.flush().await.is_err() {
            break;
        }
    }
    pending.close();
}

async fn read_frames(stream: OwnedReadHalf, pending: Arc<PendingReplies>) {
    let mut reader = FramedRead::new(stream, PeerCodec::new());
    while let Some(Ok(frame)) = reader.next().await {
        let Some(body) = frame.body else {
            counters::frame_dropped("empty");
            continue;
        };
        if !pending.complete(frame.correlation, body) {
            counters::frame_dropped("late-reply");
        }
    }
    pending.close();
}
