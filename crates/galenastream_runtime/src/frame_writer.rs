//! Writing of frames to another node.
//!
//! Load pattern: a few long bodies among many short messages. The long ones are sent in parts, in
//! turns with the others, so that these do not wait for a whole body.

use std::collections::VecDeque;

use bytes::Bytes;
use futures::SinkExt;
use galenastream_wire::{CorrelatedFrame, FrameCodec, Part, WireError};
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::FramedWrite;

use crate::{MAX_BODY_BYTES, Transfer};

/// The longest body that is sent in one frame, and the size of the parts of longer ones. The other node
/// holds a frame in memory until it has arrived whole.
const PART_BYTES: usize = 64 * 1024;

/// The size of the parts of bodies that wait for turns on the link. A short message waits for one of
/// them.
const PACED_PART_BYTES: usize = 16 * 1024;

/// Writes messages to another node, long ones in parts.
#[derive(Debug)]
pub struct FrameWriter<F: CorrelatedFrame> {
    frames: FramedWrite<OwnedWriteHalf, FrameCodec<F>>,
    long: VecDeque<LongMessage>,
    /// Messages whose parts wait for turns on the link, the first in order at the front.
    paced: VecDeque<PacedMessage>,
    /// The transfers whose last parts have been written and not sent.
    written: Vec<Transfer>,
}

/// A message that is sent in parts.
#[derive(Debug)]
struct LongMessage {
    correlation: u64,
    offset: u64,
    /// What is left of the body.
    body: Bytes,
    /// The encoded frame without the body.
    message: Bytes,
}

/// A message whose parts wait for turns on the link.
#[derive(Debug)]
struct PacedMessage {
    message: LongMessage,
    transfer: Transfer,
}

impl LongMessage {
    fn new<F: CorrelatedFrame>(mut frame: F) -> Self {
        let (correlation, body) = (frame.correlation(), frame.take_body());
        Self { correlation, offset: 0, body, message: Bytes::from(frame.encode_to_vec()) }
    }

    /// Takes the next part of at most `max_bytes` off. The last one carries the rest of the message.
    fn next_part(&mut self, max_bytes: usize) -> Part {
        let bytes = self.body.split_to(self.body.len().min(max_bytes));
        let offset = self.offset;
        self.offset += bytes.len() as u64;
        let message = match self.body.is_empty() {
            true => std::mem::take(&mut self.message),
            false => Bytes::new(),
        };
        Part { offset, bytes, message }
    }
}

impl<F: CorrelatedFrame> FrameWriter<F> {
    /// Creates a writer without messages.
    pub fn new(stream: OwnedWriteHalf) -> Self {
        Self {
            frames: FramedWrite::new(stream, FrameCodec::new()),
            long: VecDeque::new(),
            paced: VecDeque::new(),
            written: Vec::new(),
        }
    }

    /// Writes a message, or keeps it for [`feed_part`](Self::feed_part) if it is long. After
    /// [`WireError::TooLong`], other messages can still be written.
    pub async fn feed(&mut self, frame: F) -> Result<(), WireError> {
        let length_bytes = frame.body_bytes();
        if length_bytes <= PART_BYTES {
            return self.frames.feed(frame).await;
        }
        if length_bytes > MAX_BODY_BYTES {
            return Err(WireError::TooLong { length_bytes, limit_bytes: MAX_BODY_BYTES });
        }
        self.long.push_back(LongMessage::new(frame));
        Ok(())
    }

    /// Keeps a message whose parts wait for turns on the link, for
    /// [`feed_paced_part`](Self::feed_paced_part).
    pub fn add_paced(&mut self, frame: F, transfer: Transfer) -> Result<(), WireError> {
        let length_bytes = frame.body_bytes();
        if length_bytes > MAX_BODY_BYTES {
            return Err(WireError::TooLong { length_bytes, limit_bytes: MAX_BODY_BYTES });
        }
        transfer.set_bytes(length_bytes);
        let index = self.paced.partition_point(|it| it.transfer.order() <= transfer.order());
        self.paced.insert(index, PacedMessage { message: LongMessage::new(frame), transfer });
        Ok(())
    }

    /// Whether messages wait for turns on the link.
    pub fn has_paced(&self) -> bool {
        !self.paced.is_empty()
    }

    /// Waits until the next part of the first message may be sent. Dropping the future loses no turn.
    pub async fn paced_turn(&mut self) {
        match self.paced.front_mut() {
            Some(first) => {
                let bytes = first.message.body.len().min(PACED_PART_BYTES);
                first.transfer.turn(bytes).await;
            }
            None => std::future::pending().await,
        }
    }

    /// Writes the next part of the first message that waits, for which there was a turn.
    pub async fn feed_paced_part(&mut self) -> Result<(), WireError> {
        let Some(first) = self.paced.front_mut() else {
            return Ok(());
        };
        let correlation = first.message.correlation;
        let part = first.message.next_part(PACED_PART_BYTES);
        if first.message.body.is_empty() {
            self.written.extend(self.paced.pop_front().map(|it| it.transfer));
        }
        self.frames.feed(F::from_part(correlation, part)).await
    }

    /// Drops a message that is no longer wanted and waits for turns on the link.
    pub fn forget(&mut self, correlation: u64) {
        self.paced.retain(|it| it.message.correlation != correlation);
    }

    /// Whether parts of long messages are left.
    pub fn has_parts(&self) -> bool {
        !self.long.is_empty()
    }

    /// Writes the next part of a long message, if there is one, or a cancellation if the message is
    /// no longer wanted.
    pub async fn feed_part(&mut self, is_wanted: impl Fn(u64) -> bool) -> Result<(), WireError> {
        let Some(mut long) = self.long.pop_front() else {
            return Ok(());
        };
        let correlation = long.correlation;
        if !is_wanted(correlation) {
            return self.frames.feed(F::new(correlation, F::cancel())).await;
        }
        let part = long.next_part(PART_BYTES);
        self.frames.feed(F::from_part(correlation, part)).await?;
        if !long.body.is_empty() {
            self.long.push_back(long);
        }
        Ok(())
    }

    /// Sends what has been written.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        self.frames.flush().await?;
        self.written.clear();
        Ok(())
    }

    /// Sends what has been written, and closes this side of the connection.
    pub async fn close(mut self) {
        if let Err(error) = self.frames.close().await {
            log::debug!(event = "connection_ended", reason:% = error; "");
        }
    }
}
