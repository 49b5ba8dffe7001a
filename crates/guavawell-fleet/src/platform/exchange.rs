//! One HTTP exchange with the platform, over a pooled connection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use guavawell_core::clock::ClockSpan;
use guavawell_core::platform::ReadClass;
use guavawell_core::platform::WriteClass;
use guavawell_http::ReceivedResponse;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use smol::Timer;
use smol::future;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

use super::carried::CarriedAnswer;
use super::carried::CarriedAsk;
use super::circuit::CircuitGate;
use super::error::PlatformError;
use super::gate::ReadGate;
use super::gate::WriteGate;
use super::judge::judge;
use super::judge::no_answer;
use super::pool::ConnectionPool;
use super::pool::PoolSettings;
use super::pool::with_timeout;
use super::relay::PlatformRelay;
use super::relay::pass_within;
use crate::clock::duration;
use crate::clock::now;

/// Whether a request changes the platform's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeKind {
    /// A read: without an answer, nothing is in doubt.
    Read(ReadClass),
    /// A write: without an answer, it may have been applied.
    Write(WriteClass),
}

impl ExchangeKind {
    /// The kind as a metric's label.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Read(_) => "read",
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
    reads: Option<ReadGate>,
    relay: Option<PlatformRelay>,
}

impl PlatformHttp {
    pub fn new(service: &'static str, address: SocketAddr, settings: PoolSettings) -> Self {
        Self {
            service,
            circuit: Arc::new(CircuitGate::new(service, settings.circuit)),
            pool: Arc::new(ConnectionPool::new(address, settings)),
            writes: None,
            reads: None,
            relay: None,
        }
    }

    /// The same client, its writes held to a share.
    pub fn with_writes(mut self, writes: &WriteGate) -> Self {
        self.writes = Some(writes.clone());
        self
    }

    /// The same client, its reads held to a share.
    pub fn with_reads(mut self, reads: &ReadGate) -> Self {
        self.reads = Some(reads.clone());
        self
    }

    /// The same client; peers carry its exchanges while its own link is out.
    pub fn with_relay(mut self, relay: PlatformRelay) -> Self {
        self.relay = Some(relay);
        self
    }

    /// The same client, on its own link alone.
    pub fn without_relay(mut self) -> Self {
        self.relay = None;
        self
    }

    /// Whether the own link counts as out, so that only probes use it.
    pub fn is_link_out(&self) -> bool {
        self.circuit.is_open()
    }

    /// Whether the service counts as out: neither the own link nor, when they
    /// were asked last, peers reach it.
    pub fn is_out(&self) -> bool {
        let carried = self.relay.as_ref().is_some_and(PlatformRelay::works);
        self.is_link_out() && !carried
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
        if self.is_link_out() {
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
        let wait = ClockSpan::from_millis(asked.budget.as_millis() / 2);
        pass_within(self.pass_share(ask.kind), wait).await?;
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
        if self.is_link_out() && self.circuit.pass().is_ok() {
            // The circuit learns how it ended.
            let _ = self.ask_own(ask).await;
        }
    }

    async fn ask_uncounted(&self, ask: PlatformAsk<'_>) -> Result<PlatformAnswer, PlatformError> {
        self.pass_share(ask.kind).await?;
        if self.is_link_out()
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

    /// Waits for this router's share, if the client is held to one.
    async fn pass_share(&self, kind: ExchangeKind) -> Result<(), PlatformError> {
        match (kind, &self.writes, &self.reads) {
            (ExchangeKind::Write(class), Some(writes), _) => writes.pass(class).await,
            (ExchangeKind::Read(class), _, Some(reads)) => reads.pass(class).await,
            _ => Ok(()),
        }
    }

    /// Tells the circuit how an exchange ended, and the shares of an outage's
    /// end.
    fn report(&self, answered: bool) {
        if !self.circuit.report(answered) {
            return;
        }
        if let Some(writes) = &self.writes {
            writes.resumed();
        }
        if let Some(reads) = &self.reads {
            reads.resumed();
        }
    }

    /// Gives way to a platform that says that it has too much to do.
    fn give_way(&self, kind: ExchangeKind, status: u16) {
        if !matches!(status, 429 | 503) {
            return;
        }
        metrics::counter!("guavawell_platform_overloads_total", "service" => self.service)
            .increment(1);
        match (kind, &self.writes, &self.reads) {
            (ExchangeKind::Write(_), Some(writes), _) => writes.overloaded(),
            (ExchangeKind::Read(_), _, Some(reads)) => reads.overloaded(),
            _ => {}
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
        self.report(false);
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
        self.report(answered);
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
            Ok(answer) => {
                self.give_way(kind, answer.status);
                judge(kind, answer)
            }
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
        let mut response = guavawell_http::exchange(stream, request).await?;
        let status = response.status();
        let body = self.read_body(&mut response).await?;
        if let Some(stream) = response.into_idle() {
            self.pool.put_back(stream);
        }
        Ok(PlatformAnswer { status, body })
    }

    async fn read_body(&self, response: &mut ReceivedResponse<TcpStream>) -> io::Result<Vec<u8>> {
        let limit = self.pool.settings.max_answer_bytes;
        let mut body = Vec::new();
        let mut reader = response.take(limit as u64 + 1);
        reader.read_to_end(&mut body).await?;
        if body.len() > limit {
            return Err(io::Error::other(format!("answer beyond {limit} bytes")));
        }
        Ok(body)
    }
}
