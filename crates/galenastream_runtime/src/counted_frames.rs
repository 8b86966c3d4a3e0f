//! Frames whose memory is counted while they arrive.

use galenastream_wire::{CorrelatedFrame, FrameCodec, WireError};
use prost::bytes::BytesMut;
use tokio_util::codec::Decoder;

use crate::{ArrivalRoom, MemoryReservation};

/// The size up to which the buffer of a connection is not counted, and up to which it is kept when it is
/// empty. Most frames are shorter.
const BUFFER_BYTES: usize = 8 * 1024;

/// Decodes frames, and counts what the buffer of their connection takes for one that has not arrived whole.
#[derive(Debug)]
pub(crate) struct CountedFrames<F: CorrelatedFrame> {
    codec: FrameCodec<F>,
    counted: Option<CountedBuffer>,
}

#[derive(Debug)]
struct CountedBuffer {
    room: ArrivalRoom,
    reservation: MemoryReservation,
}

impl<F: CorrelatedFrame> CountedFrames<F> {
    /// Creates a decoder whose buffer is not counted.
    pub(crate) fn new() -> Self {
        Self { codec: FrameCodec::new(), counted: None }
    }

    /// Counts the buffer in `room`.
    pub(crate) fn set_room(&mut self, room: ArrivalRoom) {
        let reservation = room.reservation();
        self.counted = Some(CountedBuffer { room, reservation });
    }
}

impl<F: CorrelatedFrame> Decoder for CountedFrames<F> {
    type Item = F;
    type Error = WireError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<F>, WireError> {
        let was_empty = buffer.is_empty();
        if let Some(frame) = self.codec.decode(buffer)? {
            return Ok(Some(frame));
        }
        if let Some(counted) = &mut self.counted {
            counted.update(buffer, was_empty)?;
        }
        Ok(None)
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<F>, WireError> {
        self.codec.decode_eof(buffer)
    }
}

impl CountedBuffer {
    /// Counts the buffer after all whole frames have been taken out of it.
    fn update(&mut self, buffer: &mut BytesMut, was_empty: bool) -> Result<(), WireError> {
        if was_empty && buffer.capacity() > BUFFER_BYTES {
            *buffer = BytesMut::new();
        }
        let bytes = buffer.capacity();
        if bytes <= BUFFER_BYTES {
            self.reservation = self.room.reservation();
        } else if !self.room.extend(&mut self.reservation, bytes) {
            let reason = format!("there is no memory for a frame of {bytes} bytes");
            return Err(WireError::Connection { reason });
        }
        if !was_empty {
            self.room.record_part(self.reservation.bytes());
        }
        Ok(())
    }
}
