//! Splits a backend server's answer into server-sent events.

use smol::io::AsyncBufRead;
use smol::io::AsyncBufReadExt;

use super::EngineError;

/// Longest accepted line of an event, in bytes.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// One server-sent event: its id and its data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineEvent {
    /// The `id` field, empty if absent.
    pub id: Box<str>,
    /// The `data` field, lines joined by a line feed.
    pub data: Box<str>,
}

/// Reads events; keeps what has arrived of the next one, so that a read may be
/// given up and begun again without losing a byte.
#[derive(Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    id: String,
    data: String,
}

impl EventReader {
    /// The next event; `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// [`EngineError::Lost`] if the connection breaks, [`EngineError::Malformed`]
    /// for text that is not UTF-8 or a line that is too long.
    pub async fn next<R>(&mut self, reader: &mut R) -> Result<Option<EngineEvent>, EngineError>
    where
        R: AsyncBufRead + Unpin,
    {
        loop {
            reader
                .read_until(b'\n', &mut self.line)
                .await
                .map_err(EngineError::Lost)?;
            if self.line.is_empty() {
                return Ok(None);
            }
            if self.line.len() > MAX_LINE_BYTES {
                return Err(EngineError::Malformed("line too long".into()));
            }
            if self.take_line()? {
                return Ok(Some(EngineEvent {
                    id: std::mem::take(&mut self.id).into(),
                    data: std::mem::take(&mut self.data).into(),
                }));
            }
        }
    }

    /// Takes the line that has arrived; `true` if it ends an event.
    fn take_line(&mut self) -> Result<bool, EngineError> {
        let text = std::str::from_utf8(&self.line)
            .map_err(|_| EngineError::Malformed("event is not UTF-8".into()))?;
        let text = text.trim_end_matches(['\r', '\n']);
        let is_end = text.is_empty() && !(self.id.is_empty() && self.data.is_empty());
        take_field(text, &mut self.id, &mut self.data);
        self.line.clear();
        Ok(is_end)
    }
}

fn take_field(line: &str, id: &mut String, data: &mut String) {
    if let Some(value) = line.strip_prefix("data:") {
        if !data.is_empty() {
            data.push('\n');
        }
        data.push_str(value.strip_prefix(' ').unwrap_or(value));
    } else if let Some(value) = line.strip_prefix("id:") {
        id.clear();
        id.push_str(value.trim());
    }
}
