//! Reads and writes frames on a connection.

use std::{io, marker::PhantomData};

use prost::{
    Message,
    bytes::{Bytes, BytesMut},
};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::WireError;

/// The longest frame that a node sends or accepts, in bytes: the largest body that a config allows
/// with its headers.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Reads and writes frames of one message type, each behind its length. Use it with `Framed`.
///
/// After an error the stream has no known position: close the connection.
#[derive(Debug)]
pub struct FrameCodec<M> {
    frames: LengthDelimitedCodec,
    /// Whether the length of a frame was read and its bytes are still missing.
    is_inside: bool,
    message: PhantomData<M>,
}

impl<M> FrameCodec<M> {
    /// Creates a codec that accepts frames of up to [`MAX_FRAME_BYTES`].
    pub fn new() -> Self {
        let mut builder = LengthDelimitedCodec::builder();
        builder.max_frame_length(MAX_FRAME_BYTES);
        Self { frames: builder.new_codec(), is_inside: false, message: PhantomData }
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
        let announced_bytes = announced_length(buffer);
        let available_bytes = buffer.len();
        let Some(bytes) =
            self.frames.decode(buffer).map_err(|it| too_long(&it, announced_bytes))?
        else {
            self.is_inside |= announced_bytes > 0 && buffer.len() < available_bytes;
            return Ok(None);
        };
        self.is_inside = false;
        // Bodies share the frame's memory instead of being copied.
        Ok(Some(M::decode(bytes.freeze())?))
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<M>, WireError> {
        if let Some(frame) = self.decode(buffer)? {
            return Ok(Some(frame));
        }
        if buffer.is_empty() && !self.is_inside {
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
        self.frames.encode(bytes, buffer).map_err(|it| too_long(&it, length_bytes))
    }
}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        Self::Connection { reason: error.to_string() }
    }
}

fn announced_length(buffer: &[u8]) -> usize {
    match buffer {
        [a, b, c, d, ..] => u32::from_be_bytes([*a, *b, *c, *d]) as usize,
        _ => 0,
    }
}

fn too_long(error: &io::Error, length_bytes: usize) -> WireError {
    if error.kind() == io::ErrorKind::InvalidData || error.kind() == io::ErrorKind::InvalidInput {
        return WireError::TooLong { length_bytes, limit_bytes: MAX_FRAME_BYTES };
    }
    WireError::Connection { reason: error.to_string() }
}
