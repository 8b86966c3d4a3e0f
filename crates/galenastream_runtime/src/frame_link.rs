//! Multiplexed connection to another node.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::{SinkExt, StreamExt};
use galenastream_wire::{CorrelatedFrame, FrameCodec, WireError};
use tokio::{
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::timeout,
};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::{PeerError, PendingReplies, tune_socket};

/// Maximum number of frames that wait to be written on one connection.
const WRITE_QUEUE_FRAMES: usize = 4_096;

/// Timeout for opening a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The requests that wait for their replies. An error ends just one of them.
type Replies<F> = PendingReplies<Result<<F as CorrelatedFrame>::Body, PeerError>>;

/// A connection to another node over which all requests to it are multiplexed.
#[derive(Debug)]
pub struct FrameLink<F: CorrelatedFrame> {
    frames: mpsc::Sender<F>,
    pending: Arc<Replies<F>>,
}

impl<F: CorrelatedFrame> FrameLink<F> {
    /// Opens a connection. Its tasks run on the current Tokio runtime.
    pub async fn connect(address: SocketAddr) -> Result<Self, PeerError> {
        let connecting = TcpStream::connect(address);
        let stream = match timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(PeerError::NotSent),
            Err(_) => return Err(PeerError::Unreachable),
        };
        tune_socket(&stream);
        let (read_half, write_half) = stream.into_split();
        let pending = Arc::new(PendingReplies::new());
        let (frames, queue) = mpsc::channel(WRITE_QUEUE_FRAMES);
        tokio::spawn(write_frames::<F>(write_half, queue, pending.clone()));
        tokio::spawn(read_frames::<F>(read_half, pending.clone()));
        Ok(Self { frames, pending })
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.pending.is_closed()
    }

    /// Sends a request and waits for its reply. Dropping the future cancels the request.
    pub async fn call(&self, body: F::Body, reply_timeout: Duration) -> Result<F::Body, PeerError> {
        let waiting = self.pending.add().ok_or(PeerError::NotSent)?;
        let correlation = waiting.correlation;
        let cancel_on_drop = CancelOnDrop { link: self, correlation };
        let frame = F::new(correlation, body);
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
        let reply = timeout(reply_timeout, waiting.reply).await;
        drop(cancel_on_drop);
        match reply {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(PeerError::Lost),
            Err(_) => Err(PeerError::TimedOut),
        }
    }
}

/// Sends a cancellation to the other node if the request still waits for its reply.
struct CancelOnDrop<'a, F: CorrelatedFrame> {
    link: &'a FrameLink<F>,
    correlation: u64,
}

impl<F: CorrelatedFrame> Drop for CancelOnDrop<'_, F> {
    fn drop(&mut self) {
        if !self.link.pending.remove(self.correlation) {
            return;
        }
        let frame = F::new(self.correlation, F::cancel());
        // A cancellation that finds the queue full is lost, and the request ends at its deadline.
        let _ = self.link.frames.try_send(frame);
    }
}

async fn write_frames<F: CorrelatedFrame>(
    stream: OwnedWriteHalf,
    mut queue: mpsc::Receiver<F>,
    pending: Arc<Replies<F>>,
) {
    let mut writer = FramedWrite::new(stream, FrameCodec::<F>::new());
    while let Some(frame) = queue.recv().await {
        if pending.is_closed() {
            break;
        }
        let correlation = frame.correlation();
        match writer.feed(frame).await {
            Ok(()) => {}
            Err(WireError::TooLong { .. }) => {
                pending.complete(correlation, Err(PeerError::RequestTooLong));
            }
            Err(_) => break,
        }
        // Frames that are already queued are sent in one write.
        if queue.is_empty() && writer.flush().await.is_err() {
            break;
        }
    }
    pending.close();
}

async fn read_frames<F: CorrelatedFrame>(stream: OwnedReadHalf, pending: Arc<Replies<F>>) {
    let mut reader = FramedRead::new(stream, FrameCodec::<F>::new());
    while let Some(Ok(frame)) = reader.next().await {
        let (correlation, body) = frame.into_parts();
        let Some(body) = body else {
            count_dropped_frame("empty");
            continue;
        };
        if !pending.complete(correlation, Ok(body)) {
            count_dropped_frame("late-reply");
        }
    }
    pending.close();
}

fn count_dropped_frame(reason: &'static str) {
    metrics::counter!("galenastream_frames_dropped_total", "reason" => reason).increment(1);
}
