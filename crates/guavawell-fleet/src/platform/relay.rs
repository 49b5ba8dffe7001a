//! Has peers carry exchanges while the own link to the platform is out.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use futures::future::BoxFuture;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::InstanceId;
use guavawell_core::platform::BackoffPolicy;
use guavawell_core::platform::CarrierBook;
use guavawell_core::platform::CarrierPeer;
use guavawell_core::platform::Jitter;

use super::carried::CarriedAnswer;
use super::carried::CarriedAsk;
use super::carried::CarriedService;
use super::error::PlatformError;
use super::exchange::ExchangeKind;
use super::exchange::PlatformAnswer;
use super::exchange::PlatformAsk;
use super::gate::WriteGate;
use crate::clock::now;

/// How long a peer that declined is left alone.
const DECLINED: BackoffPolicy = BackoffPolicy {
    first: ClockSpan::from_millis(200),
    longest: ClockSpan::from_millis(5_000),
};

/// Of the time for a call, the part that the carrier may use: it answers
/// before its asker stops waiting.
const CARRIER_PERCENT: u64 = 75;

/// Calls a peer; the answer says what is known of the exchange.
pub type CarrierCall =
    Box<dyn Fn(InstanceId, CarriedAsk) -> BoxFuture<'static, CarriedAnswer> + Send + Sync>;

/// The way to peers.
pub struct CarrierLink {
    /// Peers that take calls.
    pub peers: Box<dyn Fn() -> Vec<CarrierPeer> + Send + Sync>,
    /// Hands an exchange to one.
    pub call: CarrierCall,
    /// Largest body handed over, in bytes.
    pub max_bytes: usize,
    /// Longest time for one call.
    pub timeout: ClockSpan,
}

/// One service's exchanges, carried by peers; clones share what is known of
/// the peers.
#[derive(Clone)]
pub(super) struct PlatformRelay {
    service: CarriedService,
    link: Arc<CarrierLink>,
    book: Arc<Mutex<CarrierBook>>,
}

impl fmt::Debug for PlatformRelay {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("PlatformRelay");
        debug
            .field("service", &self.service)
            .finish_non_exhaustive()
    }
}

impl PlatformRelay {
    pub fn new(service: CarriedService, link: Arc<CarrierLink>) -> Self {
        Self {
            service,
            link,
            book: Arc::new(Mutex::new(CarrierBook::new(DECLINED))),
        }
    }

    /// Has a peer carry `ask`; `None` if none did and it was not applied.
    pub async fn carry(
        &self,
        ask: &PlatformAsk<'_>,
    ) -> Option<Result<PlatformAnswer, PlatformError>> {
        if ask.body.len() > self.link.max_bytes {
            self.count(ask.kind, "too_large");
            return None;
        }
        let budget = self.link.timeout.as_millis() * CARRIER_PERCENT / 100;
        let carried = CarriedAsk::of(self.service, ask, ClockSpan::from_millis(budget));
        for peer in self.choose() {
            let answer = (self.link.call)(peer.clone(), carried.clone()).await;
            let (outcome, result) = match answer {
                CarriedAnswer::Answered { status, body } => {
                    ("answered", Ok(PlatformAnswer { status, body }))
                }
                CarriedAnswer::Refused(detail) => ("refused", Err(PlatformError::Refused(detail))),
                CarriedAnswer::Lost(detail) => ("lost", Err(PlatformError::Lost(detail))),
                CarriedAnswer::Declined(detail) => {
                    log::debug!("{peer} did not carry an exchange: {detail}");
                    self.count(ask.kind, "declined");
                    self.declined(&peer);
                    continue;
                }
            };
            self.count(ask.kind, outcome);
            match outcome {
                "lost" => self.declined(&peer),
                _ => self.book().carried(&peer),
            }
            return Some(result);
        }
        None
    }

    fn choose(&self) -> Vec<InstanceId> {
        let peers = (self.link.peers)();
        let draws = [Jitter(fastrand::u16(..)), Jitter(fastrand::u16(..))];
        let mut book = self.book();
        book.keep(&peers);
        book.choose(&peers, now(), draws)
    }

    fn declined(&self, peer: &InstanceId) {
        let jitter = Jitter(fastrand::u16(..));
        self.book().declined(peer, now(), jitter);
    }

    fn count(&self, kind: ExchangeKind, outcome: &'static str) {
        metrics::counter!("guavawell_platform_relayed_total",
            "service" => self.service.label(), "class" => kind.label(), "outcome" => outcome)
        .increment(1);
    }

    fn book(&self) -> MutexGuard<'_, CarrierBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for the share of writes, for a part of a carried exchange's time.
pub(super) async fn pass_within(
    writes: &WriteGate,
    kind: ExchangeKind,
    span: ClockSpan,
) -> Result<(), PlatformError> {
    let ExchangeKind::Write(class) = kind else {
        return Ok(());
    };
    smol::future::or(writes.pass(class), async {
        smol::Timer::after(crate::clock::duration(span)).await;
        Err(PlatformError::Throttled(span))
    })
    .await
}
