//! A response whose body is still being received.

use std::error::Error;
use std::io;
use std::io::Read;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures_lite::AsyncBufRead;
use futures_lite::AsyncRead;

use crate::BodyDecoder;
use crate::ResponseHead;

/// Size of one read, in bytes.
pub(crate) const READ_SIZE: usize = 8 * 1024;

/// A response whose head was received. Reading it gives the content of its body, and an
/// error if that ends before it is complete. A read that is given up loses nothing.
#[derive(Debug)]
pub struct ReceivedResponse<S> {
    stream: S,
    head: ResponseHead,
    decoder: BodyDecoder,
    /// Bytes that were received and not decoded yet.
    received: Vec<u8>,
    /// Content that was decoded.
    content: Vec<u8>,
    /// Number of bytes at the start of `content` that were read.
    consumed: usize,
}

impl<S> ReceivedResponse<S> {
    /// A response of which `received` arrived after its head.
    pub(crate) fn new(stream: S, head: ResponseHead, received: Vec<u8>) -> Self {
        Self {
            decoder: BodyDecoder::new(head.framing),
            stream,
            head,
            received,
            content: Vec::new(),
            consumed: 0,
        }
    }

    /// The status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        self.head.status
    }

    /// The first value of a field, if it is valid UTF-8.
    #[must_use]
    pub fn field<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.head.fields.get(name)
    }

    /// The connection, if it can be used for another request: the response was received
    /// whole, nothing came after it, and the server keeps the connection open.
    #[must_use]
    pub fn into_idle(self) -> Option<S> {
        let is_whole = self.decoder.is_done() && self.received.is_empty();
        (is_whole && self.head.keep_alive).then_some(self.stream)
    }

    /// The content that was decoded and not read yet.
    fn unread(&self) -> &[u8] {
        &self.content[self.consumed..]
    }
}

impl<S: AsyncRead + Unpin> ReceivedResponse<S> {
    /// Waits for more bytes. Returns false at the end of a body that lasts until its
    /// connection ends.
    fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut part = [0; READ_SIZE];
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        self.received.extend_from_slice(&part[..count]);
        if count > 0 {
            Poll::Ready(Ok(true))
        } else if self.decoder.ends_at_close() {
            Poll::Ready(Ok(false))
        } else {
            Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()))
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncBufRead for ReceivedResponse<S> {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let response = self.get_mut();
        while response.unread().is_empty() {
            response.content.clear();
            response.consumed = 0;
            let decoded = response
                .decoder
                .decode(&response.received, &mut response.content)
                .map_err(malformed)?;
            response.received.drain(..decoded);
            let is_over = response.decoder.is_done()
                || response.content.is_empty() && !ready!(response.poll_receive(context))?;
            if is_over {
                break;
            }
        }
        Poll::Ready(Ok(response.unread()))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().consumed += count;
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ReceivedResponse<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut unread = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = unread.read(buffer)?;
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}

/// The error of what is no response.
pub(crate) fn malformed(cause: impl Into<Box<dyn Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause)
}
