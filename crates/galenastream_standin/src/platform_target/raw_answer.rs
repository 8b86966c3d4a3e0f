//! Answers of a [`RawTarget`](super::RawTarget).

/// How a [`RawTarget`](super::RawTarget) answers, until another answer is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RawAnswer {
    /// A head with one header whose value does not end.
    HeaderValue,
    /// A head whose headers do not end.
    Headers,
    /// A body without end, sent in chunks.
    ChunkedBody,
    /// A body without end, whose announced length is the largest possible one.
    SizedBody,
    /// A body without end and without length.
    UnsizedBody,
    /// A body in chunks, after which trailers do not end.
    Trailers,
    /// A body in chunks, of which the first one has an extension that does not end.
    ChunkExtension,
    /// A first line that does not end.
    StatusLine,
    /// Informational answers without end.
    Hints,
    /// A correct answer with a body of this many bytes and their number in `Content-Length`.
    Complete(usize),
    /// An empty answer with any status.
    Status {
        /// The status in the first line.
        code: &'static str,
        /// Whether an informational answer comes first.
        has_hints: bool,
    },
    /// A correct head of which only so many bytes are sent before the connection closes.
    CutHead(usize),
    /// A refusal of one request, and `Complete(0)` after it. The refusal comes once more on the same
    /// connection, in place of the next answer there.
    RefuseNext {
        /// Whether the refusal names the request.
        names_request: bool,
    },
}

impl RawAnswer {
    /// Whether the head ends in its first line, or before.
    pub(super) const fn has_no_headers(self) -> bool {
        matches!(self, Self::StatusLine | Self::Hints)
    }

    /// Returns the first line of the head, after an informational answer if there is one.
    pub(super) fn status_line(self) -> String {
        match self {
            Self::Status { code, has_hints } => {
                let hints = if has_hints { "HTTP/1.1 103 Early Hints\r\n\r\n" } else { "" };
                format!("{hints}HTTP/1.1 {code} Status\r\n")
            }
            Self::StatusLine => "HTTP/1.1 200 ".to_owned(),
            Self::Hints => String::new(),
            _ => "HTTP/1.1 200 OK\r\n".to_owned(),
        }
    }

    /// Returns the headers after those of all answers, and the end of the head if there is one.
    pub(super) fn head_end(self) -> String {
        match self {
            Self::HeaderValue => "X-Endless: ".to_owned(),
            Self::Headers => String::new(),
            Self::ChunkedBody => "Transfer-Encoding: chunked\r\n\r\n".to_owned(),
            Self::Trailers => "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n".to_owned(),
            Self::ChunkExtension => "Transfer-Encoding: chunked\r\n\r\n1;".to_owned(),
            Self::StatusLine | Self::Hints => String::new(),
            Self::SizedBody => format!("Content-Length: {}\r\n\r\n", i64::MAX),
            Self::UnsizedBody => "\r\n".to_owned(),
            Self::Complete(bytes) => format!("Content-Length: {bytes}\r\n\r\n"),
            Self::Status { .. } | Self::CutHead(_) | Self::RefuseNext { .. } => {
                "Content-Length: 0\r\n\r\n".to_owned()
            }
        }
    }

    /// Returns the bytes that are repeated after the head.
    pub(super) fn block(self) -> Vec<u8> {
        match self {
            Self::Headers | Self::Trailers => b"X-Endless: more\r\n".repeat(BLOCK_BYTES / 16),
            Self::Hints => b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(BLOCK_BYTES / 28),
            Self::ChunkedBody => {
                let mut chunk = format!("{BLOCK_BYTES:x}\r\n").into_bytes();
                chunk.resize(chunk.len() + BLOCK_BYTES, b'x');
                chunk.extend_from_slice(b"\r\n");
                chunk
            }
            Self::HeaderValue
            | Self::SizedBody
            | Self::UnsizedBody
            | Self::ChunkExtension
            | Self::StatusLine
            | Self::Complete(_)
            | Self::Status { .. }
            | Self::CutHead(_)
            | Self::RefuseNext { .. } => vec![b'x'; BLOCK_BYTES],
        }
    }

    /// Returns how many bytes follow the head; `None` if they do not end.
    pub(super) const fn length_bytes(self) -> Option<usize> {
        match self {
            Self::Complete(bytes) => Some(bytes),
            Self::Status { .. } | Self::CutHead(_) | Self::RefuseNext { .. } => Some(0),
            _ => None,
        }
    }
}

/// The approximate number of bytes of a write.
const BLOCK_BYTES: usize = 32 * 1024;
