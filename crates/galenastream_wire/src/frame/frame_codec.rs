//! Reads and writes frames on a connection.

use std::{io, marker::PhantomData};

use prost::{
    Message,
    bytes::{Bytes, BytesMut},
};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{MAX_FRAME_BYTES, PeerFrame, WireError};

/// Reads and writes frames of one message type, each behind its length. Use it with `Framed`.
///
/// After an error the stream has no known position: close the connection.
#[derive(Debug)]
pub struct FrameCodec<M> {
    frames: LengthDelimitedCodec,
    message: PhantomData<M>,
}

/// Reads and writes [`PeerFrame`]s.
pub type PeerCodec = FrameCodec<PeerFrame>;

impl<M> FrameCodec<M> {
    /// Creates a codec that accepts frames of up to [`MAX_FRAME_BYTES`].
    pub fn new() -> Self {
        let mut builder = LengthDelimitedCodec::builder();
        builder.max_frame_length(MAX_FRAME_BYTES);
        Self { frames: builder.new_codec(), message: PhantomData }
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
        let Some(bytes) =
            self.frames.decode(buffer).map_err(|it| too_long(&it, announced_bytes))?
        else {
            return Ok(None);
        };
        // Bodies share the frame's memory instead of being copied.
        Ok(Some(M::decode(bytes.freeze())?))
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<M>, WireError> {
        if let Some(frame) = self.decode(buffer)? {
            return Ok(Some(frame));
        }
        if buffer.is_empty() {
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
