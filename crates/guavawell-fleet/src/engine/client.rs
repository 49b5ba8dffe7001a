//! Sends attempts and control calls to backend servers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::id::FenceNumber;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::RequestId;
use guavawell_core::id::TokenCount;
use guavawell_http::ReceivedResponse;
use http_types::Body;
use http_types::Method;
use http_types::Mime;
use http_types::Request;
use http_types::StatusCode;
use http_types::Url;
use serde::Deserialize;
use smol::Timer;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::io::Cursor;
use smol::net::TcpStream;

use super::EngineError;
use super::EngineExchange;
use super::connection;
use super::event::EventReader;
use super::pool::ConnectionPool;

/// A response of a backend server.
pub(super) type EngineResponse = ReceivedResponse<TcpStream>;

/// Bounds of the exchanges with backend servers.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Longest wait for a new connection.
    pub connect: Duration,
    /// Longest silence on an open connection before it is probed.
    pub idle: Duration,
    /// Longest wait for a control call's answer.
    pub control: Duration,
    /// Largest answer of a plain service, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(5),
            control: Duration::from_secs(2),
            max_answer_bytes: 16 * 1024 * 1024,
        }
    }
}

/// One attempt as it is sent to a backend server.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request that it belongs to.
    pub request: RequestId,
    /// The organisation that pays.
    pub organisation: OrganisationId,
    /// Path, beginning with a slash.
    pub path: Box<str>,
    /// The body, passed on as it is and shared by all sends.
    pub body: Arc<[u8]>,
    /// Priority from 0 to 9; higher goes first.
    pub priority: u8,
    /// Fencing number, where the deployment fences requests.
    pub fence: Option<FenceNumber>,
    /// Whether a pooled connection may be used.
    ///
    /// A request that runs at most once gets a connection of its own, so that
    /// a connection closed while idle cannot leave it in doubt.
    pub reuse: bool,
}

/// A backend server's own record of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct AttemptRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// How far it got.
    pub state: AttemptState,
    /// Prompt tokens counted.
    #[serde(default)]
    pub prompt_tokens: TokenCount,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: TokenCount,
}

/// How far an attempt got at its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AttemptState {
    /// Accepted, not begun.
    Queued,
    /// Generating.
    Running,
    /// Ended whole.
    Done,
    /// Cancelled, or marked so before it arrived.
    Cancelled,
}

impl AttemptRecord {
    /// All tokens that the attempt used.
    #[must_use]
    pub fn total(&self) -> TokenCount {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }
}

/// The whole answer of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media: Box<str>,
    /// The body.
    pub body: Vec<u8>,
}

/// A client of all backend servers, shared by all threads; clones share their
/// connections.
#[derive(Clone, Debug, Default)]
pub struct EngineClient {
    settings: EngineSettings,
    pub(super) pool: Arc<ConnectionPool>,
}

impl EngineClient {
    /// A client with the given bounds.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            pool: Arc::default(),
        }
    }

    /// The bounds in use.
    #[must_use]
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Sends an attempt and returns its stream once the answer's head is there.
    ///
    /// # Errors
    ///
    /// As [`EngineError`] tells; `wait` bounds the silence before the head.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &EngineRequest,
        wait: Duration,
    ) -> Result<EngineExchange, EngineError> {
        let stream = self.connect(address, request.reuse).await?;
        let message = attempt_message(address, request);
        let response = self.exchange(address, stream, message, wait).await?;
        self.open_exchange(address, response)
    }

    /// Sends an attempt to a plain service and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`EngineError`] tells.
    pub async fn call_service(
        &self,
        address: SocketAddr,
        request: &EngineRequest,
        wait: Duration,
    ) -> Result<ServiceAnswer, EngineError> {
        let stream = self.connect(address, request.reuse).await?;
        let message = attempt_message(address, request);
        let response = self.exchange(address, stream, message, wait).await?;
        let status = response.status();
        if status == 503 {
            return Err(rejection(&response));
        }
        if StatusCode::try_from(status).is_err() {
            return Err(EngineError::Lost(unexpected_status(status)));
        }
        let media = media_type(&response);
        let body = self.read_whole(address, response).await?;
        Ok(ServiceAnswer {
            status,
            media,
            body,
        })
    }

    /// Opens the stream of an earlier attempt after the event `last`.
    ///
    /// # Errors
    ///
    /// [`EngineError::UnknownAttempt`] if the backend server has no such attempt.
    pub async fn resume(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        last: Option<&str>,
    ) -> Result<EngineExchange, EngineError> {
        let stream = self.connect(address, false).await?;
        let path = format!("/v1/attempts/{attempt}/stream");
        let mut message = Request::new(Method::Get, url(address, &path));
        if let Some(last) = last {
            message.insert_header("last-event-id", last);
        }
        let wait = self.settings.control;
        let response = self.exchange(address, stream, message, wait).await?;
        self.open_exchange(address, response)
    }

    /// Reads the backend server's record of an attempt, on a new connection.
    ///
    /// # Errors
    ///
    /// [`EngineError::UnknownAttempt`] if the backend server has no such attempt.
    pub async fn record(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
    ) -> Result<AttemptRecord, EngineError> {
        self.control(address, attempt, Method::Get).await
    }

    /// Cancels an attempt; one that never arrived will be refused if it does.
    ///
    /// # Errors
    ///
    /// As [`EngineError`] tells.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
    ) -> Result<AttemptRecord, EngineError> {
        self.control(address, attempt, Method::Delete).await
    }

    /// Fetches a JSON page such as `/v1/load`.
    ///
    /// # Errors
    ///
    /// As [`EngineError`] tells.
    pub async fn fetch(&self, address: SocketAddr, path: &str) -> Result<Vec<u8>, EngineError> {
        let stream = self.connect(address, true).await?;
        let message = Request::new(Method::Get, url(address, path));
        let wait = self.settings.control;
        let response = self.exchange(address, stream, message, wait).await?;
        check_status(&response)?;
        self.read_whole(address, response).await
    }

    /// Drops the idle connections to `address`, after one of them went silent.
    pub fn forget(&self, address: SocketAddr) {
        self.pool.forget(address);
    }

    async fn control(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        method: Method,
    ) -> Result<AttemptRecord, EngineError> {
        let stream = self.connect(address, false).await?;
        let path = format!("/v1/attempts/{attempt}");
        let message = Request::new(method, url(address, &path));
        let wait = self.settings.control;
        let response = self.exchange(address, stream, message, wait).await?;
        check_status(&response)?;
        let body = self.read_whole(address, response).await?;
        serde_json::from_slice(&body)
            .map_err(|error| EngineError::Malformed(error.to_string().into()))
    }

    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        reuse: bool,
    ) -> Result<TcpStream, EngineError> {
        if reuse && let Some(stream) = self.pool.take(address).await {
            return Ok(stream);
        }
        connection::open(address, self.settings.connect)
            .await
            .map_err(EngineError::NotSent)
    }

    pub(super) async fn exchange(
        &self,
        address: SocketAddr,
        stream: TcpStream,
        message: Request,
        wait: Duration,
    ) -> Result<EngineResponse, EngineError> {
        let answer = async {
            let exchanged = guavawell_http::exchange(stream, message);
            exchanged.await.map_err(EngineError::Lost)
        };
        let silence = async {
            Timer::after(wait).await;
            self.pool.forget(address);
            Err(EngineError::Silent)
        };
        answer.or(silence).await
    }

    fn open_exchange(
        &self,
        address: SocketAddr,
        response: EngineResponse,
    ) -> Result<EngineExchange, EngineError> {
        check_status(&response)?;
        Ok(EngineExchange {
            address,
            response,
            events: EventReader::default(),
            pool: Arc::clone(&self.pool),
        })
    }

    /// Reads the whole body, and keeps the connection if it can be used again.
    pub(super) async fn read_whole(
        &self,
        address: SocketAddr,
        mut response: EngineResponse,
    ) -> Result<Vec<u8>, EngineError> {
        let read = read_bounded(&mut response, self.settings.max_answer_bytes);
        let silence = async {
            Timer::after(self.settings.idle).await;
            Err(EngineError::Silent)
        };
        let bytes = read.or(silence).await?;
        if let Some(stream) = response.into_idle() {
            self.pool.give_back(address, stream);
        }
        Ok(bytes)
    }
}

async fn read_bounded(response: &mut EngineResponse, limit: usize) -> Result<Vec<u8>, EngineError> {
    let mut bytes = Vec::new();
    let bound = u64::try_from(limit).unwrap_or(u64::MAX).saturating_add(1);
    response
        .take(bound)
        .read_to_end(&mut bytes)
        .await
        .map_err(EngineError::Lost)?;
    if bytes.len() > limit {
        return Err(EngineError::Malformed("answer too large".into()));
    }
    Ok(bytes)
}

/// The media type of a body, as it can be passed on.
fn media_type(response: &EngineResponse) -> Box<str> {
    let stated = response.field("content-type");
    let media: Option<Mime> = stated
        .filter(|text| text.is_ascii())
        .and_then(|text| text.parse().ok());
    media.map_or_else(
        || "application/octet-stream".into(),
        |media| media.to_string().into(),
    )
}

fn attempt_message(address: SocketAddr, request: &EngineRequest) -> Request {
    let mut message = Request::new(Method::Post, url(address, &request.path));
    message.insert_header("content-type", "application/json");
    message.insert_header("x-guavawell-attempt", request.attempt.to_string());
    message.insert_header("x-guavawell-request", request.request.as_str());
    message.insert_header("x-guavawell-organisation", request.organisation.as_str());
    message.insert_header("x-guavawell-priority", request.priority.to_string());
    if let Some(fence) = request.fence {
        message.insert_header("x-guavawell-fence", fence.to_string());
    }
    let body = Cursor::new(Arc::clone(&request.body));
    message.set_body(Body::from_reader(body, Some(request.body.len())));
    message
}

pub(super) fn url(address: SocketAddr, path: &str) -> Url {
    Url::parse(&format!("http://{address}{path}")).expect("an address and a path make a URL")
}

/// Checks that an exchange was accepted. Only the client errors and 503 say that nothing
/// was run.
pub(super) fn check_status(response: &EngineResponse) -> Result<(), EngineError> {
    match response.status() {
        200 => Ok(()),
        404 => Err(EngineError::UnknownAttempt),
        400..500 | 503 => Err(rejection(response)),
        status => Err(EngineError::Lost(unexpected_status(status))),
    }
}

fn unexpected_status(status: u16) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("status {status}"))
}

fn rejection(response: &EngineResponse) -> EngineError {
    let seconds = response
        .field("retry-after")
        .and_then(|text| text.parse::<u64>().ok());
    EngineError::Rejected {
        status: response.status(),
        retry_after: seconds.map(|seconds| ClockSpan::from_millis(seconds.saturating_mul(1_000))),
    }
}
