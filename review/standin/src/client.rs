//! Requests of clients.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::Connection;
use crate::http::Message;
use crate::site::HOST;
use crate::site::KEY;

/// A request with its own attempt id.
pub struct Request<'a> {
    /// Method and target.
    pub line: &'a str,
    /// `X-Attempt-Id`.
    pub id: &'a str,
    /// How long the client waits, in milliseconds.
    pub deadline_ms: u64,
    /// Further header lines, each with its line break.
    pub fields: &'a str,
    /// The body.
    pub body: &'a [u8],
}

impl Request<'_> {
    /// The bytes of the request.
    #[must_use]
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "{} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n\
             Authorization: Bearer {KEY}\r\n{}",
            self.line, self.id, self.deadline_ms, self.fields
        );
        if !self.body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }

    /// Sends the request on a new channel and returns the response; `None` if there is
    /// none.
    #[must_use]
    pub fn send(&self, front: SocketAddr) -> Option<Message> {
        let stream = TcpStream::connect(front).ok()?;
        let limit = Duration::from_millis(self.deadline_ms);
        stream.set_read_timeout(Some(limit)).ok()?;
        let mut connection = Connection::new(stream);
        connection.send(&self.bytes()).ok()?;
        connection.read_response()
    }
}
