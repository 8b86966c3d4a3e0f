//! A limit on what a server sends before the head of its response is complete.
//!
//! Load pattern: a server in trouble sends informational responses without end. Each of them is short,
//! so that no limit of the parser applies, and reading them takes the time of all other requests.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The most bytes that are read before the head of a response is complete: its informational responses,
/// the head, and what is read ahead of the body.
const MAX_BYTES: usize = 512 * 1024;

/// Counts the bytes of a connection that are read until the head of a response is complete.
#[derive(Debug, Default)]
pub(crate) struct HeadLimit {
    is_counting: AtomicBool,
    bytes: AtomicUsize,
}

/// A connection whose reads fail once a [`HeadLimit`] is exceeded.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    limit: Arc<HeadLimit>,
}

impl HeadLimit {
    /// Starts to count, before a request is sent.
    pub(crate) fn begin(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.is_counting.store(true, Ordering::Relaxed);
    }

    /// Stops counting, since the head is complete.
    pub(crate) fn end(&self) {
        self.is_counting.store(false, Ordering::Relaxed);
    }

    /// Whether too much was read.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.is_counting.load(Ordering::Relaxed) && self.bytes.load(Ordering::Relaxed) > MAX_BYTES
    }

    fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

impl LimitedStream {
    pub(crate) const fn new(stream: TcpStream, limit: Arc<HeadLimit>) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_exceeded() {
            let text = "the head of the response does not end";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.limit.add(buffer.filled().len() - before);
        result
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
