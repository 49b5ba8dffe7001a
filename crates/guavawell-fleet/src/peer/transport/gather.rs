//! Gathers small writes: messages queue while the previous write is under
//! way, and leave together without further delay.

use std::cell::RefCell;
use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::mem;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use smol::io::AsyncWrite;
use smol::io::AsyncWriteExt;

/// Bytes that may wait; further writes wait for room.
const MAX_WAITING: usize = 1024 * 1024;

/// The writing end handed to the RPC system.
pub struct GatheredWriter {
    state: Rc<RefCell<GatherState>>,
}

#[derive(Default)]
struct GatherState {
    waiting: Vec<u8>,
    /// The writer is gone: what waits is written, then the work ends.
    closed: bool,
    /// The connection broke: further writes fail.
    broken: bool,
    drive_waker: Option<Waker>,
    room_waker: Option<Waker>,
}

/// A writer to `output`, and the work that carries its bytes there.
pub fn gathered_writer<W: AsyncWrite + Unpin>(
    output: W,
) -> (GatheredWriter, impl Future<Output = io::Result<()>>) {
    let state = Rc::new(RefCell::new(GatherState::default()));
    let writer = GatheredWriter {
        state: Rc::clone(&state),
    };
    (writer, drive(output, state))
}

async fn drive<W: AsyncWrite + Unpin>(
    mut output: W,
    state: Rc<RefCell<GatherState>>,
) -> io::Result<()> {
    let mut bytes = Vec::new();
    loop {
        poll_fn(|context| state.borrow_mut().poll_take(context, &mut bytes)).await;
        if bytes.is_empty() {
            return output.close().await;
        }
        let written = write_out(&mut output, &bytes).await;
        if written.is_err() {
            state.borrow_mut().fail();
            return written;
        }
        bytes.clear();
    }
}

async fn write_out<W: AsyncWrite + Unpin>(output: &mut W, bytes: &[u8]) -> io::Result<()> {
    let count = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    metrics::counter!("guavawell_peer_sent_bytes_total").increment(count);
    output.write_all(bytes).await?;
    output.flush().await
}

impl GatherState {
    /// Swaps what waits into `bytes`; leaves it empty at the end.
    fn poll_take(&mut self, context: &mut Context<'_>, bytes: &mut Vec<u8>) -> Poll<()> {
        if self.waiting.is_empty() && !self.closed {
            self.drive_waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        mem::swap(&mut self.waiting, bytes);
        if let Some(waker) = self.room_waker.take() {
            waker.wake();
        }
        Poll::Ready(())
    }

    fn wake_drive(&mut self) {
        if let Some(waker) = self.drive_waker.take() {
            waker.wake();
        }
    }

    fn fail(&mut self) {
        self.broken = true;
        if let Some(waker) = self.room_waker.take() {
            waker.wake();
        }
    }
}

impl AsyncWrite for GatheredWriter {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.state.borrow_mut();
        if state.broken {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        if state.waiting.len() >= MAX_WAITING {
            state.room_waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        state.waiting.extend_from_slice(buffer);
        state.wake_drive();
        Poll::Ready(Ok(buffer.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The driving task writes without being asked.
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.state.borrow_mut();
        state.closed = true;
        state.wake_drive();
        Poll::Ready(Ok(()))
    }
}

impl Drop for GatheredWriter {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.closed = true;
        state.wake_drive();
    }
}
