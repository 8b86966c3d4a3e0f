//! Reading of chunked bodies.

use bytes::{Buf, Bytes, BytesMut};
use galenastream_runtime::{ArrivalRoom, MemoryReservation};

use super::{body_framing::number, request_codec::RequestError};

/// The memory with which a body begins.
const MIN_BYTES: usize = 512;

/// What is read next of a chunked body.
#[derive(Debug, Clone, Copy)]
enum ChunkStep {
    Size,
    Data { remaining: usize },
    DataEnd,
    Trailers,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct ChunkLimits {
    /// Maximum length of the size of a chunk with its extensions, or of a trailer.
    pub(super) max_line_bytes: usize,
    pub(super) max_body_bytes: usize,
}

/// A chunked body, as far as it has arrived.
#[derive(Debug)]
pub(super) struct ChunkedBody {
    bytes: Vec<u8>,
    step: ChunkStep,
    reservation: MemoryReservation,
}

impl ChunkedBody {
    /// Creates an empty body, whose memory is taken from `reservation`.
    pub(super) const fn new(reservation: MemoryReservation) -> Self {
        Self { bytes: Vec::new(), step: ChunkStep::Size, reservation }
    }

    /// How much memory is reserved for it.
    pub(super) const fn reserved_bytes(&self) -> usize {
        self.reservation.bytes()
    }

    /// Returns the body. Its memory counts as reserved until the last reference to it is dropped.
    pub(super) fn finish(self) -> Bytes {
        self.reservation.into_body(self.bytes.into())
    }

    /// Reads the chunks that have arrived. Returns whether the body is complete.
    pub(super) fn read(
        &mut self,
        buffer: &mut BytesMut,
        searched: &mut usize,
        room: &ArrivalRoom,
        limits: ChunkLimits,
    ) -> Result<bool, RequestError> {
        loop {
            match self.step {
                ChunkStep::Size => {
                    let Some(size) = chunk_size(buffer)? else {
                        line_end(buffer, searched, limits.max_line_bytes)?;
                        return Ok(false);
                    };
                    if self.bytes.len().saturating_add(size) > limits.max_body_bytes {
                        return Err(RequestError::BodyTooLong);
                    }
                    let Some(end) = line_end(buffer, searched, limits.max_line_bytes)? else {
                        return Ok(false);
                    };
                    if buffer[..end].iter().any(|it| matches!(it, b'\r' | b'\n')) {
                        return Err(RequestError::Malformed);
                    }
                    buffer.advance(end + 2);
                    self.step = match size {
                        0 => ChunkStep::Trailers,
                        remaining => ChunkStep::Data { remaining },
                    };
                }
                ChunkStep::Data { remaining } => {
                    let part = remaining.min(buffer.len());
                    self.reserve(part, room, limits.max_body_bytes)?;
                    self.bytes.extend_from_slice(&buffer.split_to(part));
                    if part < remaining {
                        self.step = ChunkStep::Data { remaining: remaining - part };
                        return Ok(false);
                    }
                    self.step = ChunkStep::DataEnd;
                }
                ChunkStep::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(false);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(RequestError::Malformed);
                    }
                    buffer.advance(2);
                    self.step = ChunkStep::Size;
                }
                ChunkStep::Trailers => {
                    let Some(end) = line_end(buffer, searched, limits.max_line_bytes)? else {
                        return Ok(false);
                    };
                    if end > 0 && !is_field_line(&buffer[..end]) {
                        return Err(RequestError::Malformed);
                    }
                    buffer.advance(end + 2);
                    if end == 0 {
                        return Ok(true);
                    }
                }
            }
        }
    }

    /// Makes room for `part` more bytes. The memory grows by doubling, as far as a body may be as long.
    fn reserve(
        &mut self,
        part: usize,
        room: &ArrivalRoom,
        max_body_bytes: usize,
    ) -> Result<(), RequestError> {
        let needed = self.bytes.len() + part;
        if needed <= self.bytes.capacity() {
            return Ok(());
        }
        let doubled = (2 * self.bytes.capacity()).clamp(MIN_BYTES, max_body_bytes.max(MIN_BYTES));
        let capacity = needed.max(doubled);
        if !room.extend(&mut self.reservation, capacity) {
            return Err(RequestError::NoMemory);
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}

/// The size at the front of a chunk; `None` if it may go on in bytes that have not arrived. The
/// parser of `httparse` takes an empty line for the last chunk and refuses leading zeros.
fn chunk_size(bytes: &[u8]) -> Result<Option<usize>, RequestError> {
    let digit_count = bytes.iter().take_while(|it| it.is_ascii_hexdigit()).count();
    let (digits, rest) = bytes.split_at(digit_count);
    let next = rest.iter().find(|it| !matches!(it, b' ' | b'\t'));
    match next {
        Some(b';' | b'\r') if !digits.is_empty() => Ok(Some(number(digits, 16))),
        Some(_) => Err(RequestError::Malformed),
        None if digits.is_empty() && !rest.is_empty() => Err(RequestError::Malformed),
        None => Ok(None),
    }
}

/// Whether a line of trailers is a name, a colon and a value. Another server could take a line that
/// is not for the next request.
fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|it| *it == b':') else {
        return false;
    };
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let is_name_byte = |it: &u8| it.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(it);
    let is_value_byte = |it: &u8| *it == b'\t' || !it.is_ascii_control();
    !name.is_empty() && name.iter().all(is_name_byte) && value.iter().all(is_value_byte)
}

/// The length of the line at the front of the buffer, or `None` if its end has not arrived.
fn line_end(
    buffer: &BytesMut,
    searched: &mut usize,
    max_bytes: usize,
) -> Result<Option<usize>, RequestError> {
    let allowed = &buffer[..buffer.len().min(max_bytes.saturating_add(2))];
    // The end may begin with the last byte that was searched.
    let from = searched.saturating_sub(1).min(allowed.len());
    if let Some(end) = allowed[from..].windows(2).position(|it| it == b"\r\n") {
        *searched = 0;
        return Ok(Some(from + end));
    }
    *searched = allowed.len();
    if allowed.len() == max_bytes.saturating_add(2) {
        return Err(RequestError::HeadersTooLong);
    }
    Ok(None)
}
