//! A connection with what was received and not yet consumed.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::AsyncWriteExt;
use smol::Async;
use smol::Timer;
use socket2::SockRef;
use thiserror::Error;

use super::BodyDecoder;
use super::BodyError;
use super::BodyFraming;
use super::HeadError;

/// Bytes that one read asks for.
const READ_SIZE: usize = 8 * 1024;
/// Unacknowledged data makes a connection fail after this time, so that one
/// whose other end vanished is noticed without its cooperation.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why nothing more can be received.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The connection ended between two messages.
    #[error("connection closed")]
    Closed,
    /// The connection ended within a message.
    #[error("connection closed within a message")]
    Truncated,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// A head is longer than allowed.
    #[error("head longer than allowed")]
    HeadTooLong,
    /// A body is longer than allowed.
    #[error("body longer than allowed")]
    BodyTooLong,
    /// A head is malformed.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// A body is malformed.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// Time ran out.
    #[error("time ran out")]
    TimedOut,
}

impl ChannelError {
    /// Whether nobody listens at the other end.
    #[must_use]
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// One connection.
#[derive(Debug)]
pub struct HttpChannel {
    stream: Rc<Async<TcpStream>>,
    buffer: Vec<u8>,
    /// Bytes of `buffer` that were consumed.
    consumed: usize,
}

impl HttpChannel {
    /// Takes over a connection.
    ///
    /// # Errors
    ///
    /// The socket's options cannot be set.
    pub fn new(stream: Async<TcpStream>) -> io::Result<Self> {
        stream.get_ref().set_nodelay(true)?;
        let socket = SockRef::from(stream.get_ref());
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        Ok(Self {
            stream: Rc::new(stream),
            buffer: Vec::new(),
            consumed: 0,
        })
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// It is refused, or not established within `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, ChannelError> {
        let connect = async { Ok(Async::<TcpStream>::connect(address).await?) };
        let stream = within(limit, connect).await?;
        Ok(Self::new(stream)?)
    }

    /// The socket, for a reader or writer beside this one.
    #[must_use]
    pub fn stream(&self) -> Rc<Async<TcpStream>> {
        Rc::clone(&self.stream)
    }

    /// Received bytes that are not yet consumed.
    #[must_use]
    pub fn received(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Marks received bytes as consumed.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed >= self.buffer.len() {
            self.buffer.clear();
            self.consumed = 0;
            self.buffer.shrink_to(READ_SIZE);
        }
    }

    /// Waits for more bytes; zero at the end of the connection. Nothing is lost
    /// if the wait is given up.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        loop {
            match self.read_ready() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.readable().await?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    /// Reads what the socket has without waiting.
    fn read_ready(&mut self) -> io::Result<usize> {
        let filled = self.buffer.len();
        self.buffer.resize(filled + READ_SIZE, 0);
        let result = self.stream.get_ref().read(&mut self.buffer[filled..]);
        let count = *result.as_ref().unwrap_or(&0);
        self.buffer.truncate(filled + count);
        result
    }

    /// Waits for a whole head and returns its length. Empty lines before it
    /// are passed over.
    ///
    /// # Errors
    ///
    /// The connection ends or fails, or the head is longer than `limit` bytes.
    pub async fn head(&mut self, limit: usize) -> Result<usize, ChannelError> {
        let mut searched = 0;
        loop {
            self.skip_empty_lines();
            let bytes = self.received();
            if let Some(end) = head_end(bytes, searched) {
                return if end > limit {
                    Err(ChannelError::HeadTooLong)
                } else {
                    Ok(end)
                };
            }
            if bytes.len() > limit {
                return Err(ChannelError::HeadTooLong);
            }
            searched = bytes.len().saturating_sub(3);
            let before_message = bytes.is_empty();
            match self.fill().await {
                Ok(0) if before_message => return Err(ChannelError::Closed),
                Ok(0) => return Err(ChannelError::Truncated),
                Ok(_) => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    fn skip_empty_lines(&mut self) {
        while self.received().starts_with(b"\r\n") {
            self.consume(2);
        }
    }

    /// Decodes what is received of a body, and waits for more if there is
    /// nothing. Returns false once the body is complete.
    ///
    /// # Errors
    ///
    /// The body is cut short or malformed, or the connection fails.
    pub async fn body_part(
        &mut self,
        decoder: &mut BodyDecoder,
        output: &mut Vec<u8>,
    ) -> Result<bool, ChannelError> {
        let before = output.len();
        loop {
            let consumed = decoder.decode(self.received(), output)?;
            self.consume(consumed);
            if decoder.is_done() {
                return Ok(false);
            }
            if output.len() > before {
                return Ok(true);
            }
            if self.fill().await? == 0 {
                let ended = decoder.ends_at_close();
                return if ended {
                    Ok(false)
                } else {
                    Err(ChannelError::Truncated)
                };
            }
        }
    }

    /// Receives a whole body of `limit` bytes at most.
    ///
    /// # Errors
    ///
    /// It is longer, cut short or malformed, or the connection fails.
    pub async fn body(
        &mut self,
        framing: BodyFraming,
        limit: usize,
    ) -> Result<Vec<u8>, ChannelError> {
        let mut decoder = BodyDecoder::new(framing);
        let mut body = Vec::new();
        while self.body_part(&mut decoder, &mut body).await? {
            if body.len() > limit {
                return Err(ChannelError::BodyTooLong);
            }
        }
        Ok(body)
    }

    /// Sends all of `bytes`.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn send(&self, bytes: &[u8]) -> io::Result<()> {
        (&*self.stream).write_all(bytes).await
    }

    /// Whether an idle connection is still good: open, and nothing came on it
    /// unasked.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        if !self.received().is_empty() {
            return false;
        }
        let mut byte = [0];
        let peeked = self.stream.get_ref().peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Waits until the other end closes or breaks the connection. Bytes that it
/// sends meanwhile stay unread; after the first of them this never ends.
pub async fn wait_for_close(stream: &Async<TcpStream>) {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}

/// Runs a step for `limit` at most.
///
/// # Errors
///
/// The step's own, or `TimedOut`.
pub async fn within<T>(
    limit: Duration,
    step: impl Future<Output = Result<T, ChannelError>>,
) -> Result<T, ChannelError> {
    let timeout = async {
        Timer::after(limit).await;
        Err(ChannelError::TimedOut)
    };
    futures_lite::future::or(step, timeout).await
}

/// The end of a head, if it is whole. `from` bytes were searched before.
fn head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    let index = rest.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(from + index + 4)
}
