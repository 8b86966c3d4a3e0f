//! HTTP/1.1 codec for the connections of callers.
//!
//! The server of hyper, and that of `volo-http` on top of it, start a pipelined request only after
//! the previous one is answered, so that callers wait for the sum of all service times. This codec
//! yields requests as they arrive. It parses with `httparse`, as hyper does.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use galenastream_adapter::CallerLimits;
use galenastream_runtime::{ArrivalRoom, MemoryReservation};
use http::{Request, Version, header};
use tokio_util::codec::{Decoder, Encoder};

use super::{
    body_framing::{Framing, body_framing},
    chunked_body::{ChunkLimits, ChunkedBody},
    outgoing::{Outgoing, encode_outgoing},
    request_head::{HeadError, ParsedHead, parse_head},
};
use crate::process::request_bytes;

/// Number of headers up to which a head is parsed without an allocation. Most have fewer.
const USUAL_MAX_HEADERS: usize = 128;

/// Sizes up to which a request is read while there is no config. Longer ones are neither read nor
/// refused for good.
const MAX_HEADER_BYTES_WITHOUT_CONFIG: usize = 16 * 1024;
const MAX_BODY_BYTES_WITHOUT_CONFIG: usize = 1024 * 1024;

/// The size at which the buffers of a connection begin. Most requests are shorter.
pub(super) const BUFFER_BYTES: usize = 4 * 1024;

/// How much of a chunked body is read at once.
const READ_BYTES: usize = 16 * 1024;

/// Bodies up to this size are handed on in the buffer of their connection. Longer ones leave it, since the
/// buffer would keep their memory.
const MAX_SHARED_BYTES: usize = 4 * 1024;

/// An item read from a caller's connection.
#[derive(Debug)]
pub(super) enum Incoming {
    /// A complete request, and the memory that it takes until its response is written.
    Request(Box<Request<Bytes>>, MemoryReservation),
    /// The caller waits for `100 Continue` before it sends the body.
    ExpectsContinue,
    /// The request cannot be read. Nothing that follows is read.
    Invalid {
        error: RequestError,
        /// The head, if it could be read.
        head: Option<Box<Request<()>>>,
    },
}

/// Why a request cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// The bytes are not valid HTTP/1, or the length of the body is ambiguous: RFC 9112 asks for
    /// 400 (sections 2.2, 3, 5.1 and 6.3) or permits it (both a length and a transfer coding, 6.1).
    Malformed,
    /// The headers, or a line of a chunked body, are longer than the config allows for headers.
    HeadersTooLong,
    /// The body is longer than the config allows.
    BodyTooLong,
    /// The request is long, and there is no config that says whether it is too long.
    LimitsUnknown,
    /// The body is long, and the memory for bodies of callers has no room for it now.
    NoMemory,
    /// The request is valid, and the node cannot represent or decode it.
    Unsupported,
}

/// Decodes requests, with the limits of the config in force, and encodes responses.
#[derive(Debug)]
pub(super) struct RequestCodec<F> {
    /// Returns the limits in force; `None` before the first config.
    limits_in_force: F,
    room: ArrivalRoom,
    /// The memory of a head that arrives, and then that of its request.
    arriving: MemoryReservation,
    /// The limits of the request that is read: those in force at its head, or higher ones that came
    /// into force since.
    limits: Option<CallerLimits>,
    /// Number of bytes at the front of the buffer in which the end of a long head, or of a line of a
    /// chunked body, was not found, so that slowly arriving bytes are not searched repeatedly.
    searched: usize,
    /// Whether the buffer has grown beyond what a connection may keep while no request arrives.
    has_long_buffer: bool,
    state: ReadState,
}

#[derive(Debug)]
enum ReadState {
    Head,
    /// The body is collected in the buffer of the connection.
    Sized {
        head: Box<Request<()>>,
        length: usize,
        reservation: MemoryReservation,
    },
    Chunked {
        head: Box<Request<()>>,
        body: ChunkedBody,
    },
    Invalid,
}

impl<F> RequestCodec<F> {
    /// Whether the head of the next request has not been read.
    pub(super) const fn is_between_requests(&self) -> bool {
        matches!(self.state, ReadState::Head)
    }
}

impl<F: Fn() -> Option<CallerLimits>> RequestCodec<F> {
    pub(super) fn new(limits_in_force: F, room: ArrivalRoom) -> Self {
        let arriving = room.reservation();
        Self {
            limits_in_force,
            room,
            arriving,
            limits: None,
            searched: 0,
            has_long_buffer: false,
            state: ReadState::Head,
        }
    }

    fn max_header_bytes(&self) -> usize {
        self.limits.map_or(MAX_HEADER_BYTES_WITHOUT_CONFIG, |it| it.max_header_bytes)
    }

    fn max_body_bytes(&self) -> usize {
        self.limits.map_or(MAX_BODY_BYTES_WITHOUT_CONFIG, |it| it.max_body_bytes)
    }

    /// Takes over limits that came into force while the body arrives, unless they are lower: the
    /// request was allowed when the caller began it.
    fn raise_limits(&mut self) {
        let Some(in_force) = (self.limits_in_force)() else {
            return;
        };
        let known = self.limits.unwrap_or(in_force);
        self.limits = Some(CallerLimits {
            max_header_bytes: in_force.max_header_bytes.max(known.max_header_bytes),
            max_body_bytes: in_force.max_body_bytes.max(known.max_body_bytes),
            ..in_force
        });
    }

    fn fail(&mut self, error: RequestError) -> Option<Incoming> {
        self.end(error, None)
    }

    fn fail_after_head(&mut self, error: RequestError, head: Box<Request<()>>) -> Option<Incoming> {
        self.end(error, Some(head))
    }

    fn end(&mut self, error: RequestError, head: Option<Box<Request<()>>>) -> Option<Incoming> {
        self.state = ReadState::Invalid;
        self.arriving = self.room.reservation();
        let error = match error {
            RequestError::HeadersTooLong | RequestError::BodyTooLong if self.limits.is_none() => {
                RequestError::LimitsUnknown
            }
            error => error,
        };
        Some(Incoming::Invalid { error, head })
    }

    fn read_head(&mut self, buffer: &mut BytesMut) -> Option<Incoming> {
        let max_bytes = self.max_header_bytes();
        let allowed = &buffer[..buffer.len().min(max_bytes)];
        let parsed = match parse_head(allowed, &mut [httparse::EMPTY_HEADER; USUAL_MAX_HEADERS]) {
            Err(HeadError::TooManyHeaders) => self.read_long_head(allowed),
            parsed => parsed,
        };
        let (length, head) = match parsed {
            Ok(Some(parsed)) => parsed,
            Ok(None) if buffer.len() > max_bytes => {
                return self.fail(RequestError::HeadersTooLong);
            }
            Ok(None) => return self.wait_for_head(buffer.len()),
            Err(HeadError::Request(error)) => return self.fail(error),
            Err(HeadError::TooManyHeaders) => return self.fail(RequestError::Unsupported),
        };
        self.searched = 0;
        self.has_long_buffer |= length > BUFFER_BYTES;
        buffer.advance(length);
        let bytes = request_bytes(length, head.headers().len());
        if !self.room.extend(&mut self.arriving, bytes) {
            return self.fail_after_head(RequestError::NoMemory, head);
        }
        // RFC 9110, section 10.1.1: the expectation of an HTTP/1.0 request is ignored.
        let expects_continue =
            head.version() != Version::HTTP_10 && head.headers().contains_key(header::EXPECT);
        match body_framing(head.version(), head.headers()) {
            Ok(Framing::Sized(length)) if length > self.max_body_bytes() => {
                return self.fail_after_head(RequestError::BodyTooLong, head);
            }
            Ok(Framing::Sized(length)) => {
                let mut reservation = self.room.reservation();
                if !self.room.extend(&mut reservation, length) {
                    return self.fail_after_head(RequestError::NoMemory, head);
                }
                buffer.reserve(length.saturating_sub(buffer.len()));
                self.state = ReadState::Sized { head, length, reservation };
            }
            Ok(Framing::Chunked) => {
                if !self.room.extend(&mut self.arriving, bytes + READ_BYTES) {
                    return self.fail_after_head(RequestError::NoMemory, head);
                }
                self.has_long_buffer = true;
                let body = ChunkedBody::new(self.room.reservation());
                self.state = ReadState::Chunked { head, body };
            }
            Err(error) => return self.fail_after_head(error, head),
        }
        if expects_continue {
            return Some(Incoming::ExpectsContinue);
        }
        self.read_body(buffer)
    }

    /// Waits for the rest of a head, for which the buffer may grow to twice its size.
    fn wait_for_head(&mut self, arrived_bytes: usize) -> Option<Incoming> {
        if arrived_bytes >= BUFFER_BYTES && !self.room.extend(&mut self.arriving, 2 * arrived_bytes)
        {
            return self.fail(RequestError::NoMemory);
        }
        self.room.record_part(self.arriving.bytes());
        None
    }

    /// Waits for more of a chunked body. Its lines may be longer than what is read at once.
    fn wait_for_chunks(
        &mut self,
        buffer: &mut BytesMut,
        head: Box<Request<()>>,
        body: ChunkedBody,
    ) -> Option<Incoming> {
        if buffer.len() >= READ_BYTES {
            let bytes = self.arriving.bytes().max(request_bytes(0, 0) + 2 * buffer.len());
            if !self.room.extend(&mut self.arriving, bytes) {
                return self.fail_after_head(RequestError::NoMemory, head);
            }
        }
        self.room.record_part(self.arriving.bytes() + body.reserved_bytes());
        buffer.reserve(READ_BYTES.saturating_sub(buffer.len()));
        self.state = ReadState::Chunked { head, body };
        None
    }

    /// A complete request.
    fn complete(&mut self, head: Box<Request<()>>, body: Bytes) -> Option<Incoming> {
        let reservation = std::mem::replace(&mut self.arriving, self.room.reservation());
        Some(Incoming::Request(Box::new(head.map(|()| body)), reservation))
    }

    /// Parses a head with more headers than usual, once all of it is there.
    fn read_long_head(&mut self, bytes: &[u8]) -> Result<Option<ParsedHead>, HeadError> {
        // The end may begin with the last bytes that were searched.
        let unsearched = &bytes[self.searched.saturating_sub(2).min(bytes.len())..];
        self.searched = bytes.len();
        let has_end = unsearched.windows(2).any(|it| it == b"\n\n")
            || unsearched.windows(3).any(|it| it == b"\n\r\n");
        if !has_end {
            return Ok(None);
        }
        let max_headers = bytes.iter().filter(|it| **it == b'\n').count();
        parse_head(bytes, &mut vec![httparse::EMPTY_HEADER; max_headers])
    }

    fn read_body(&mut self, buffer: &mut BytesMut) -> Option<Incoming> {
        match std::mem::replace(&mut self.state, ReadState::Head) {
            // The first config came into force while the body arrived.
            ReadState::Sized { head, length, .. } if length > self.max_body_bytes() => {
                self.fail_after_head(RequestError::BodyTooLong, head)
            }
            ReadState::Sized { head, length, reservation } if buffer.len() < length => {
                self.room.record_part(self.arriving.bytes() + reservation.bytes());
                self.state = ReadState::Sized { head, length, reservation };
                None
            }
            ReadState::Sized { head, length, reservation } => {
                self.complete(head, reservation.into_body(take_body(buffer, length)))
            }
            ReadState::Chunked { head, mut body } => {
                let limits = ChunkLimits {
                    max_line_bytes: self.max_header_bytes(),
                    max_body_bytes: self.max_body_bytes(),
                };
                match body.read(buffer, &mut self.searched, &self.room, limits) {
                    Ok(true) => self.complete(head, body.finish()),
                    Ok(false) => self.wait_for_chunks(buffer, head, body),
                    Err(error) => self.fail_after_head(error, head),
                }
            }
            state @ (ReadState::Head | ReadState::Invalid) => {
                self.state = state;
                None
            }
        }
    }
}

impl<F: Fn() -> Option<CallerLimits>> Decoder for RequestCodec<F> {
    type Item = Incoming;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Incoming>> {
        Ok(match self.state {
            ReadState::Head if buffer.is_empty() => {
                if std::mem::take(&mut self.has_long_buffer) {
                    *buffer = BytesMut::with_capacity(BUFFER_BYTES);
                }
                None
            }
            ReadState::Head => {
                self.limits = (self.limits_in_force)();
                self.read_head(buffer)
            }
            ReadState::Sized { .. } | ReadState::Chunked { .. } => {
                self.raise_limits();
                self.read_body(buffer)
            }
            ReadState::Invalid => {
                buffer.clear();
                None
            }
        })
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> io::Result<Option<Incoming>> {
        // An incomplete request at the end of the stream is dropped.
        let incoming = self.decode(buffer)?;
        buffer.clear();
        Ok(incoming)
    }
}

impl<F> Encoder<Outgoing> for RequestCodec<F> {
    type Error = io::Error;

    fn encode(&mut self, outgoing: Outgoing, buffer: &mut BytesMut) -> io::Result<()> {
        encode_outgoing(&outgoing, buffer);
        Ok(())
    }
}

/// Takes a body off the front of the buffer.
fn take_body(buffer: &mut BytesMut, length: usize) -> Bytes {
    if length <= MAX_SHARED_BYTES {
        return buffer.split_to(length).freeze();
    }
    let rest = &buffer[length..];
    let mut next = BytesMut::with_capacity(rest.len().max(BUFFER_BYTES));
    next.extend_from_slice(rest);
    let mut body = std::mem::replace(buffer, next);
    body.truncate(length);
    body.freeze()
}
