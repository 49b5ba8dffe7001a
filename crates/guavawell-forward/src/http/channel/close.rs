//! The end of a connection: how it is closed, and whether the peer has closed it.

use std::io;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use rustix::event::poll;
use smol::Async;

use super::HttpChannel;
use super::RecordDecoder;
use super::within;

impl HttpChannel {
    /// Closes the connection after a response, although the peer may have sent more.
    /// Unread bytes would reset the connection and discard what was sent: they are read
    /// until the peer closes the connection, for `limit` at the longest, and `max_bytes` at
    /// most. One that is to be reset is reset at once.
    pub async fn close_unread(mut self, limit: Duration, max_bytes: usize) {
        if self.resets.get() || self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let discard = async {
            let mut discarded = 0;
            while discarded <= max_bytes {
                let count = self.fill().await?;
                if count == 0 {
                    break;
                }
                discarded += count;
                self.buffer.clear();
            }
            Ok(())
        };
        if let Err(error) = within(limit, discard).await {
            log::debug!("connection closed before the peer did: {error}");
        }
    }

    /// Whether the peer has closed the connection, or its sending half, or reset it, also
    /// if bytes that it sent before are not read yet.
    #[must_use]
    pub fn is_closed_by_peer(&self) -> bool {
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(self.stream.get_ref(), closed)];
        let result = poll(&mut polled, Some(&Timespec::default()));
        result.is_ok() && polled[0].revents().intersects(closed)
    }

    /// Whether an idle connection can be used again: it is open, and no unexpected
    /// bytes were received.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        let records = self.records.as_ref();
        let is_between = records.is_none_or(RecordDecoder::is_between_records);
        if !self.received().is_empty() || !is_between {
            return false;
        }
        let mut byte = [0];
        let peeked = self.stream.get_ref().peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Waits until the connection is closed or fails. Received bytes stay unread, and
/// once there are any, the future never completes.
pub async fn wait_for_close(stream: &Async<TcpStream>) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
