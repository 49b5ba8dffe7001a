//! Reads the heads of responses, and skips what arrives before the expected one.

use super::BodyFraming;
use super::ChannelError;
use super::HttpChannel;
use super::ResponseHead;

/// Largest head of a response, in bytes.
const MAX_RESPONSE_HEAD: usize = 32 * 1024;
/// Most bytes of interim heads and of responses to other requests that are skipped before
/// a response.
const MAX_SKIPPED: usize = 256 * 1024;

impl HttpChannel {
    /// Reads response heads until `is_own` accepts one. Interim heads, and responses to
    /// other requests, that arrive first are skipped, up to [`MAX_SKIPPED`]; the connection
    /// must not be reused after the latter. `is_head_request` tells whether the method of
    /// the request was `HEAD`.
    ///
    /// # Errors
    ///
    /// The connection failed, or what arrives is no response.
    pub async fn response_head(
        &mut self,
        is_head_request: bool,
        is_own: impl Fn(&ResponseHead) -> bool,
    ) -> Result<ResponseHead, ChannelError> {
        let mut skipped = 0;
        loop {
            let length = self.head(MAX_RESPONSE_HEAD).await?;
            let head = ResponseHead::parse(&self.received()[..length], is_head_request)?;
            self.consume(length);
            let is_interim = head.is_interim();
            if !is_interim && is_own(&head) {
                return Ok(head);
            }
            skipped += length;
            if !is_interim {
                let limit = MAX_SKIPPED.saturating_sub(skipped);
                skipped += self.skip_body(&head, limit).await?;
            }
            if skipped > MAX_SKIPPED {
                return Err(ChannelError::HeadTooLong);
            }
        }
    }

    /// Reads a body of at most `limit` bytes and returns its size.
    async fn skip_body(
        &mut self,
        head: &ResponseHead,
        limit: usize,
    ) -> Result<usize, ChannelError> {
        let body = self.body(head.framing, limit).await?;
        if head.framing == BodyFraming::UntilClose {
            // A body without a length lasts until the connection is closed, so no
            // other response follows.
            return Err(ChannelError::Closed);
        }
        Ok(body.len())
    }
}
