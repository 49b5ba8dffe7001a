//! The body of a streamed answer: each token leaves as soon as it is there.

use std::io;
use std::io::Read;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use smol::io::AsyncBufRead;
use smol::io::AsyncRead;
use smol::io::AsyncWrite;

use crate::attempt::AttemptEntry;
use crate::attempt::AttemptPhase;
use crate::attempt::AttemptView;
use crate::engine::frame::FrameFaults;
use crate::engine::frame::FrameWriter;
use crate::http::ConnectionLink;

/// Events gathered before they are handed over.
const BUFFER_BYTES: usize = 16 * 1024;

/// Reads the events of an attempt from a sequence number on.
#[derive(Debug)]
pub(super) struct StreamBody {
    link: ConnectionLink,
    entry: Arc<AttemptEntry>,
    frames: FrameWriter,
    faults: FrameFaults,
    sequence: u64,
    buffer: Vec<u8>,
    taken: usize,
    ended: bool,
}

impl StreamBody {
    pub(super) fn new(
        link: ConnectionLink,
        entry: Arc<AttemptEntry>,
        faults: FrameFaults,
        first: u64,
    ) -> Self {
        let frames = FrameWriter::own(&entry);
        let mut body = Self {
            link,
            entry,
            frames,
            faults,
            sequence: first,
            buffer: Vec::new(),
            taken: 0,
            ended: false,
        };
        body.replay_late_frame();
        body
    }

    fn replay_late_frame(&mut self) {
        if let Some(attempt) = self.faults.late {
            let frames = FrameWriter::foreign(attempt, &self.entry);
            frames.token(&mut self.buffer, &self.entry, 0);
        }
    }

    /// Writes every event that is there by now.
    fn gather(&mut self, view: AttemptView) {
        while self.sequence < view.produced && self.buffer.len() < BUFFER_BYTES {
            self.gather_token();
        }
        if self.sequence < view.produced {
            return;
        }
        match view.phase {
            AttemptPhase::Done => self.gather_end(),
            AttemptPhase::Cancelled => self.ended = true,
            AttemptPhase::Queued | AttemptPhase::Running => {}
        }
    }

    fn gather_token(&mut self) {
        if let Some((attempt, sequence)) = self.faults.crossed
            && sequence == self.sequence
        {
            let frames = FrameWriter::foreign(attempt, &self.entry);
            frames.token(&mut self.buffer, &self.entry, sequence);
        }
        if self.faults.skipped != Some(self.sequence) {
            self.frames
                .token(&mut self.buffer, &self.entry, self.sequence);
        }
        self.sequence += 1;
    }

    /// Writes what follows the tokens; a resumed stream may be past some of it.
    fn gather_end(&mut self) {
        let total = self.entry.total;
        let last = total + u64::from(self.entry.with_usage);
        if self.entry.with_usage && self.sequence <= total {
            self.frames.usage(&mut self.buffer, &self.entry, total);
        }
        if self.sequence <= last {
            self.frames.done(&mut self.buffer, last);
        }
        self.ended = true;
    }

    fn poll_gather(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.taken == self.buffer.len() && !self.ended {
            self.buffer.clear();
            self.taken = 0;
            match self.entry.poll_past(self.sequence, context) {
                Poll::Ready(view) => self.gather(view),
                Poll::Pending => return self.poll_flush(context),
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Sends what was written so far while there is nothing more to give.
    fn poll_flush(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.link).poll_flush(context))?;
        Poll::Pending
    }
}

impl AsyncBufRead for StreamBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let body = self.get_mut();
        ready!(body.poll_gather(context))?;
        Poll::Ready(Ok(&body.buffer[body.taken..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.taken = self.buffer.len().min(self.taken + amount);
    }
}

impl AsyncRead for StreamBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut bytes = ready!(self.as_mut().poll_fill_buf(context))?;
        let read = bytes.read(target)?;
        self.consume(read);
        Poll::Ready(Ok(read))
    }
}
