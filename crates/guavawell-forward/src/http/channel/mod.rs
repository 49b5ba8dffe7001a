//! A TCP connection with a receive buffer.

mod close;
mod response;

use std::cell::Cell;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::AsyncWriteExt;
use futures_lite::future::yield_now;
use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ConnectionEnd;
use guavawell_core::forward::EndNotice;
use guavawell_core::forward::RequestWrite;
use guavawell_core::id::InstanceId;
use guavawell_http::head_length;
use smol::Async;
use socket2::SockRef;

use super::BodyDecoder;
use super::BodyFraming;
use super::ChannelError;
use super::RecordDecoder;
use super::ResponseHead;
use super::within;
use crate::clock::timer_span;
use crate::link::ByteMeter;

pub use self::close::wait_for_close;

/// Size of one read, in bytes.
const READ_SIZE: usize = 8 * 1024;
/// Least room for a read, in bytes.
const MIN_READ: usize = 1024;
/// Bytes that are read without waiting before other tasks and timers have their turn. A
/// peer may send faster than they are read.
pub const TURN_BYTES: usize = 16 * 1024;
/// Steps of decoding a body before other tasks have their turn. Chunks of a byte take far
/// longer than their bytes.
const TURN_STEPS: usize = 192;
/// Time after which unacknowledged data makes a connection fail (`TCP_USER_TIMEOUT`),
/// so that a peer that vanished without closing it is noticed.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// An open connection.
#[derive(Debug)]
pub struct HttpChannel {
    stream: Rc<Async<TcpStream>>,
    /// Bytes that were received.
    buffer: Vec<u8>,
    /// Number of bytes at the start of `buffer` that were consumed.
    consumed: usize,
    /// Bytes that were read without waiting since other tasks had their turn.
    turn_bytes: usize,
    /// How long the connection was idle before its present use; `None` if it is new.
    idle_for: Option<ClockSpan>,
    /// The instance that carries the connection; `None` if it is direct.
    carrier: Option<Rc<InstanceId>>,
    /// Decodes what the carrier sends; `None` if the connection is direct.
    records: Option<RecordDecoder>,
    /// Whether it is reset rather than closed once it is dropped.
    resets: Cell<bool>,
    /// How the sending of the present request ended.
    request_write: RequestWrite,
    /// Counts the bytes of this connection.
    meter: Rc<ByteMeter>,
    /// Counts the bytes of all connections of its kind.
    kind_meter: Option<Rc<ByteMeter>>,
}

impl HttpChannel {
    /// Wraps an open connection and sets its socket options.
    ///
    /// # Errors
    ///
    /// The socket options cannot be set.
    pub fn new(stream: Async<TcpStream>) -> io::Result<Self> {
        stream.get_ref().set_nodelay(true)?;
        let socket = SockRef::from(stream.get_ref());
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        Ok(Self {
            stream: Rc::new(stream),
            buffer: Vec::new(),
            consumed: 0,
            turn_bytes: 0,
            idle_for: None,
            carrier: None,
            records: None,
            resets: Cell::new(false),
            request_write: RequestWrite::default(),
            meter: Rc::default(),
            kind_meter: None,
        })
    }

    /// Has the bytes of this connection counted with those of its kind.
    #[must_use]
    pub fn counted_by(mut self, meter: &Rc<ByteMeter>) -> Self {
        self.kind_meter = Some(Rc::clone(meter));
        self
    }

    /// Counts the bytes of this connection.
    #[must_use]
    pub const fn meter(&self) -> &Rc<ByteMeter> {
        &self.meter
    }

    /// Counts bytes that are written to the socket at once.
    pub fn note_sent(&self, count: usize) {
        self.meter.note_sent(count);
        if let Some(meter) = &self.kind_meter {
            meter.note_sent(count);
        }
    }

    /// Marks the connection as one that another instance carries. From here on that one
    /// sends the server's bytes in records.
    #[must_use]
    pub fn carried_by(mut self, carrier: Rc<InstanceId>) -> Self {
        let mut records = RecordDecoder::default();
        let early = self.received().to_vec();
        self.buffer.clear();
        self.consumed = 0;
        records.decode(&early, &mut self.buffer);
        self.records = Some(records);
        self.carrier = Some(carrier);
        self
    }

    /// Takes note of how the sending of the present request ended.
    pub const fn note_request_write(&mut self, write: RequestWrite) {
        self.request_write = write;
    }

    /// What is known of the connection once it has ended in the ordinary way.
    const fn end(&self) -> ConnectionEnd {
        let notice = match &self.records {
            None => EndNotice::Server,
            Some(records) if records.has_ended() => EndNotice::Carrier,
            Some(_) => EndNotice::None,
        };
        ConnectionEnd {
            notice,
            write: self.request_write,
        }
    }

    /// The instance that carries the connection; `None` if it is direct.
    #[must_use]
    pub fn carrier(&self) -> Option<&InstanceId> {
        self.carrier.as_deref()
    }

    /// Marks the connection as one that was idle for this time before its present use.
    #[must_use]
    pub const fn used_after(mut self, idle_for: ClockSpan) -> Self {
        self.idle_for = Some(idle_for);
        self
    }

    /// How long the connection was idle before its present use; `None` if it is new.
    #[must_use]
    pub const fn idle_for(&self) -> Option<ClockSpan> {
        self.idle_for
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The connection is refused, or not established within `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, ChannelError> {
        let connect = async { Ok(Async::<TcpStream>::connect(address).await?) };
        let stream = within(limit, connect).await?;
        Ok(Self::new(stream)?)
    }

    /// Lets the peer leave data unacknowledged, or take none, for `limit`, and the kernel
    /// keep about `bytes` for it.
    ///
    /// # Errors
    ///
    /// A socket option cannot be set.
    pub fn allow_pauses(&self, limit: Duration, bytes: usize) -> io::Result<()> {
        let socket = SockRef::from(self.stream.get_ref());
        socket.set_tcp_user_timeout(Some(limit))?;
        socket.set_send_buffer_size(bytes)
    }

    /// Lets the connection be reset rather than closed once it is dropped.
    ///
    /// # Errors
    ///
    /// The socket option cannot be set.
    pub fn reset_on_close(&self) -> io::Result<()> {
        self.resets.set(true);
        SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO))
    }

    /// Takes [`reset_on_close`](Self::reset_on_close) back.
    ///
    /// # Errors
    ///
    /// The socket option cannot be set.
    pub fn close_in_order(&self) -> io::Result<()> {
        self.resets.set(false);
        SockRef::from(self.stream.get_ref()).set_linger(None)
    }

    /// The socket, for use by another reader or writer.
    #[must_use]
    pub fn stream(&self) -> Rc<Async<TcpStream>> {
        Rc::clone(&self.stream)
    }

    /// The received bytes that are not yet consumed.
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

    /// Waits for more bytes and returns their number: zero if the connection was
    /// closed. Cancelling the future loses no received bytes.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            yield_now().await;
        }
        let before = self.buffer.len();
        loop {
            if self.records.as_ref().is_some_and(RecordDecoder::has_ended) {
                return Ok(0);
            }
            match self.read_ready() {
                // Part of the length of a record.
                Ok(1..) if self.buffer.len() == before => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.turn_bytes = 0;
                    if self.buffer.is_empty() {
                        // A connection that waits takes no memory for what may come.
                        self.buffer = Vec::new();
                    }
                    self.stream.readable().await?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }

    /// Waits for the first byte of a message. Returns false if the peer closes the
    /// connection or is idle for longer than `limit`.
    pub async fn await_first_byte(&mut self, limit: ClockSpan) -> bool {
        if !self.received().is_empty() {
            return true;
        }
        let fill = async { Ok(self.fill().await?) };
        matches!(within(timer_span(limit), fill).await, Ok(count) if count > 0)
    }

    /// Lets other tasks have their turn if more was received already. A peer may send many
    /// small messages or chunks at once.
    pub async fn end_turn(&mut self) {
        if !self.received().is_empty() {
            self.turn_bytes = 0;
            yield_now().await;
        }
    }

    /// Reads available bytes without waiting.
    fn read_ready(&mut self) -> io::Result<usize> {
        let filled = self.buffer.len();
        if self.buffer.capacity() - filled < MIN_READ {
            self.buffer.reserve_exact(READ_SIZE);
        }
        let room = (self.buffer.capacity() - filled).min(READ_SIZE);
        self.buffer.resize(filled + room, 0);
        let result = self.stream.get_ref().read(&mut self.buffer[filled..]);
        let count = *result.as_ref().unwrap_or(&0);
        self.buffer.truncate(filled + count);
        if let Some(records) = &mut self.records {
            let received = self.buffer.split_off(filled);
            records.decode(&received, &mut self.buffer);
        }
        self.turn_bytes += count;
        self.meter.note_received(count);
        if let Some(meter) = &self.kind_meter {
            meter.note_received(count);
        }
        result
    }

    /// Waits for a complete head and returns its length. Empty lines before it are
    /// skipped.
    ///
    /// # Errors
    ///
    /// The connection is closed or fails, or the head, with the empty lines before it, is
    /// longer than `limit` bytes.
    pub async fn head(&mut self, limit: usize) -> Result<usize, ChannelError> {
        self.head_noting(limit, |_| {}).await
    }

    /// As [`head`](Self::head). Calls `note_held` with the bytes of memory that the part of
    /// the head takes, each time before it waits for more.
    ///
    /// # Errors
    ///
    /// As [`head`](Self::head).
    pub async fn head_noting(
        &mut self,
        limit: usize,
        note_held: impl Fn(usize),
    ) -> Result<usize, ChannelError> {
        let mut searched = 0;
        let mut skipped = 0;
        loop {
            skipped += self.skip_empty_lines();
            let bytes = self.received();
            let end = head_length(bytes, searched);
            if skipped + end.unwrap_or(bytes.len()) > limit {
                return Err(ChannelError::HeadTooLong);
            }
            if let Some(end) = end {
                return Ok(end);
            }
            searched = bytes.len().saturating_sub(3);
            let before_message = bytes.is_empty();
            note_held(self.buffer.capacity());
            match self.fill().await {
                Ok(0) if before_message => return Err(ChannelError::Closed),
                Ok(0) => return Err(ChannelError::Truncated),
                Ok(_) => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Returns the number of skipped bytes.
    fn skip_empty_lines(&mut self) -> usize {
        let mut skipped = 0;
        while self.received().starts_with(b"\r\n") {
            self.consume(2);
            skipped += 2;
        }
        skipped
    }

    /// Decodes the received part of a body; waits for more bytes if there is no
    /// content yet. Returns false once the body is complete.
    ///
    /// # Errors
    ///
    /// The body is truncated or malformed, or the connection fails.
    pub async fn body_part(
        &mut self,
        decoder: &mut BodyDecoder,
        output: &mut Vec<u8>,
    ) -> Result<bool, ChannelError> {
        let before = output.len();
        loop {
            let consumed = decoder.decode_steps(self.received(), output, TURN_STEPS)?;
            self.consume(consumed);
            if decoder.is_done() {
                return Ok(false);
            }
            if output.len() > before {
                return Ok(true);
            }
            if consumed > 0 {
                // More framing may have been received.
                self.end_turn().await;
                continue;
            }
            if self.fill().await? == 0 {
                if !decoder.ends_at_close() {
                    return Err(ChannelError::Truncated);
                }
                let cause = self.end().cut_cause();
                return cause.map_or(Ok(false), |cause| Err(ChannelError::Cut(cause)));
            }
        }
    }

    /// Receives a complete body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// The body is longer, truncated or malformed, or the connection fails.
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
        self.note_sent(bytes.len());
        (&*self.stream).write_all(bytes).await
    }

    /// Sends as much of `bytes` as the connection takes without waiting, and returns the
    /// number of bytes that were sent.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub fn send_ready(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut sent = 0;
        while sent < bytes.len() {
            match self.stream.get_ref().write(&bytes[sent..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => sent += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.note_sent(sent);
        Ok(sent)
    }
}
