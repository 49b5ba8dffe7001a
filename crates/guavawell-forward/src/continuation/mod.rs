//! Continues streams at the version of the software that began them.
//!
//! A stream whose server breaks off goes on at another server of the same version. A
//! caller may also continue a stream at another instance, under a new id, and names the
//! request that brought the first event. So the instance that began the stream tells
//! others where ([`tell`]), and the one that is to continue it asks them ([`ask`]).

mod ask;
mod tell;

use std::cell::RefCell;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::RetrySafety;
use guavawell_core::forward::RouteEntry;
use guavawell_core::poison::OrganisationTag;
use guavawell_core::poison::RequestFingerprint;
use guavawell_core::stream::OriginSettings;
use guavawell_core::stream::OriginTable;
use guavawell_core::stream::SharedOrigin;
use guavawell_core::stream::SoftwareVersion;
use guavawell_core::stream::StreamOrigin;
use guavawell_core::stream::StreamTag;

pub(crate) use self::ask::continued_stream;
use self::tell::UntoldOrigin;
pub use self::tell::retell_origins;
pub use self::tell::tell_origins;
use crate::clock::SteadyClock;
use crate::router::ForwardRouter;
use crate::serve::ForwardCall;

/// How often a caller sends a request for one stream, the first one included.
const MAX_REQUESTS: u64 = 3;
/// Number of the first boot of an instance.
const FIRST_BOOT: u64 = 1;

/// Asks where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OriginQuestion {
    /// The stream; `None` if the caller does not name it.
    pub(crate) stream: Option<StreamTag>,
    /// The request that began it.
    pub(crate) fingerprint: RequestFingerprint,
}

/// The streams whose origin this instance knows.
#[derive(Debug)]
pub struct StreamOrigins {
    table: RefCell<OriginTable>,
    /// Streams that began here and that other instances were not told yet.
    untold: RefCell<Vec<UntoldOrigin>>,
    /// Streams of which nobody could be told, as no other instance is known.
    unaddressed: RefCell<Vec<UntoldOrigin>>,
    added: Event,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        let table = OriginTable::new(OriginSettings::default());
        Self {
            table: RefCell::new(table.kept_since(SteadyClock::ORIGIN)),
            untold: RefCell::default(),
            unaddressed: RefCell::default(),
            added: Event::new(),
        }
    }
}

impl StreamOrigins {
    /// Adds streams of which another instance told.
    pub(crate) fn learn(&self, origins: &[SharedOrigin], now: ClockTime) {
        let mut table = self.table.borrow_mut();
        for shared in origins {
            table.add(shared, now);
        }
    }

    /// Removes the streams that are no longer continued.
    pub(crate) fn sweep(&self, now: ClockTime) {
        self.table.borrow_mut().sweep(now);
    }

    fn queue(&self, origins: impl IntoIterator<Item = UntoldOrigin>) {
        self.untold.borrow_mut().extend(origins);
        self.added.notify(usize::MAX);
    }
}

/// Whether no instance of the fleet has served streams before this process started.
fn starts_fleet(router: &ForwardRouter) -> bool {
    router.settings.may_start_fleet && router.budgets.boot() == FIRST_BOOT
}

/// Where a stream began, if this instance knows it.
pub(crate) fn known_origin(
    router: &ForwardRouter,
    question: OriginQuestion,
) -> Option<StreamOrigin> {
    let now = router.clock.now();
    let mut table = router.origins.table.borrow_mut();
    if starts_fleet(router) {
        table.note_first_start();
    }
    let origin = match question.stream {
        Some(stream) => table.find(stream, now),
        None => table.find_request(question.fingerprint, now),
    };
    origin.cloned()
}

/// Whether callers may continue streams of a route.
fn is_resumable(route: &RouteEntry) -> bool {
    route.streaming && route.retry_safety == RetrySafety::Resumable
}

/// How long where a stream of a route began is kept.
fn stream_life(route: &RouteEntry) -> ClockSpan {
    ClockSpan::from_millis(route.time_limit.as_millis().saturating_mul(MAX_REQUESTS))
}

/// Records that the first part of a response came from a server of this version.
/// Returns where the stream began, from which on it may only go on there; `None` if it
/// cannot be continued.
pub(crate) fn note_begun(
    router: &ForwardRouter,
    call: &ForwardCall<'_>,
    version: Option<&SoftwareVersion>,
) -> Option<StreamOrigin> {
    if !is_resumable(&call.route) {
        return None;
    }
    if call.origin.is_some() {
        return call.origin.clone();
    }
    let origin = StreamOrigin {
        service: call.service.clone(),
        version: version?.clone(),
    };
    let organisation = call.organisation.as_ref().map(|(id, _)| id);
    let shared = SharedOrigin {
        stream: StreamTag::of(organisation, call.id),
        fingerprint: call.fingerprint,
        organisation: OrganisationTag::of(organisation),
        origin: origin.clone(),
        lasts: stream_life(&call.route),
    };
    let now = router.clock.now();
    router.origins.learn(std::slice::from_ref(&shared), now);
    router.origins.queue([UntoldOrigin::new(shared)]);
    Some(origin)
}
