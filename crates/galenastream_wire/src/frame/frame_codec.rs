//! Length-delimited codec of protobuf messages.

use std::{io, marker::PhantomData};

use prost::{
    Message,
    bytes::{Bytes, BytesMut},
};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::WireError;

/// The maximum size of an encoded message, in bytes. Longer bodies are sent in
/// [`Part`](crate::Part)s.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Codec for frames of one message type: a big-endian `u32` length, then the encoded message.
///
/// Use it with `tokio_util`'s `Framed`. Close the connection after an error: the position in the
/// stream is unknown from then on.
#[derive(Debug)]
pub struct FrameCodec<M> {
    framing: LengthDelimitedCodec,
    /// Whether the length of a frame has been consumed, but not its message yet.
    is_inside_frame: bool,
    marker: PhantomData<M>,
}

impl<M> FrameCodec<M> {
    /// Creates a codec that accepts messages of up to [`MAX_FRAME_BYTES`].
    pub fn new() -> Self {
        let mut builder = LengthDelimitedCodec::builder();
        builder.max_frame_length(MAX_FRAME_BYTES);
        Self { framing: builder.new_codec(), is_inside_frame: false, marker: PhantomData }
    }
}

impl<M> Default for FrameCodec<M> {
    fn default() -> Self {
        Self::new()
    }
}

impl<M: Message + Default> Decoder for FrameCodec<M> {
    type Item = M;
    type Error = WireError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<M>, WireError> {
        let announced_bytes = read_length_prefix(buffer);
        let available_bytes = buffer.len();
        let Some(bytes) =
            self.framing.decode(buffer).map_err(|it| to_wire_error(&it, announced_bytes))?
        else {
            self.is_inside_frame |= announced_bytes > 0 && buffer.len() < available_bytes;
            return Ok(None);
        };
        self.is_inside_frame = false;
        // Decoding from `Bytes` lets bodies share the frame's memory instead of copying it.
        Ok(Some(M::decode(bytes.freeze())?))
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<M>, WireError> {
        if let Some(frame) = self.decode(buffer)? {
            return Ok(Some(frame));
        }
        if buffer.is_empty() && !self.is_inside_frame {
            return Ok(None);
        }
        Err(WireError::Malformed { reason: "the connection ended inside a frame".to_owned() })
    }
}

impl<M: Message> Encoder<M> for FrameCodec<M> {
    type Error = WireError;

    fn encode(&mut self, frame: M, buffer: &mut BytesMut) -> Result<(), WireError> {
        let length_bytes = frame.encoded_len();
        if length_bytes > MAX_FRAME_BYTES {
            return Err(WireError::TooLong { length_bytes, limit_bytes: MAX_FRAME_BYTES });
        }
        let bytes = Bytes::from(frame.encode_to_vec());
        self.framing.encode(bytes, buffer).map_err(|it| to_wire_error(&it, length_bytes))
    }
}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        Self::Connection { reason: error.to_string() }
    }
}

/// Reads the first four bytes as a length prefix. Returns 0 if there are fewer.
fn read_length_prefix(buffer: &[u8]) -> usize {
    match buffer {
        [a, b, c, d, ..] => u32::from_be_bytes([*a, *b, *c, *d]) as usize,
        _ => 0,
    }
}

fn to_wire_error(error: &io::Error, length_bytes: usize) -> WireError {
    if error.kind() == io::ErrorKind::InvalidData || error.kind() == io::ErrorKind::InvalidInput {
        return WireError::TooLong { length_bytes, limit_bytes: MAX_FRAME_BYTES };
    }
    WireError::Connection { reason: error.to_string() }
}
