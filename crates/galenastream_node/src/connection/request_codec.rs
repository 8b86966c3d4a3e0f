//! HTTP/1.1 codec for the connections of callers.
//!
//! The server of hyper, and that of `volo-http` on top of it, start a pipelined request only after
//! the previous one is answered, so that callers wait for the sum of all service times. This codec
//! yields requests as they arrive. It parses with `httparse`, as hyper does.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use galenastream_adapter::CallerLimits;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri, Version, header};
use httparse::Status;
use tokio_util::codec::{Decoder, Encoder};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 128;

/// Maximum length of a line in a chunked body: the size of a chunk with its extensions, or a
/// trailer.
const MAX_CHUNK_LINE_BYTES: usize = 1_024;

/// Sizes up to which a request is read while there is no config. Longer ones are neither read nor
/// refused for good.
const MAX_HEADER_BYTES_WITHOUT_CONFIG: usize = 16 * 1024;
const MAX_BODY_BYTES_WITHOUT_CONFIG: usize = 1024 * 1024;

/// An item read from a caller's connection.
#[derive(Debug)]
pub(super) enum Incoming {
    /// A complete request.
    Request(Box<Request<Bytes>>),
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
    /// The bytes are not valid HTTP/1, or the length of the body is ambiguous.
    Malformed,
    /// The headers are longer than the config allows.
    HeadersTooLong,
    /// The body is longer than the config allows.
    BodyTooLong,
    /// The request is long, and there is no config that says whether it is too long.
    LimitsUnknown,
}

/// An item written to a caller's connection.
#[derive(Debug)]
pub(super) enum Outgoing {
    /// A response.
    Response(Response<Bytes>),
    /// `100 Continue`.
    Continue,
}

/// Decodes requests, with the limits of the config in force, and encodes responses.
#[derive(Debug)]
pub(super) struct RequestCodec<F> {
    /// Returns the limits in force; `None` before the first config.
    limits_in_force: F,
    /// The limits of the request that is read: those in force at its head, or higher ones that came
    /// into force since.
    limits: Option<CallerLimits>,
    state: ReadState,
}

#[derive(Debug)]
enum ReadState {
    Head,
    Sized { head: Box<Request<()>>, length: usize },
    Chunked { head: Box<Request<()>>, body: BytesMut, step: ChunkStep },
    Invalid,
}

#[derive(Debug, Clone, Copy)]
enum ChunkStep {
    Size,
    Data { remaining: usize },
    DataEnd,
    Trailers,
}

impl<F: Fn() -> Option<CallerLimits>> RequestCodec<F> {
    pub(super) fn new(limits_in_force: F) -> Self {
        Self { limits_in_force, limits: None, state: ReadState::Head }
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
        let error = match error {
            RequestError::HeadersTooLong | RequestError::BodyTooLong if self.limits.is_none() => {
                RequestError::LimitsUnknown
            }
            error => error,
        };
        Some(Incoming::Invalid { error, head })
    }

    fn read_head(&mut self, buffer: &mut BytesMut) -> Option<Incoming> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(buffer) {
            Ok(Status::Complete(length)) => length,
            Ok(Status::Partial) if buffer.len() > self.max_header_bytes() => {
                return self.fail(RequestError::HeadersTooLong);
            }
            Ok(Status::Partial) => return None,
            Err(_) => return self.fail(RequestError::Malformed),
        };
        if length > self.max_header_bytes() {
            return self.fail(RequestError::HeadersTooLong);
        }
        let Some(head) = build_head(&parsed) else {
            return self.fail(RequestError::Malformed);
        };
        buffer.advance(length);
        let expects_continue = head.headers().contains_key(header::EXPECT);
        let head = Box::new(head);
        match body_framing(head.headers()) {
            Some(Framing::Sized(length)) if length > self.max_body_bytes() => {
                return self.fail_after_head(RequestError::BodyTooLong, head);
            }
            Some(Framing::Sized(length)) => self.state = ReadState::Sized { head, length },
            Some(Framing::Chunked) => {
                let (body, step) = (BytesMut::new(), ChunkStep::Size);
                self.state = ReadState::Chunked { head, body, step };
            }
            None => return self.fail_after_head(RequestError::Malformed, head),
        }
        if expects_continue {
            return Some(Incoming::ExpectsContinue);
        }
        self.read_body(buffer)
    }

    fn read_body(&mut self, buffer: &mut BytesMut) -> Option<Incoming> {
        match std::mem::replace(&mut self.state, ReadState::Head) {
            // The first config came into force while the body arrived.
            ReadState::Sized { head, length } if length > self.max_body_bytes() => {
                self.fail_after_head(RequestError::BodyTooLong, head)
            }
            ReadState::Sized { head, length } if buffer.len() < length => {
                self.state = ReadState::Sized { head, length };
                None
            }
            ReadState::Sized { head, length } => {
                let body = buffer.split_to(length).freeze();
                Some(Incoming::Request(Box::new(head.map(|()| body))))
            }
            ReadState::Chunked { head, mut body, mut step } => {
                match read_chunks(buffer, &mut body, &mut step, self.max_body_bytes()) {
                    Ok(true) => Some(Incoming::Request(Box::new(head.map(|()| body.freeze())))),
                    Ok(false) => {
                        self.state = ReadState::Chunked { head, body, step };
                        None
                    }
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
            ReadState::Head if buffer.is_empty() => None,
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
        let Outgoing::Response(response) = outgoing else {
            buffer.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            return Ok(());
        };
        let status = response.status();
        let reason = status.canonical_reason().unwrap_or("Unknown");
        buffer.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).as_bytes());
        for (name, value) in response.headers() {
            buffer.extend_from_slice(name.as_str().as_bytes());
            buffer.extend_from_slice(b": ");
            buffer.extend_from_slice(value.as_bytes());
            buffer.extend_from_slice(b"\r\n");
        }
        let has_no_body = status.as_u16() == 204 || status.as_u16() == 304;
        if has_no_body {
            buffer.extend_from_slice(b"\r\n");
            return Ok(());
        }
        let length = response.body().len();
        buffer.extend_from_slice(format!("content-length: {length}\r\n\r\n").as_bytes());
        buffer.extend_from_slice(response.body());
        Ok(())
    }
}

fn build_head(parsed: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    let method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    let uri: Uri = parsed.path?.parse().ok()?;
    let mut head = Request::new(());
    *head.method_mut() = method;
    *head.uri_mut() = uri;
    *head.version_mut() = if parsed.version? == 0 { Version::HTTP_10 } else { Version::HTTP_11 };
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        head.headers_mut().append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    Some(head)
}

enum Framing {
    Sized(usize),
    Chunked,
}

/// How the body is delimited. Returns `None` if the headers are invalid or ambiguous: another
/// server could read an ambiguous message differently, which permits request smuggling.
fn body_framing(headers: &HeaderMap) -> Option<Framing> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next();
    if lengths.next().is_some() {
        return None;
    }
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next(), length) {
        (None, _, None) => Some(Framing::Sized(0)),
        (None, _, Some(length)) => {
            let digits = length.to_str().ok()?.trim();
            let is_number = digits.bytes().all(|it| it.is_ascii_digit());
            is_number.then(|| digits.parse().ok().map(Framing::Sized)).flatten()
        }
        (Some(coding), None, None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Some(Framing::Chunked)
        }
        _ => None,
    }
}

/// Reads the chunks that have arrived. Returns whether the body is complete.
fn read_chunks(
    buffer: &mut BytesMut,
    body: &mut BytesMut,
    step: &mut ChunkStep,
    max_body_bytes: usize,
) -> Result<bool, RequestError> {
    loop {
        match *step {
            ChunkStep::Size => match httparse::parse_chunk_size(buffer) {
                Ok(Status::Complete((line, size))) => {
                    let size = usize::try_from(size).map_err(|_| RequestError::BodyTooLong)?;
                    if body.len().saturating_add(size) > max_body_bytes {
                        return Err(RequestError::BodyTooLong);
                    }
                    buffer.advance(line);
                    *step = match size {
                        0 => ChunkStep::Trailers,
                        remaining => ChunkStep::Data { remaining },
                    };
                }
                Ok(Status::Partial) if buffer.len() > MAX_CHUNK_LINE_BYTES => {
                    return Err(RequestError::Malformed);
                }
                Ok(Status::Partial) => return Ok(false),
                Err(_) => return Err(RequestError::Malformed),
            },
            ChunkStep::Data { remaining } => {
                let part = remaining.min(buffer.len());
                body.extend_from_slice(&buffer.split_to(part));
                if part < remaining {
                    *step = ChunkStep::Data { remaining: remaining - part };
                    return Ok(false);
                }
                *step = ChunkStep::DataEnd;
            }
            ChunkStep::DataEnd => {
                if buffer.len() < 2 {
                    return Ok(false);
                }
                if &buffer[..2] != b"\r\n" {
                    return Err(RequestError::Malformed);
                }
                buffer.advance(2);
                *step = ChunkStep::Size;
            }
            ChunkStep::Trailers => {
                let Some(end) = buffer.windows(2).position(|it| it == b"\r\n") else {
                    return match buffer.len() > MAX_CHUNK_LINE_BYTES {
                        true => Err(RequestError::Malformed),
                        false => Ok(false),
                    };
                };
                buffer.advance(end + 2);
                if end == 0 {
                    return Ok(true);
                }
            }
        }
    }
}
