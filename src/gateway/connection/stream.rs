//! Byte stream to a leaf, which fails once the leaf sends something that no response may hold.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use jacinthfall_net::head;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What a connection may still receive.
#[derive(Debug, Default)]
pub(super) struct Allowance {
    bytes: AtomicUsize,
    /// Whether what arrives next is the head of a response.
    head_is_next: AtomicBool,
}

impl Allowance {
    /// Allows the head of a response of up to `bytes` bytes, and what is read ahead with it.
    pub(super) fn expect_head(&self, bytes: usize) {
        self.head_is_next.store(true, Ordering::Relaxed);
        self.expect(bytes);
    }

    /// Allows `bytes` more bytes of a response.
    pub(super) fn expect(&self, bytes: usize) {
        self.bytes.store(bytes, Ordering::Relaxed);
    }

    fn left(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    fn consume(&self, bytes: usize) {
        self.expect(self.left().saturating_sub(bytes));
    }
}

/// Stream that fails once it has received more than is allowed, or a malformed head.
pub(super) struct Stream {
    stream: TcpStream,
    allowance: Arc<Allowance>,
    head: head::Check,
}

impl Stream {
    /// Wraps a stream on which no response has begun.
    pub(super) fn open(stream: TcpStream, allowance: Arc<Allowance>) -> Stream {
        Stream { stream, allowance, head: head::Check::default() }
    }

    /// Checks bytes that have arrived.
    fn check(&mut self, bytes: &[u8]) -> Result<(), head::LoneLineFeed> {
        self.allowance.consume(bytes.len());
        if self.allowance.head_is_next.swap(false, Ordering::Relaxed) {
            self.head = head::Check::default();
        }
        self.head.push(bytes)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.left() == 0 {
            let error = "the leaf sends more than a response may hold";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let checked = self.check(&buffer.filled()[before..]);
        match checked {
            Ok(()) => polled,
            Err(error) => Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error))),
        }
    }
}

impl AsyncWrite for Stream {
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
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
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
