//! Finds out where a stream began that a caller continues.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::stream::FuturesUnordered;
use futures_lite::StreamExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::forward::RouteEntry;
use guavawell_core::grant::spread_over_zones;
use guavawell_core::id::OrganisationId;
use guavawell_core::poison::RequestFingerprint;
use guavawell_core::stream::MAX_STREAM_AGE;
use guavawell_core::stream::StreamOrigin;
use guavawell_core::stream::StreamTag;

use super::OriginQuestion;
use super::is_resumable;
use super::known_origin;
use crate::clock::timer_span;
use crate::intake::ReceivedRequest;
use crate::peer::PeerRequest;
use crate::peer::read_origin;
use crate::record::RequestRecord;
use crate::refusal::RefusalResponse;
use crate::router::ForwardRouter;

/// Instances that are asked first: those that were told, if their views of the fleet
/// agree, and one more for the one where the stream began.
const FIRST_ASKED: usize = 3;
/// Most instances that are asked for one stream. An id that no instance knows costs so
/// many messages.
const MAX_ASKED: usize = 12;
/// Longest wait for the answers of the first instances, and again for those of the
/// others.
const ASK_TIMEOUT: ClockSpan = ClockSpan::from_millis(300);
/// Longest wait for the list of servers.
const LIST_TIMEOUT: ClockSpan = ClockSpan::from_millis(600);
/// All waits together take at most the request's remaining time divided by this number.
const MAX_WAIT_DIVISOR: u64 = 3;

/// From where it is known at which version a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OriginSource {
    /// This instance knows it.
    Own,
    /// Another instance told it.
    Instance,
    /// All servers of the service had one version for long enough.
    List,
    /// It is not known.
    Unknown,
}

impl OriginSource {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Instance => "instance",
            Self::List => "list",
            Self::Unknown => "unknown",
        }
    }
}

/// Where the stream began that a request continues; `None` if it continues none.
///
/// # Errors
///
/// The refusal if that is not known: the caller has to begin the stream anew.
pub(crate) async fn continued_stream(
    router: &Rc<ForwardRouter>,
    request: &ReceivedRequest,
    route: &RouteEntry,
    (organisation, fingerprint): (Option<&OrganisationId>, RequestFingerprint),
    deadline: ClockTime,
    record: &RequestRecord,
) -> Result<Option<StreamOrigin>, RefusalResponse> {
    let names = &router.settings.names;
    let fields = &request.head.fields;
    let begun_as = fields.get(names.resumes).map(str::trim);
    let is_continued = begun_as.is_some() || fields.get(names.last_event).is_some();
    if !is_continued || !is_resumable(route) {
        return Ok(None);
    }
    let max_wait = router.clock.left(deadline).as_millis() / MAX_WAIT_DIVISOR;
    let until = router.clock.now() + ClockSpan::from_millis(max_wait);
    let question = OriginQuestion {
        stream: begun_as.map(|id| StreamTag::of(organisation, id)),
        fingerprint,
    };
    let (origin, source) = find_origin(router, question, route, until).await;
    record.note("origin", source.as_str());
    metrics::counter!("guavawell_forward_continued_total", "origin" => source.as_str())
        .increment(1);
    match origin {
        Some(origin) => {
            record.note("origin_version", &origin.version);
            Ok(Some(origin))
        }
        None => Err(RefusalResponse::new(ForwardRefusal::StreamUnknown)),
    }
}

async fn find_origin(
    router: &Rc<ForwardRouter>,
    question: OriginQuestion,
    route: &RouteEntry,
    until: ClockTime,
) -> (Option<StreamOrigin>, OriginSource) {
    if let Some(origin) = known_origin(router, question) {
        return (Some(origin), OriginSource::Own);
    }
    if let Some(origin) = ask_instances(router, question, until).await {
        return (Some(origin), OriginSource::Instance);
    }
    match only_origin(router, route, until).await {
        Some(origin) => (Some(origin), OriginSource::List),
        None => (None, OriginSource::Unknown),
    }
}

/// Asks the instances that were probably told of a stream, then others.
async fn ask_instances(
    router: &Rc<ForwardRouter>,
    question: OriginQuestion,
    until: ClockTime,
) -> Option<StreamOrigin> {
    let members = router.peers.members();
    let order = spread_over_zones(&members, question.fingerprint.short());
    let mut addresses = router.peers.addresses_of(order);
    addresses.truncate(MAX_ASKED);
    let (first, others) = addresses.split_at(addresses.len().min(FIRST_ASKED));
    for asked in [first, others] {
        let limit = router.clock.left(until).min(ASK_TIMEOUT);
        if let Some(origin) = ask_all(router, asked, question, timer_span(limit)).await {
            return Some(origin);
        }
    }
    None
}

/// Asks instances at the same time and returns the first answer that knows the stream.
async fn ask_all(
    router: &Rc<ForwardRouter>,
    addresses: &[SocketAddr],
    question: OriginQuestion,
    limit: Duration,
) -> Option<StreamOrigin> {
    let ask = |address: &SocketAddr| ask_one(router, *address, question, limit);
    let mut answers: FuturesUnordered<_> = addresses.iter().map(ask).collect();
    while let Some(answer) = answers.next().await {
        if answer.is_some() {
            return answer;
        }
    }
    None
}

async fn ask_one(
    router: &Rc<ForwardRouter>,
    address: SocketAddr,
    question: OriginQuestion,
    limit: Duration,
) -> Option<StreamOrigin> {
    let request = PeerRequest::Origin(question);
    match router.peers.send_request(address, &request, limit).await {
        Ok(response) => read_origin(&response.body),
        Err(error) => {
            log::debug!("asking {address} for a stream failed: {error}");
            None
        }
    }
}

/// The origin of all streams of a route, if its service had servers of one version only
/// for as long as a stream may be continued. The list of servers must be newer than the
/// request: the caller may have got events of a server that this instance does not know
/// yet.
async fn only_origin(
    router: &ForwardRouter,
    route: &RouteEntry,
    until: ClockTime,
) -> Option<StreamOrigin> {
    let [share] = &*route.shares else {
        return None;
    };
    let only = || {
        let now = router.clock.now();
        let servers = router.servers.borrow();
        let version = servers.only_version(&share.service, MAX_STREAM_AGE, now);
        version.map(|version| StreamOrigin {
            service: share.service.clone(),
            version: version.clone(),
        })
    };
    only()?;
    router.refresh_servers();
    let limit = router.clock.left(until).min(LIST_TIMEOUT);
    if !router.await_refresh(limit).await {
        return None;
    }
    only()
}
