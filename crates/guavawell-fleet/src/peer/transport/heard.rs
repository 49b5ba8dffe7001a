//! Notes when the other side was last heard.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use smol::io::AsyncRead;

/// When a connection last brought a byte.
#[derive(Debug)]
pub struct HeardClock {
    last: Cell<Instant>,
}

impl Default for HeardClock {
    fn default() -> Self {
        Self {
            last: Cell::new(Instant::now()),
        }
    }
}

impl HeardClock {
    /// Time since the last byte.
    pub fn quiet(&self) -> Duration {
        self.last.get().elapsed()
    }

    fn note(&self) {
        self.last.set(Instant::now());
    }
}

/// A reader that notes each arrival.
pub struct HeardReader<R> {
    reader: R,
    heard: Rc<HeardClock>,
}

impl<R> HeardReader<R> {
    /// Wraps `reader`; arrivals are noted in `heard`.
    pub const fn new(reader: R, heard: Rc<HeardClock>) -> Self {
        Self { reader, heard }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for HeardReader<R> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.reader).poll_read(context, buffer);
        if let Poll::Ready(Ok(count)) = polled {
            this.heard.note();
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            metrics::counter!("guavawell_peer_received_bytes_total").increment(count);
        }
        polled
    }
}
