//! Responses with which the router refuses requests.

use std::io;

use guavawell_core::clock::ClockSpan;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::number::fraction;

use crate::http::HeadWriter;
use crate::http::HttpChannel;

/// A response with which the router refuses a request.
#[derive(Clone, Debug)]
pub struct RefusalResponse {
    /// Why the request is refused.
    pub refusal: ForwardRefusal,
    /// Whether a server may have run the request. The status must then not
    /// state that it did not run.
    pub may_have_run: bool,
    /// When a retry makes sense, if known.
    pub retry_after: Option<ClockSpan>,
}

impl RefusalResponse {
    /// Creates the refusal of a request that was not run.
    #[must_use]
    pub const fn new(refusal: ForwardRefusal) -> Self {
        Self {
            refusal,
            may_have_run: false,
            retry_after: None,
        }
    }

    /// Creates the refusal of a request because the process is leaving: another
    /// instance can accept it without a delay.
    #[must_use]
    pub fn leaving() -> Self {
        Self::new(ForwardRefusal::Leaving).after(ClockSpan::default())
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub const fn after(mut self, span: ClockSpan) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// The HTTP status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        self.refusal.status(self.may_have_run)
    }

    /// Sends the response. `request_field` is the header field that echoes the
    /// request's id.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn send(
        &self,
        channel: &HttpChannel,
        request_field: Option<(&str, &str)>,
        keep_alive: bool,
    ) -> io::Result<()> {
        let status = self.status();
        let body = format!("{{\"error\":\"{}\"}}\n", self.refusal);
        let mut head = HeadWriter::response(status, reason(status));
        if let Some((name, value)) = request_field {
            head.field(name, value.as_bytes());
        }
        head.field("Content-Type", b"application/json");
        head.field_of("Content-Length", body.len());
        if let Some(span) = self.retry_after.filter(|_| status == 503 || status == 402) {
            let seconds = fraction(span.as_millis()) / 1_000.0;
            head.field_of("Retry-After", format_args!("{seconds:.2}"));
        }
        if !keep_alive {
            head.field("Connection", b"close");
        }
        let mut bytes = head.finish();
        bytes.extend_from_slice(body.as_bytes());
        channel.send(&bytes).await
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        402 => "Payment Required",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Refused",
    }
}
