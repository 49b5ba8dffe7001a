//! Reads and writes HTTP/1.1 messages.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

/// Size of one read, in bytes.
const READ_SIZE: usize = 16 * 1024;

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or status line.
    pub line: String,
    /// The header fields in order.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The first value of a field, or an empty text.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        let same = |(other, _): &&(String, String)| other.eq_ignore_ascii_case(name);
        let found = self.fields.iter().find(same);
        found.map_or("", |(_, value)| value)
    }

    /// The target of a request.
    #[must_use]
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// The path of a request, without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// The status of a response; 0 if the line has none.
    #[must_use]
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.field("Transfer-Encoding")
            .eq_ignore_ascii_case("chunked")
    }
}

/// A message and whether its body arrived to its end.
#[derive(Clone, Debug)]
pub struct Message {
    /// The head.
    pub head: Head,
    /// The decoded body.
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub is_complete: bool,
}

/// A connection with a receive buffer.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps an open connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Sends all of `bytes`.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> Option<Head> {
        loop {
            let end = self.buffer.windows(4).position(|part| part == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Some(parse_head(&text));
            }
            self.fill()?;
        }
    }

    /// Reads a request; `None` at the end of the connection.
    pub fn read_request(&mut self) -> Option<Message> {
        let head = self.read_head()?;
        let has_length = !head.field("Content-Length").is_empty();
        if !has_length && !head.is_chunked() {
            return Some(Message {
                head,
                body: Vec::new(),
                is_complete: true,
            });
        }
        Some(self.read_body(head))
    }

    /// Reads a response; `None` if the connection ends within its head.
    pub fn read_response(&mut self) -> Option<Message> {
        let head = self.read_head()?;
        Some(self.read_body(head))
    }

    fn read_body(&mut self, head: Head) -> Message {
        let mut body = Vec::new();
        let is_complete = if head.is_chunked() {
            self.read_chunks(&mut body).is_some()
        } else if let Ok(length) = head.field("Content-Length").parse() {
            self.read_exactly(length, &mut body).is_some()
        } else {
            // The body ends with the connection.
            while self.fill().is_some() {}
            body = std::mem::take(&mut self.buffer);
            true
        };
        Message {
            head,
            body,
            is_complete,
        }
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> Option<()> {
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            self.read_exactly(size, body)?;
            let end = self.read_line()?;
            if size == 0 {
                return end.trim().is_empty().then_some(());
            }
        }
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            let end = self.buffer.iter().position(|byte| *byte == b'\n');
            if let Some(end) = end {
                let line = self.buffer.drain(..=end).collect();
                return String::from_utf8(line).ok();
            }
            self.fill()?;
        }
    }

    /// Appends what arrives of `length` bytes; `None` if the connection ends before.
    fn read_exactly(&mut self, length: usize, body: &mut Vec<u8>) -> Option<()> {
        let mut left = length;
        loop {
            let count = left.min(self.buffer.len());
            body.extend(self.buffer.drain(..count));
            left -= count;
            if left == 0 {
                return Some(());
            }
            self.fill()?;
        }
    }

    fn fill(&mut self) -> Option<()> {
        let mut part = vec![0; READ_SIZE];
        let count = self.stream.read(&mut part).ok()?;
        self.buffer.extend_from_slice(&part[..count]);
        (count > 0).then_some(())
    }
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or("").to_string();
    let fields = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_string(), value.trim().to_string()))
    });
    Head {
        line,
        fields: fields.collect(),
    }
}

/// Formats a message with a body of known length.
#[must_use]
pub fn message(line: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{line}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection in a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(Connection) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || handler(Connection::new(stream)));
        }
    });
}
