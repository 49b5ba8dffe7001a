//! Serves one request: prepares it, then sends or refuses it.

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
use guavawell_core::stream::StreamOrigin;

use crate::budget::TokenReservation;
use crate::http::HttpChannel;
use crate::http::wait_for_close;
use crate::intake::ReceivedRequest;
use crate::link::LinkCharge;
use crate::poison::TrialPermit;
use crate::prepare::prepare;
use crate::read_ahead::CallerOutbox;
use crate::read_ahead::DeliveryEnd;
use crate::record::RequestRecord;
use crate::refusal::RefusalResponse;
use crate::retry::run_attempts;
use crate::router::ForwardRouter;

/// A request that was accepted for forwarding.
#[derive(Clone, Debug)]
pub struct ForwardCall<'a> {
    /// The request as received.
    pub request: &'a ReceivedRequest,
    /// The caller's request id.
    pub id: &'a str,
    /// Hash of the organisation, host, target and body. It is the same for
    /// copies of the request with other ids.
    pub fingerprint: RequestFingerprint,
    /// The configuration that was applied to it.
    pub config: Rc<ForwardConfig>,
    /// Its route.
    pub route: Arc<RouteEntry>,
    /// The service to which it is sent.
    pub service: ServiceId,
    /// The service's engines; `None` for a plain service.
    pub engine: Option<EngineLimits>,
    /// The organisation and the priority of its requests.
    pub organisation: Option<(OrganisationId, Option<u8>)>,
    /// The request's token usage.
    pub usage: TokenUsage,
    /// The parts of its prompt.
    pub shape: PromptShape,
    /// Fingerprints of the parts that it may share with other requests.
    pub parts: Rc<[RequestFingerprint]>,
    /// The refused parts of its prompt for which it is tried nevertheless.
    pub(crate) trials: Rc<[TrialPermit]>,
    /// Where the stream began that the request continues, or that has begun; `None`
    /// until then.
    pub origin: Option<StreamOrigin>,
    /// When the caller's or the route's time limit ends.
    pub deadline: ClockTime,
    /// Its charge on the link; `None` if the link is not watched.
    pub link_charge: Option<Rc<LinkCharge>>,
    /// The tokens reserved for it.
    pub reservation: Option<Rc<TokenReservation>>,
}

/// Counts a request while it is being served.
struct HeldRequest<'a> {
    router: &'a ForwardRouter,
}

impl<'a> HeldRequest<'a> {
    fn new(router: &'a ForwardRouter) -> Self {
        router.held_requests.set(router.held_requests.get() + 1);
        Self { router }
    }
}

impl Drop for HeldRequest<'_> {
    fn drop(&mut self) {
        let router = self.router;
        router.held_requests.set(router.held_requests.get() - 1);
    }
}

/// Serves a request. Returns whether the caller's connection may be reused.
///
/// If the caller disconnects, all work for the request is cancelled at once.
pub async fn serve_request(
    router: &Rc<ForwardRouter>,
    channel: &mut HttpChannel,
    request: ReceivedRequest,
) -> bool {
    let name = router.settings.names.request;
    let id: Box<str> = request.head.fields.get(name).unwrap_or("").into();
    let record = RequestRecord::new(router, &id, request.received_at);
    let _held = HeldRequest::new(router);
    let stream = channel.stream();
    let caller = CallerOutbox::new(router, channel);
    let serve = async {
        let keep_alive = serve_held(router, &caller, &request, &id, &record).await;
        caller.finish().await;
        keep_alive
    };
    let disconnected = async {
        wait_for_close(&stream).await;
        false
    };
    let deliver = async {
        match caller.deliver().await {
            DeliveryEnd::Ended(end) => caller.abandon(end, &id, &record),
            DeliveryEnd::Closed => {
                log::debug!("a caller closed its connection while its response waited");
                caller.reset();
            }
            DeliveryEnd::Failed(error) => log::debug!("a caller's connection failed: {error}"),
        }
        false
    };
    let keep_alive = serve.or(disconnected).or(deliver).await;
    caller.note_peak(&record);
    keep_alive
}

async fn serve_held(
    router: &Rc<ForwardRouter>,
    caller: &CallerOutbox<'_>,
    request: &ReceivedRequest,
    id: &str,
    record: &RequestRecord,
) -> bool {
    match prepare(router, request, caller.channel().meter(), id, record).await {
        Ok(call) => {
            let reservation = call.reservation.clone();
            let _recorder = reservation.map(|reservation| SpendingRecorder {
                reservation,
                record,
            });
            run_attempts(router, caller, call, record).await
        }
        Err(response) => {
            send_refusal(router, caller.channel(), request, id, record, &response).await
        }
    }
}

/// Records the reserved and spent tokens when a request ends, also if it is
/// cancelled.
struct SpendingRecorder<'a> {
    reservation: Rc<TokenReservation>,
    record: &'a RequestRecord,
}

impl Drop for SpendingRecorder<'_> {
    fn drop(&mut self) {
        let (reserved, spent) = self.reservation.tokens();
        self.record.note("tokens_reserved", reserved);
        self.record.note("tokens_spent", spent);
    }
}

/// Sends a refusal to the caller. Returns whether the connection may be reused.
pub async fn send_refusal(
    router: &ForwardRouter,
    caller: &HttpChannel,
    request: &ReceivedRequest,
    id: &str,
    record: &RequestRecord,
    response: &RefusalResponse,
) -> bool {
    let keep_alive = request.head.keep_alive && router.keeps_connections();
    record.refused(response.refusal, response.status());
    if let Some(span) = response.retry_after {
        record.note("retry_after_ms", span.as_millis());
    }
    let field = (!id.is_empty()).then_some((router.settings.names.request, id));
    response.send(caller, field, keep_alive).await.is_ok() && keep_alive
}
