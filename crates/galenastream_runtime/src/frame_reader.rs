//! Reading of frames from another node.
//!
//! Load pattern: long bodies arrive in parts, from many nodes at once, and a node may stop in the
//! middle of one or send more than it should. They are held within the process's budget.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use galenastream_utils::FastMap;
use galenastream_wire::{CorrelatedFrame, Part, WireError};
use tokio::{net::tcp::OwnedReadHalf, time::timeout};
use tokio_util::codec::FramedRead;

use crate::{
    ArrivalRoom, BodyBuffer, BodyTooLong, MAX_BODY_BYTES, MemoryBudget,
    counted_frames::CountedFrames,
};

/// Maximum number of messages of one connection of which only some parts have arrived.
const MAX_UNFINISHED: usize = 256;

/// What a message takes beside its body while parts are missing.
const UNFINISHED_BYTES: usize = 2 * 1024;

/// Maximum time without any frame while parts are missing. Nodes exchange statuses every second.
const PART_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads messages from another node, and puts long ones together from their parts.
#[derive(Debug)]
pub struct FrameReader<F: CorrelatedFrame> {
    frames: FramedRead<OwnedReadHalf, CountedFrames<F>>,
    budget: Arc<MemoryBudget>,
    unfinished: FastMap<u64, BodyBuffer>,
}

/// What a [`FrameReader`] has read.
#[derive(Debug)]
pub enum ReceivedFrame<F> {
    /// A complete message.
    Whole(F),
    /// A part of a message that is not complete yet, or was refused before.
    Part {
        /// The correlation id of the message.
        correlation: u64,
    },
    /// A message that is too long. Its further parts are ignored.
    TooLong {
        /// The correlation id of the message.
        correlation: u64,
        /// How long its body is at least.
        bytes: usize,
    },
}

impl<F: CorrelatedFrame> FrameReader<F> {
    /// Creates a reader that holds bodies within `budget`.
    pub fn new(stream: OwnedReadHalf, budget: Arc<MemoryBudget>) -> Self {
        let frames = FramedRead::new(stream, CountedFrames::new());
        Self { frames, budget, unfinished: FastMap::default() }
    }

    /// Counts frames that arrive in `room`: the other side is not trusted.
    #[must_use]
    pub fn with_room(mut self, room: ArrivalRoom) -> Self {
        self.frames.decoder_mut().set_room(room);
        self
    }

    /// Reads the next frame. Returns `None` at the end of the connection. Close the connection after
    /// an error.
    pub async fn next(&mut self) -> Option<Result<ReceivedFrame<F>, WireError>> {
        let next = match self.unfinished.is_empty() {
            true => self.frames.next().await?,
            false => match timeout(PART_TIMEOUT, self.frames.next()).await {
                Ok(next) => next?,
                Err(_) => Err(WireError::Connection {
                    reason: "the rest of a message did not arrive".to_owned(),
                }),
            },
        };
        Some(next.and_then(|it| self.receive(it)))
    }

    /// Drops the parts of a message that is no longer wanted.
    pub fn forget(&mut self, correlation: u64) {
        self.unfinished.remove(&correlation);
    }

    /// Drops the parts of all messages that are no longer wanted. The sender may stop in the middle of
    /// a message that was cancelled.
    pub fn retain(&mut self, is_wanted: impl Fn(u64) -> bool) {
        self.unfinished.retain(|correlation, _| is_wanted(*correlation));
    }

    fn receive(&mut self, mut frame: F) -> Result<ReceivedFrame<F>, WireError> {
        let correlation = frame.correlation();
        let too_long = |error: BodyTooLong| {
            let bytes = error.bytes;
            Ok(ReceivedFrame::TooLong { correlation, bytes })
        };
        if let Some(part) = frame.take_part() {
            let message = part.message.clone();
            let body = match self.add(correlation, part) {
                Ok(Some(body)) => body,
                Ok(None) => return Ok(ReceivedFrame::Part { correlation }),
                Err(error) => return too_long(error),
            };
            frame = F::decode(message)?;
            frame.set_body(body.finish());
            return Ok(ReceivedFrame::Whole(frame));
        }
        if frame.body_bytes() > 0 {
            let mut body = self.buffer();
            if let Err(error) = body.push(frame.take_body()) {
                return too_long(error);
            }
            frame.set_body(body.finish());
        }
        Ok(ReceivedFrame::Whole(frame))
    }

    /// Adds a part to its message. Returns the body if the part is the last one.
    fn add(&mut self, correlation: u64, part: Part) -> Result<Option<BodyBuffer>, BodyTooLong> {
        let is_last = !part.message.is_empty();
        let begun = self.unfinished.remove(&correlation);
        let mut body = match begun {
            Some(body) if body.len() as u64 == part.offset => body,
            None if part.offset == 0 && self.unfinished.len() < MAX_UNFINISHED => {
                self.buffer().with_overhead(UNFINISHED_BYTES)
            }
            None if part.offset == 0 => return Err(BodyTooLong { bytes: part.bytes.len() }),
            // The message was refused or is no longer wanted.
            Some(_) | None => return Ok(None),
        };
        body.push(part.bytes)?;
        if is_last {
            return Ok(Some(body));
        }
        self.unfinished.insert(correlation, body);
        Ok(None)
    }

    fn buffer(&self) -> BodyBuffer {
        BodyBuffer::new(MAX_BODY_BYTES).with_budget(&self.budget)
    }
}
