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

/// Reads the next event; `None` at the end of the stream.
///
/// # Errors
///
/// [`EngineError::Lost`] if the connection breaks, [`EngineError::Malformed`]
/// for text that is not UTF-8 or a line that is too long.
pub async fn read_event<R>(reader: &mut R) -> Result<Option<EngineEvent>, EngineError>
where
    R: AsyncBufRead + Unpin,
{
    let mut id = String::new();
    let mut data = String::new();
    let mut line = Vec::new();
    loop {
        line.clear();
        let count = reader
            .read_until(b'\n', &mut line)
            .await
            .map_err(EngineError::Lost)?;
        if count == 0 {
            return Ok(None);
        }
        if line.len() > MAX_LINE_BYTES {
            return Err(EngineError::Malformed("line too long".into()));
        }
        let text = std::str::from_utf8(&line)
            .map_err(|_| EngineError::Malformed("event is not UTF-8".into()))?;
        let text = text.trim_end_matches(['\r', '\n']);
        if text.is_empty() {
            if id.is_empty() && data.is_empty() {
                continue;
            }
            return Ok(Some(EngineEvent {
                id: id.into(),
                data: data.into(),
            }));
        }
        take_field(text, &mut id, &mut data);
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
