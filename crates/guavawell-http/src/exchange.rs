//! One request and the head of its response over a connection.

use std::io;

use async_h1::client::Encoder;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWrite;
use futures_lite::AsyncWriteExt;
use http_types::Method;
use http_types::Request;

use crate::ReceivedResponse;
use crate::ResponseHead;
use crate::head_length;
use crate::response::READ_SIZE;
use crate::response::malformed;

/// Largest head of a response, in bytes.
const MAX_HEAD: usize = 32 * 1024;
/// Most bytes of interim heads before a response.
const MAX_INTERIM: usize = 64 * 1024;

/// Sends a request and receives the head of its response. Interim heads before it are
/// skipped.
///
/// # Errors
///
/// The connection ended or failed, or what arrived is no response
/// ([`io::ErrorKind::InvalidData`]).
pub async fn exchange<S>(mut stream: S, request: Request) -> io::Result<ReceivedResponse<S>>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let is_head_request = request.method() == Method::Head;
    futures_lite::io::copy(Encoder::new(request), &mut stream).await?;
    stream.flush().await?;
    let mut received = Vec::new();
    let mut skipped = 0;
    while skipped <= MAX_INTERIM {
        let length = receive_head(&mut stream, &mut received).await?;
        let head = ResponseHead::parse(&received[..length], is_head_request);
        let head = head.map_err(malformed)?;
        received.drain(..length);
        if !head.is_interim() {
            return Ok(ReceivedResponse::new(stream, head, received));
        }
        skipped += length;
    }
    Err(malformed("too many interim responses"))
}

/// Receives until `received` begins with a complete head, and returns its length.
async fn receive_head<S>(stream: &mut S, received: &mut Vec<u8>) -> io::Result<usize>
where
    S: AsyncRead + Unpin,
{
    let mut searched = 0;
    loop {
        while received.starts_with(b"\r\n") {
            received.drain(..2);
        }
        if let Some(length) = head_length(received, searched) {
            return Ok(length);
        }
        if received.len() > MAX_HEAD {
            return Err(malformed("head longer than allowed"));
        }
        searched = received.len().saturating_sub(3);
        let filled = received.len();
        received.resize(filled + READ_SIZE, 0);
        let count = stream.read(&mut received[filled..]).await?;
        received.truncate(filled + count);
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
