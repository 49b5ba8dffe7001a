//! One connection's stream, with the switches that close or silence it.

use std::future::poll_fn;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures::task::AtomicWaker;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;
use smol::net::TcpStream;

use crate::lock::lock;

const OPEN: u8 = 0;
const SILENT: u8 = 1;
const CLOSED: u8 = 2;

/// Bytes gathered before a write goes out without waiting for a flush.
const BUFFER_BYTES: usize = 32 * 1024;

/// What the clones of one connection share.
#[derive(Debug)]
pub(super) struct ConnectionGate {
    stream: TcpStream,
    state: AtomicU8,
    closing: AtomicWaker,
    buffer: Mutex<Vec<u8>>,
}

impl ConnectionGate {
    /// Stops answering for good; the peer sees an open connection.
    ///
    /// Once this returns, nothing more leaves: writes check under the same lock.
    pub(super) fn silence(&self) {
        let _buffer = lock(&self.buffer);
        let _ = self
            .state
            .compare_exchange(OPEN, SILENT, Ordering::SeqCst, Ordering::SeqCst);
    }

    /// Closes both directions at once.
    pub(super) fn close(&self) {
        self.state.store(CLOSED, Ordering::SeqCst);
        let _ = self.stream.shutdown(Shutdown::Both);
        self.closing.wake();
    }

    /// Completes when the connection is closed by [`Self::close`].
    pub(super) async fn closed(&self) {
        poll_fn(|context| {
            self.closing.register(context.waker());
            if self.state() == CLOSED {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }

    fn state(&self) -> u8 {
        self.state.load(Ordering::SeqCst)
    }
}

/// A connection's stream as `async-h1` and the bodies of answers see it.
///
/// Writes gather in a buffer until a flush, so that a short answer (head,
/// body, end) leaves in one segment. A streaming body flushes whenever it has
/// nothing more to give for now.
#[derive(Clone, Debug)]
pub struct ConnectionLink {
    stream: TcpStream,
    gate: Arc<ConnectionGate>,
}

impl ConnectionLink {
    pub(super) fn new(stream: TcpStream) -> Self {
        let gate = ConnectionGate {
            stream: stream.clone(),
            state: AtomicU8::new(OPEN),
            closing: AtomicWaker::new(),
            buffer: Mutex::new(Vec::new()),
        };
        Self {
            stream,
            gate: Arc::new(gate),
        }
    }

    pub(super) fn gate(&self) -> &Arc<ConnectionGate> {
        &self.gate
    }

    /// Sends what is gathered, while the connection is open.
    fn poll_write_out(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut buffer = lock(&self.gate.buffer);
        ready!(self.poll_open())?;
        while !buffer.is_empty() {
            match ready!(Pin::new(&mut self.stream).poll_write(context, &buffer))? {
                0 => return Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
                written => drop(buffer.drain(..written)),
            }
        }
        Poll::Ready(Ok(()))
    }

    fn buffered(&self) -> usize {
        lock(&self.gate.buffer).len()
    }

    fn poll_open(&self) -> Poll<io::Result<()>> {
        match self.gate.state() {
            OPEN => Poll::Ready(Ok(())),
            SILENT => Poll::Pending,
            _ => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        }
    }
}

impl AsyncRead for ConnectionLink {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(context, target);
        ready!(self.poll_open())?;
        polled
    }
}

impl AsyncWrite for ConnectionLink {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        source: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.buffered() >= BUFFER_BYTES {
            ready!(self.poll_write_out(context))?;
        }
        let mut buffer = lock(&self.gate.buffer);
        buffer.extend_from_slice(source);
        Poll::Ready(Ok(source.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_write_out(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
