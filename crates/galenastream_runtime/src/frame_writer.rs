//! Writing of frames to another node.
//!
//! Load pattern: a few long bodies among many short messages. The long ones are sent in parts, in
//! turns with the others, so that these do not wait for a whole body.

use std::collections::VecDeque;

use bytes::Bytes;
use futures::SinkExt;
use galenastream_wire::{CorrelatedFrame, FrameCodec, MAX_FRAME_BYTES, Part, WireError};
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::FramedWrite;

use crate::MAX_BODY_BYTES;

/// The longest body that is sent in one frame. Leaves room for the headers. Nodes of versions
/// without parts take bodies of up to this length.
const MAX_WHOLE_BYTES: usize = MAX_FRAME_BYTES - 256 * 1024;

/// The size of the parts of longer bodies.
const PART_BYTES: usize = 64 * 1024;

/// Writes messages to another node, long ones in parts.
#[derive(Debug)]
pub struct FrameWriter<F: CorrelatedFrame> {
    frames: FramedWrite<OwnedWriteHalf, FrameCodec<F>>,
    long: VecDeque<LongMessage>,
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

impl<F: CorrelatedFrame> FrameWriter<F> {
    /// Creates a writer without messages.
    pub fn new(stream: OwnedWriteHalf) -> Self {
        Self { frames: FramedWrite::new(stream, FrameCodec::new()), long: VecDeque::new() }
    }

    /// Writes a message, or keeps it for [`feed_part`](Self::feed_part) if it is long. After
    /// [`WireError::TooLong`], other messages can still be written.
    pub async fn feed(&mut self, mut frame: F) -> Result<(), WireError> {
        let length_bytes = frame.body_bytes();
        if length_bytes <= MAX_WHOLE_BYTES {
            return self.frames.feed(frame).await;
        }
        if length_bytes > MAX_BODY_BYTES {
            return Err(WireError::TooLong { length_bytes, limit_bytes: MAX_BODY_BYTES });
        }
        let (correlation, body) = (frame.correlation(), frame.take_body());
        let message = Bytes::from(frame.encode_to_vec());
        self.long.push_back(LongMessage { correlation, offset: 0, body, message });
        Ok(())
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
        let bytes = long.body.split_to(long.body.len().min(PART_BYTES));
        let offset = long.offset;
        long.offset += bytes.len() as u64;
        let message = match long.body.is_empty() {
            true => std::mem::take(&mut long.message),
            false => Bytes::new(),
        };
        self.frames.feed(F::from_part(correlation, Part { offset, bytes, message })).await?;
        if !long.body.is_empty() {
            self.long.push_back(long);
        }
        Ok(())
    }

    /// Sends what has been written.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        self.frames.flush().await
    }
}
