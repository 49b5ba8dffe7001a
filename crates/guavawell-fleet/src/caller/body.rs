//! An answer's body that another task fills frame by frame.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures::Stream;
use http_types::Body;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::io::AsyncBufRead;
use smol::io::AsyncRead;

/// Frames that may wait for a slow caller before the sender waits too.
const MAX_WAITING_FRAMES: usize = 64;

/// The filling end of a [`frame_body`].
#[derive(Clone, Debug)]
pub struct FrameSender(Sender<io::Result<Vec<u8>>>);

/// The caller's connection is gone; nothing more can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

impl FrameSender {
    /// Sends one frame, waiting while the caller is slow.
    ///
    /// # Errors
    ///
    /// [`CallerGone`] once the caller's connection has been dropped.
    pub async fn send(&self, frame: Vec<u8>) -> Result<(), CallerGone> {
        self.0.send(Ok(frame)).await.map_err(|_| CallerGone)
    }

    /// Breaks the answer off, so that the caller sees that it is not whole.
    pub async fn abort(&self) {
        let error = io::Error::from(io::ErrorKind::ConnectionAborted);
        // The caller may be gone already, which has the same effect.
        let _ = self.0.send(Err(error)).await;
    }

    /// Whether the caller's connection has been dropped.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// A streamed body and its filling end. Dropping the sender ends the body whole.
#[must_use]
pub fn frame_body() -> (FrameSender, Body) {
    let (sender, receiver) = channel::bounded(MAX_WAITING_FRAMES);
    let reader = FrameReader {
        frames: Box::pin(receiver),
        frame: Vec::new(),
        start: 0,
    };
    (FrameSender(sender), Body::from_reader(reader, None))
}

struct FrameReader {
    frames: Pin<Box<Receiver<io::Result<Vec<u8>>>>>,
    frame: Vec<u8>,
    start: usize,
}

impl AsyncBufRead for FrameReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        while reader.start == reader.frame.len() {
            match ready!(reader.frames.as_mut().poll_next(context)) {
                None => return Poll::Ready(Ok(&[])),
                Some(Err(error)) => return Poll::Ready(Err(error)),
                Some(Ok(frame)) => {
                    reader.frame = frame;
                    reader.start = 0;
                }
            }
        }
        Poll::Ready(Ok(&reader.frame[reader.start..]))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().start += count;
    }
}

impl AsyncRead for FrameReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let waiting = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = waiting.len().min(buffer.len());
        buffer[..count].copy_from_slice(&waiting[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
