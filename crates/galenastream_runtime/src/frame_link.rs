//! Multiplexed connection to another node.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use galenastream_wire::{CorrelatedFrame, WireError};
use tokio::{
    net::{TcpStream, tcp::OwnedWriteHalf},
    sync::{mpsc, oneshot},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::{
    FrameReader, FrameWriter, MemoryBudget, PeerError, PendingReplies, PendingReply, ReceivedFrame,
    tune_socket,
};

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
    /// Opens a connection, which holds long replies within `budget`. Its tasks run on the current
    /// Tokio runtime.
    pub async fn connect(
        address: SocketAddr,
        budget: Arc<MemoryBudget>,
    ) -> Result<Self, PeerError> {
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
        let ended = CancellationToken::new();
        tokio::spawn(write_frames::<F>(write_half, queue, pending.clone(), ended.clone()));
        let reader = FrameReader::new(read_half, budget);
        tokio::spawn(read_frames::<F>(reader, pending.clone(), ended));
        Ok(Self { frames, pending })
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.pending.is_closed()
    }

    /// Sends a request and waits for its reply. Dropping the future cancels the request.
    pub async fn call(&self, body: F::Body, reply_timeout: Duration) -> Result<F::Body, PeerError> {
        self.call_until(body, reply_timeout, std::future::pending()).await
    }

    /// Sends a request, withdraws it when `withdrawal` completes, and waits for its reply: only the
    /// other node knows whether the request has begun. Dropping the future cancels the request.
    pub async fn call_until(
        &self,
        body: F::Body,
        reply_timeout: Duration,
        withdrawal: impl Future<Output = ()>,
    ) -> Result<F::Body, PeerError> {
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
        let reply = timeout(reply_timeout, self.reply(waiting, withdrawal)).await;
        drop(cancel_on_drop);
        match reply {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(PeerError::Lost),
            Err(_) => Err(PeerError::TimedOut),
        }
    }

    async fn reply(
        &self,
        waiting: PendingReply<Result<F::Body, PeerError>>,
        withdrawal: impl Future<Output = ()>,
    ) -> Result<Result<F::Body, PeerError>, oneshot::error::RecvError> {
        let PendingReply { correlation, mut reply } = waiting;
        tokio::select! {
            biased;
            result = &mut reply => return result,
            () = withdrawal => {}
        }
        // A withdrawal that finds the queue full is lost, and the request goes on.
        let _ = self.frames.try_send(F::new(correlation, F::withdrawal()));
        reply.await
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
    ended: CancellationToken,
) {
    let mut writer = FrameWriter::new(stream);
    loop {
        // While parts of long messages are left, they take turns with the frames in the queue.
        let frame = match writer.has_parts() {
            true => queue.try_recv().ok(),
            false => tokio::select! {
                frame = queue.recv() => match frame {
                    Some(frame) => Some(frame),
                    None => break,
                },
                // The other node waits for this side to close.
                () = ended.cancelled() => break,
            },
        };
        if pending.is_closed() {
            break;
        }
        if let Some(frame) = frame {
            let correlation = frame.correlation();
            match writer.feed(frame).await {
                Ok(()) => {}
                Err(WireError::TooLong { .. }) => {
                    pending.complete(correlation, Err(PeerError::RequestTooLong));
                }
                Err(_) => break,
            }
        }
        if writer.feed_part(|it| pending.contains(it)).await.is_err() {
            break;
        }
        // Frames that are already queued are sent in one write.
        if queue.is_empty() && writer.flush().await.is_err() {
            break;
        }
    }
    pending.close();
}

async fn read_frames<F: CorrelatedFrame>(
    mut reader: FrameReader<F>,
    pending: Arc<Replies<F>>,
    ended: CancellationToken,
) {
    while let Some(Ok(received)) = reader.next().await {
        reader.retain(|it| pending.contains(it));
        let frame = match received {
            ReceivedFrame::Whole(frame) => frame,
            ReceivedFrame::Part { correlation } => {
                if !pending.contains(correlation) {
                    reader.forget(correlation);
                }
                continue;
            }
            ReceivedFrame::TooLong { correlation, bytes } => {
                log::warn!(event = "reply_too_long", bytes; "");
                pending.complete(correlation, Err(PeerError::ReplyTooLong));
                continue;
            }
        };
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
    ended.cancel();
}

fn count_dropped_frame(reason: &'static str) {
    metrics::counter!("galenastream_frames_dropped_total", "reason" => reason).increment(1);
}
