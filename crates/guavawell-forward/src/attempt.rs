//! Sends a request to one backend server and relays the response.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use futures_lite::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::AttemptEnd;
use guavawell_core::forward::RequestWrite;
use guavawell_core::forward::ServerIncarnation;
use guavawell_core::forward::ServerPick;
use guavawell_core::id::InstanceId;
use guavawell_core::poison::OrganisationTag;
use guavawell_core::poison::RequestFingerprint;
use guavawell_core::poison::SuspicionMark;
use guavawell_core::stream::SoftwareVersion;

use crate::clock::timer_span;
use crate::connect::open_channel;
use crate::crash::AbandonedAttempt;
use crate::crash::AttemptWatch;
use crate::eligible::claim_send;
use crate::handover::AttemptRace;
use crate::handover::LateWatch;
use crate::handover::RaceEnd;
use crate::http::BodyDecoder;
use crate::http::ChannelError;
use crate::http::HttpChannel;
use crate::http::within;
use crate::in_flight::InFlightGuard;
use crate::in_flight::drop_silent_connections;
use crate::read_ahead::CallerOutbox;
use crate::receive::WantedPart;
use crate::receive::receive_first;
use crate::record::RequestRecord;
use crate::relay::relay_part;
use crate::request::RequestBytes;
use crate::response::BufferedResponse;
use crate::response::IncomingResponse;
use crate::response_check::check_response;
use crate::retry::RequestProgress;
use crate::router::ForwardRouter;
use crate::routing::is_allowed;
use crate::serve::ForwardCall;
use crate::server_status::apply_server_status;

/// One attempt at a server.
#[derive(Debug)]
pub struct AttemptInfo {
    /// The id of the request.
    pub request: Box<str>,
    /// The server.
    pub server: ServerIncarnation,
    /// The version of its software.
    pub version: Option<SoftwareVersion>,
    /// The suspicion of the request when it was sent.
    pub suspicion: SuspicionMark,
    /// The instance that carries the connection, if any.
    pub carrier: Option<InstanceId>,
    /// How long the connection had been idle; `None` if it was new, or none was opened.
    pub idle_for: Option<ClockSpan>,
    /// When the request was sent, or the attempt last brought bytes; `None` if it was
    /// not sent.
    pub heard_at: Cell<Option<ClockTime>>,
}

impl AttemptInfo {
    /// An attempt that was not sent yet.
    fn new(request: &str, server: ServerIncarnation) -> Self {
        Self {
            request: request.into(),
            server,
            version: None,
            suspicion: SuspicionMark::default(),
            carrier: None,
            idle_for: None,
            heard_at: Cell::new(None),
        }
    }
}

/// An attempt that brought no complete response.
#[derive(Debug)]
pub struct AttemptFailure {
    /// The attempt.
    pub info: Rc<AttemptInfo>,
    /// How it ended.
    pub end: AttemptEnd,
    /// The server's error response, if there is one.
    pub response: Option<BufferedResponse>,
}

impl AttemptFailure {
    /// An attempt that ended without an error response.
    #[must_use]
    pub fn new(info: &Rc<AttemptInfo>, end: AttemptEnd) -> Self {
        Self {
            info: Rc::clone(info),
            end,
            response: None,
        }
    }
}

/// The result of the attempts that were open together.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The response is complete, and was sent to the caller or waits for it: its status,
    /// and whether the caller's connection may be reused.
    Delivered(u16, bool),
    /// The connection to the caller failed.
    CallerDisconnected,
    /// The response broke off after part of it was sent to the caller, and no
    /// other server can continue it.
    Truncated,
    /// The last open attempt brought no complete response.
    Ended(AttemptFailure),
}

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptCause {
    /// No other attempt is open.
    Next,
    /// Another one is open and late. The retry is counted when the request is sent.
    Late,
}

/// A request that was sent to a server, or is about to be, and has no response yet.
#[derive(Debug)]
pub struct SentRequest {
    channel: HttpChannel,
    guard: InFlightGuard,
    watch: AttemptWatch,
    /// The attempt.
    pub info: Rc<AttemptInfo>,
}

/// Sends a request to a server and relays the response; goes over to another server if
/// the first one is late.
pub async fn send_attempt(
    router: &Rc<ForwardRouter>,
    caller: &CallerOutbox<'_>,
    call: &ForwardCall<'_>,
    pick: &ServerPick,
    progress: &mut RequestProgress,
    record: &RequestRecord,
) -> AttemptOutcome {
    let sent = match open_attempt(router, call, pick, progress, AttemptCause::Next).await {
        Ok(sent) => sent,
        Err(failure) => return AttemptOutcome::Ended(failure),
    };
    let info = Rc::clone(&sent.info);
    progress.current = Some(Rc::clone(&info));
    let after = progress.stream.last_event;
    let bytes = RequestBytes::new(router, call, &info.server, after);
    let wanted = WantedPart {
        after,
        needs_event: false,
    };
    let race = AttemptRace {
        router,
        caller,
        call,
        record,
        info: &info,
    };
    let end = {
        let first = pin!(receive_first(router, caller, call, sent, bytes, wanted));
        race.run(progress, &mut LateWatch::default(), first).await
    };
    match end {
        RaceEnd::First(part) => relay_part(router, caller, call, record, progress, part).await,
        RaceEnd::Second(second) => {
            let (part, renewed) = *second;
            relay_part(router, caller, &renewed, record, progress, part).await
        }
        RaceEnd::Ended(failure) => AttemptOutcome::Ended(failure),
    }
}

/// Connects to a server for a request and checks once more that it may be sent there.
///
/// # Errors
///
/// The request is not sent.
pub async fn open_attempt(
    router: &Rc<ForwardRouter>,
    call: &ForwardCall<'_>,
    pick: &ServerPick,
    progress: &mut RequestProgress,
    cause: AttemptCause,
) -> Result<SentRequest, AttemptFailure> {
    progress.tried.push(pick.server.clone());
    let mut info = AttemptInfo::new(call.id, pick.server.clone());
    let memory_tokens = call.usage.worst_case().get();
    let suspect = router.poison.suspect(call.fingerprint);
    let guard = InFlightGuard::new(router, pick, memory_tokens, suspect);
    if cause == AttemptCause::Late {
        guard.begin_taking_over();
    }
    let began = router.clock.now();
    let Some(channel) = open_channel(router, call, &pick.server).await else {
        progress.unsent += 1;
        let passed = router.clock.now().since(began);
        progress.unsent_time =
            ClockSpan::from_millis(progress.unsent_time.as_millis() + passed.as_millis());
        return Err(AttemptFailure::new(&Rc::new(info), AttemptEnd::NotSent));
    };
    info.carrier = channel.carrier().cloned();
    info.idle_for = channel.idle_for();
    router
        .await_doubted_zones(&call.service, call.deadline)
        .await;
    if !may_send(router, call, &pick.server, cause) {
        progress.unsent += 1;
        return Err(AttemptFailure::new(&Rc::new(info), AttemptEnd::NotSent));
    }
    progress.note_sent();
    if let Some(reservation) = &call.reservation {
        reservation.spend(call.usage.input);
    }
    info.heard_at = Cell::new(Some(router.clock.now()));
    info.version = version_of(router, &pick.server);
    info.suspicion = router.poison.mark(call.fingerprint);
    let attempt = AbandonedAttempt {
        parts: Rc::default(),
        ..abandoned_attempt(call, progress, &info)
    };
    Ok(SentRequest {
        channel,
        guard,
        watch: AttemptWatch::new(router, attempt),
        info: Rc::new(info),
    })
}

/// Whether the request may be sent to the server now. All this may have changed while the
/// connection was being opened.
fn may_send(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    server: &ServerIncarnation,
    cause: AttemptCause,
) -> bool {
    let expired = router.clock.left(call.deadline) == ClockSpan::default();
    if expired || is_refused(router, call) || !is_allowed(router, call) {
        return false;
    }
    let is_counted = cause == AttemptCause::Next || router.take_retry(&call.service);
    is_counted && claim_send(router, call, server)
}

/// The version of a server's software, as it is listed now.
fn version_of(router: &ForwardRouter, server: &ServerIncarnation) -> Option<SoftwareVersion> {
    let servers = router.servers.borrow();
    servers.get(server).map(|entry| entry.version.clone())
}

/// Whether the request, or a part of its prompt, is known to crash servers.
pub fn is_refused(router: &ForwardRouter, call: &ForwardCall<'_>) -> bool {
    let is_tried =
        |part: &RequestFingerprint| call.trials.iter().any(|trial| trial.part() == *part);
    let parts = call.parts.iter().copied().filter(|part| !is_tried(part));
    let refused = router.poison.refused_with_parts(call.fingerprint, parts);
    refused.is_some()
}

/// Describes an attempt, for the case that its server crashes after the attempt
/// was given up.
#[must_use]
pub fn abandoned_attempt(
    call: &ForwardCall<'_>,
    progress: &RequestProgress,
    info: &AttemptInfo,
) -> AbandonedAttempt {
    let organisation = call.organisation.as_ref().map(|(id, _)| id);
    AbandonedAttempt {
        server: info.server.clone(),
        fingerprint: call.fingerprint,
        organisation: OrganisationTag::of(organisation),
        suspicion: info.suspicion,
        parts: if progress.stream.goes_well {
            Rc::default()
        } else {
            Rc::clone(&call.parts)
        },
    }
}

impl SentRequest {
    /// Sends the request and waits for the head of the response, until the request's
    /// time limit.
    ///
    /// # Errors
    ///
    /// No response began.
    pub async fn exchange(
        self,
        router: &Rc<ForwardRouter>,
        call: &ForwardCall<'_>,
        bytes: RequestBytes<'_>,
    ) -> Result<IncomingResponse, AttemptFailure> {
        let Self {
            mut channel,
            guard,
            mut watch,
            info,
        } = self;
        let sent = Cell::new(false);
        let request_write = Cell::new(RequestWrite::default());
        let stray = Cell::new(false);
        let stream = channel.stream();
        let began = router.clock.now();
        let is_carried = channel.carrier().is_some();
        let is_head_request = call.request.head.method.as_ref() == "HEAD";
        channel.note_sent(bytes.size());
        let write = async {
            let written = bytes.send(&stream).await;
            // A server may respond without reading the whole request, so a write
            // error does not end the attempt.
            sent.set(written.is_ok());
            if let Err(error) = written {
                request_write.set(RequestWrite::from_error(&error));
            }
            std::future::pending().await
        };
        let head = channel.response_head(is_head_request, |head| {
            apply_server_status(router, guard.server(), head);
            let echoed_id = head.fields.get(router.settings.names.request);
            let is_own = echoed_id.is_none_or(|id| id == call.id);
            stray.set(stray.get() || !is_own);
            is_own
        });
        let read = within(time_left(router, call.deadline), head);
        // A server that has restarted cannot respond to requests that were sent to
        // it before. A response that has already arrived is still read first, since
        // the read is polled before this future.
        let restarted = async {
            guard.server_restarted().await;
            Err(ChannelError::Closed)
        };
        let received = write.or(read).or(restarted).await;
        let result = received.and_then(|head| {
            check_response(&router.settings.names, &call.request.head, call.id, &head)?;
            Ok(head)
        });
        let error = match result {
            Ok(head) => {
                guard.note_received(&info);
                channel.note_request_write(request_write.get());
                return Ok(IncomingResponse {
                    decoder: BodyDecoder::new(head.framing),
                    reusable: sent.get() && !stray.get(),
                    channel,
                    head,
                    guard,
                    watch,
                    info,
                });
            }
            Err(error) => error,
        };
        guard.note_broken(&info, &error);
        // A connection over the lost way says nothing of the server.
        if is_carried || !router.is_path_lost(&call.service) {
            guard.note_outcome(true);
        }
        log::debug!("no response from {}: {error}", guard.server());
        if matches!(error, ChannelError::TimedOut) {
            drop_silent_connections(router, &info.server, began);
            Err(AttemptFailure::new(&info, AttemptEnd::Silent))
        } else {
            watch.settle();
            Err(AttemptFailure::new(&info, AttemptEnd::Lost))
        }
    }
}

/// The time until `deadline`, as a timeout.
#[must_use]
pub fn time_left(router: &ForwardRouter, deadline: ClockTime) -> std::time::Duration {
    timer_span(router.clock.left(deadline))
}
