//! One HTTP exchange with the platform, over a pooled connection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::WriteClass;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use smol::Timer;
use smol::future;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

use super::carried::CarriedAnswer;
use super::carried::CarriedAsk;
use super::error::PlatformError;
use super::gate::CircuitGate;
use super::gate::WriteGate;
use super::pool::ConnectionPool;
use super::pool::PoolSettings;
use super::pool::with_timeout;
use super::relay::PlatformRelay;
use super::relay::pass_within;
use crate::clock::duration;
use crate::clock::now;

/// Parts of error messages with which the table service says that it stopped
/// waiting for a write that may still be applied (etcd's published errors).
const IN_DOUBT_MESSAGES: [&str; 2] = ["timed out", "leader changed"];

/// Longest part of an error's body that is quoted, in characters.
const QUOTE_CHARS: usize = 200;

/// Whether a request changes the platform's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeKind {
    /// A read: without an answer, nothing is in doubt.
    Read,
    /// A write: without an answer, it may have been applied.
    Write(WriteClass),
}

impl ExchangeKind {
    /// The kind as a metric's label.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write(class) => class.label(),
        }
    }
}

/// One request to the platform.
pub(super) struct PlatformAsk<'a> {
    pub kind: ExchangeKind,
    /// Whether a peer may carry it: a read, or a write whose condition decides
    /// whoever sends it and whenever it lands.
    pub may_relay: bool,
    pub method: Method,
    /// Path and query, beginning with `/`.
    pub target: &'a str,
    pub headers: &'a [(&'static str, &'a str)],
    pub body: Vec<u8>,
}

/// One whole answer of the platform.
pub(super) struct PlatformAnswer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// An HTTP client of one service of the platform.
#[derive(Clone, Debug)]
pub(super) struct PlatformHttp {
    service: &'static str,
    pool: Arc<ConnectionPool>,
    circuit: Arc<CircuitGate>,
    writes: Option<WriteGate>,
    relay: Option<PlatformRelay>,
}

impl PlatformHttp {
    pub fn new(service: &'static str, address: SocketAddr, settings: PoolSettings) -> Self {
        Self {
            service,
            circuit: Arc::new(CircuitGate::new(service, settings.circuit)),
            pool: Arc::new(ConnectionPool::new(address, settings)),
            writes: None,
            relay: None,
        }
    }

    /// The same client, its writes held to a share.
    pub fn with_writes(mut self, writes: &WriteGate) -> Self {
        self.writes = Some(writes.clone());
        self
    }

    /// The same client; peers carry its exchanges while its own link is out.
    pub fn with_relay(mut self, relay: PlatformRelay) -> Self {
        self.relay = Some(relay);
        self
    }

    /// Whether the service counts as out, so that only probes are sent.
    pub fn is_out(&self) -> bool {
        self.circuit.is_open()
    }

    /// Sends a request and reads the whole answer; counts how it ended.
    pub async fn ask(&self, ask: PlatformAsk<'_>) -> Result<PlatformAnswer, PlatformError> {
        let kind = ask.kind;
        let result = Box::pin(self.ask_uncounted(ask)).await;
        let outcome = result
            .as_ref()
            .err()
            .map_or("answered", PlatformError::label);
        metrics::counter!("guavawell_platform_exchanges_total",
            "service" => self.service, "class" => kind.label(), "outcome" => outcome)
        .increment(1);
        result
    }

    /// Carries out a peer's exchange on this router's own link, and on no
    /// other's: nothing is relayed twice.
    pub async fn carry(&self, asked: &CarriedAsk) -> CarriedAnswer {
        if self.is_out() {
            return CarriedAnswer::Declined("its own link is out".into());
        }
        match self.carry_within(asked).await {
            Ok(answer) => CarriedAnswer::Answered {
                status: answer.status,
                body: answer.body,
            },
            Err(error) => error.into(),
        }
    }

    async fn carry_within(&self, asked: &CarriedAsk) -> Result<PlatformAnswer, PlatformError> {
        let start = now();
        let ask = asked.exchange();
        if let Some(writes) = &self.writes {
            let wait = ClockSpan::from_millis(asked.budget.as_millis() / 2);
            pass_within(writes, ask.kind, wait).await?;
        }
        self.circuit.pass()?;
        let left = asked.budget.as_millis();
        let left = left.saturating_sub(now().since(start).as_millis());
        let span = self.pool.settings.answer_timeout;
        let span = span.min(ClockSpan::from_millis(left));
        match self.begin_within(span).await {
            Ok(stream) => self.finish(stream, ask, span).await,
            Err(error) => Err(self.failed(error)),
        }
    }

    /// Asks the service by this router's own link, to learn whether it is
    /// back; nothing happens before the next probe is due.
    pub async fn probe(&self, ask: PlatformAsk<'_>) {
        if self.is_out() && self.circuit.pass().is_ok() {
            // The circuit learns how it ended.
            let _ = self.ask_own(ask).await;
        }
    }

    async fn ask_uncounted(&self, ask: PlatformAsk<'_>) -> Result<PlatformAnswer, PlatformError> {
        if let (ExchangeKind::Write(class), Some(writes)) = (ask.kind, &self.writes) {
            writes.pass(class).await?;
        }
        if self.is_out()
            && let Some(result) = self.relayed(&ask).await
        {
            return result;
        }
        self.circuit.pass()?;
        match self.begin().await {
            Ok(stream) => {
                let span = self.pool.settings.answer_timeout;
                self.finish(stream, ask, span).await
            }
            Err(error) => {
                let error = self.failed(error);
                self.relayed(&ask).await.unwrap_or(Err(error))
            }
        }
    }

    async fn ask_own(&self, ask: PlatformAsk<'_>) -> Result<PlatformAnswer, PlatformError> {
        let stream = self.begin().await.map_err(|error| self.failed(error))?;
        let span = self.pool.settings.answer_timeout;
        self.finish(stream, ask, span).await
    }

    async fn relayed(
        &self,
        ask: &PlatformAsk<'_>,
    ) -> Option<Result<PlatformAnswer, PlatformError>> {
        let relay = self.relay.as_ref().filter(|_| ask.may_relay)?;
        relay.carry(ask).await
    }

    /// A connection for an exchange; without one, nothing was sent.
    async fn begin(&self) -> Result<TcpStream, PlatformError> {
        if self.pool.settings.gate.cuts_platform() {
            return Err(PlatformError::Outage("cut off by a failure drill".into()));
        }
        let stream = self.pool.take().await;
        stream.map_err(|error| PlatformError::Outage(error.to_string().into()))
    }

    async fn begin_within(&self, span: ClockSpan) -> Result<TcpStream, PlatformError> {
        let late = async {
            Timer::after(duration(span)).await;
            Err(PlatformError::Outage(
                format!("no connection within {span}").into(),
            ))
        };
        future::or(self.begin(), late).await
    }

    fn failed(&self, error: PlatformError) -> PlatformError {
        self.circuit.report(false);
        error
    }

    async fn finish(
        &self,
        stream: TcpStream,
        ask: PlatformAsk<'_>,
        span: ClockSpan,
    ) -> Result<PlatformAnswer, PlatformError> {
        let result = self.send(stream, ask, span).await;
        let answered = matches!(result, Ok(_) | Err(PlatformError::Refused(_)));
        self.circuit.report(answered);
        result
    }

    async fn send(
        &self,
        stream: TcpStream,
        ask: PlatformAsk<'_>,
        span: ClockSpan,
    ) -> Result<PlatformAnswer, PlatformError> {
        let kind = ask.kind;
        let gate = &self.pool.settings.gate;
        let request = self.request(ask)?;
        match with_timeout(span, self.exchange(stream, request)).await {
            // A cut in the middle loses the answer, not the write.
            Ok(_) if gate.cuts_platform() => Err(no_answer(kind, "cut off by a failure drill")),
            Ok(answer) => judge(kind, answer),
            Err(error) => {
                self.pool.drop_idle();
                Err(no_answer(kind, &error.to_string()))
            }
        }
    }

    fn request(&self, ask: PlatformAsk<'_>) -> Result<Request, PlatformError> {
        let text = format!("http://{}{}", self.pool.address, ask.target);
        let url = Url::parse(&text).map_err(|error| {
            PlatformError::Refused(format!("`{text}` is no address: {error}").into())
        })?;
        let mut request = Request::new(ask.method, url);
        for (name, value) in ask.headers {
            request.insert_header(*name, *value);
        }
        request.set_body(ask.body);
        Ok(request)
    }

    async fn exchange(&self, stream: TcpStream, request: Request) -> io::Result<PlatformAnswer> {
        let mut response = async_h1::connect(stream.clone(), request)
            .await
            .map_err(|error| io::Error::other(error.to_string()))?;
        let status = u16::from(response.status());
        let body = self.read_body(&mut response).await?;
        if keeps_open(&response) {
            self.pool.put_back(stream);
        }
        Ok(PlatformAnswer { status, body })
    }

    async fn read_body(&self, response: &mut Response) -> io::Result<Vec<u8>> {
        let limit = self.pool.settings.max_answer_bytes;
        let expected = response.len();
        let mut body = Vec::new();
        let mut reader = response.take_body().take(limit as u64 + 1);
        reader.read_to_end(&mut body).await?;
        if body.len() > limit {
            return Err(io::Error::other(format!("answer beyond {limit} bytes")));
        }
        if expected.is_some_and(|length| length != body.len()) {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(body)
    }
}

fn keeps_open(response: &Response) -> bool {
    let framed = response.header("content-length").is_some()
        || response.header("transfer-encoding").is_some();
    let closes = response
        .header("connection")
        .is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"));
    framed && !closes
}

/// What a missing answer says.
fn no_answer(kind: ExchangeKind, detail: &str) -> PlatformError {
    match kind {
        ExchangeKind::Read => PlatformError::Outage(detail.into()),
        ExchangeKind::Write(_) => PlatformError::Lost(detail.into()),
    }
}

/// What an answer's status says; 2xx, 404 and 412 are left to the caller.
fn judge(kind: ExchangeKind, answer: PlatformAnswer) -> Result<PlatformAnswer, PlatformError> {
    match answer.status {
        200..=299 | 404 | 412 => Ok(answer),
        429 => Err(PlatformError::Outage("429 too many requests".into())),
        503 => Err(unavailable(kind, &answer)),
        500..=599 => Err(no_answer(kind, &describe(&answer))),
        _ => Err(PlatformError::Refused(describe(&answer))),
    }
}

fn unavailable(kind: ExchangeKind, answer: &PlatformAnswer) -> PlatformError {
    let text = describe(answer);
    if IN_DOUBT_MESSAGES
        .iter()
        .any(|message| text.contains(message))
    {
        return no_answer(kind, &text);
    }
    PlatformError::Outage(text)
}

fn describe(answer: &PlatformAnswer) -> Box<str> {
    let body = String::from_utf8_lossy(&answer.body);
    let quote: String = body.chars().take(QUOTE_CHARS).collect();
    format!("{} {quote}", answer.status).into()
}
