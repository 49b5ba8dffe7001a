//! The way of one request: what it is, whether it may run, who runs it.

use std::rc::Rc;
use std::sync::Arc;

use futures_lite::FutureExt;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::EngineLimits;
use guavawell_core::forward::ForwardConfig;
use guavawell_core::forward::PromptShape;
use guavawell_core::forward::RouteEntry;
use guavawell_core::forward::TokenUsage;
use guavawell_core::id::OrganisationId;
use guavawell_core::id::ServiceId;
use guavawell_core::poison::RequestFingerprint;

use crate::budget::TokenReservation;
use crate::door::ReceivedRequest;
use crate::http::HttpChannel;
use crate::http::wait_for_close;
use crate::prepare::prepare;
use crate::record::RequestRecord;
use crate::refuse::RefusalAnswer;
use crate::router::ForwardRouter;
use crate::send::run_attempts;

/// A request that may be sent to a backend server.
#[derive(Debug)]
pub struct ForwardCall<'a> {
    /// What the caller sent.
    pub request: &'a ReceivedRequest,
    /// The caller's id of the request.
    pub id: &'a str,
    /// What it has in common with its repetitions under other ids.
    pub fingerprint: RequestFingerprint,
    /// The configuration that it was judged by.
    pub config: Rc<ForwardConfig>,
    /// Its route.
    pub route: Arc<RouteEntry>,
    /// The service that it goes to.
    pub service: ServiceId,
    /// The service's engines; `None` for a plain service.
    pub engine: Option<EngineLimits>,
    /// The organisation and the rank of its requests.
    pub organisation: Option<(OrganisationId, Option<u8>)>,
    /// Tokens of the request.
    pub usage: TokenUsage,
    /// Parts of its prompt.
    pub shape: PromptShape,
    /// When the caller or the operator no longer waits.
    pub ends_at: ClockTime,
    /// Tokens set aside.
    pub reservation: Option<Rc<TokenReservation>>,
}

/// Counts a request while it is held.
struct HeldRequest<'a> {
    router: &'a ForwardRouter,
    bytes: usize,
}

impl<'a> HeldRequest<'a> {
    fn new(router: &'a ForwardRouter, bytes: usize) -> Self {
        router.held_requests.set(router.held_requests.get() + 1);
        router.held_bytes.set(router.held_bytes.get() + bytes);
        Self { router, bytes }
    }
}

impl Drop for HeldRequest<'_> {
    fn drop(&mut self) {
        let router = self.router;
        router.held_requests.set(router.held_requests.get() - 1);
        router.held_bytes.set(router.held_bytes.get() - self.bytes);
    }
}

/// Serves a request and returns whether the connection may be used again.
///
/// When the caller leaves, everything that was begun for it ends at once.
pub async fn serve_request(
    router: &Rc<ForwardRouter>,
    channel: &mut HttpChannel,
    request: ReceivedRequest,
) -> bool {
    let name = router.settings.names.request;
    let id: Box<str> = request.head.fields.get(name).unwrap_or("").into();
    let record = RequestRecord::new(router, &id, request.received_at);
    let _held = HeldRequest::new(router, request.body.len());
    let stream = channel.stream();
    let caller = &*channel;
    let serve = async { serve_held(router, caller, &request, &id, &record).await };
    let gone = async {
        wait_for_close(&stream).await;
        false
    };
    serve.or(gone).await
}

async fn serve_held(
    router: &Rc<ForwardRouter>,
    caller: &HttpChannel,
    request: &ReceivedRequest,
    id: &str,
    record: &RequestRecord,
) -> bool {
    match prepare(router, request, id, record).await {
        Ok(call) => {
            let reservation = call.reservation.clone();
            let _note = reservation.map(|reservation| SpendingNote {
                reservation,
                record,
            });
            run_attempts(router, caller, call, record).await
        }
        Err(answer) => refuse(router, caller, request, id, record, &answer).await,
    }
}

/// Notes what a request spent when it ends, however it ends.
struct SpendingNote<'a> {
    reservation: Rc<TokenReservation>,
    record: &'a RequestRecord,
}

impl Drop for SpendingNote<'_> {
    fn drop(&mut self) {
        let (reserved, spent) = self.reservation.tokens();
        self.record.note("tokens_reserved", reserved);
        self.record.note("tokens_spent", spent);
    }
}

/// Sends an answer of the router's own.
pub async fn refuse(
    router: &ForwardRouter,
    caller: &HttpChannel,
    request: &ReceivedRequest,
    id: &str,
    record: &RequestRecord,
    answer: &RefusalAnswer,
) -> bool {
    let keep = request.head.keep && !router.is_leaving();
    record.refused(answer.refusal, answer.status());
    if let Some(span) = answer.retry_after {
        record.note("retry_after_ms", span.as_millis());
    }
    let field = (!id.is_empty()).then_some((router.settings.names.request, id));
    answer.send(caller, field, keep).await.is_ok() && keep
}
