//! Has peers carry exchanges while the own link to the platform is out.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use futures::future::BoxFuture;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::InstanceId;
use guavawell_core::platform::BackoffPolicy;
use guavawell_core::platform::CircuitPolicy;
use guavawell_core::platform::Jitter;
use guavawell_core::platform::RelayPeer;
use guavawell_core::platform::RelaySelector;

use super::carried::CarriedAnswer;
use super::carried::CarriedAsk;
use super::carried::CarriedService;
use super::error::PlatformError;
use super::exchange::ExchangeKind;
use super::exchange::PlatformAnswer;
use super::exchange::PlatformAsk;
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
    pub peers: Box<dyn Fn() -> Vec<RelayPeer> + Send + Sync>,
    /// Hands an exchange to one.
    pub call: CarrierCall,
    /// Largest body handed over, in bytes.
    pub max_bytes: usize,
    /// Longest time for one call.
    pub timeout: ClockSpan,
}

impl CarrierLink {
    /// The carrier's time for one exchange.
    fn carrier_time(&self) -> ClockSpan {
        ClockSpan::from_millis(self.timeout.as_millis() * CARRIER_PERCENT / 100)
    }
}

/// One service's exchanges, carried by peers; clones share what is known of
/// the peers.
#[derive(Clone)]
pub(super) struct PlatformRelay {
    service: CarriedService,
    link: Arc<CarrierLink>,
    book: Arc<Mutex<RelaySelector>>,
    works: Arc<AtomicBool>,
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
            book: Arc::new(Mutex::new(RelaySelector::new(
                DECLINED,
                CircuitPolicy::default(),
            ))),
            works: Arc::default(),
        }
    }

    /// Whether a peer carried the last exchange that was offered.
    pub fn works(&self) -> bool {
        self.works.load(Ordering::Relaxed)
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
        let carried = CarriedAsk::of(self.service, ask, self.link.carrier_time());
        let peers = self.choose();
        let mut result = None;
        for peer in &peers {
            let answer = (self.link.call)(peer.clone(), carried.clone()).await;
            result = self.judge(peer, ask.kind, answer);
            if result.is_some() {
                break;
            }
        }
        let works = matches!(result, Some(Ok(_) | Err(PlatformError::Refused(_))));
        self.works.store(works, Ordering::Relaxed);
        if !peers.is_empty() {
            let jitter = Jitter(fastrand::u16(..));
            self.book().record_outcome(works, now(), jitter);
        }
        result
    }

    /// What a peer's answer says; `None` lets another be asked.
    fn judge(
        &self,
        peer: &InstanceId,
        kind: ExchangeKind,
        answer: CarriedAnswer,
    ) -> Option<Result<PlatformAnswer, PlatformError>> {
        let outcome = answer.label();
        self.count(kind, outcome);
        match answer {
            CarriedAnswer::Answered { .. } | CarriedAnswer::Refused(_) => {
                self.book().record_success(peer);
            }
            CarriedAnswer::Lost(_) | CarriedAnswer::Declined(_) => {
                let jitter = Jitter(fastrand::u16(..));
                self.book().record_decline(peer, now(), jitter);
            }
        }
        match answer {
            CarriedAnswer::Answered { status, body } => Some(Ok(PlatformAnswer { status, body })),
            CarriedAnswer::Refused(detail) => Some(Err(PlatformError::Refused(detail))),
            CarriedAnswer::Lost(detail) => Some(Err(PlatformError::Lost(detail))),
            CarriedAnswer::Declined(detail) => {
                log::debug!("{peer} did not carry an exchange: {detail}");
                None
            }
        }
    }

    fn choose(&self) -> Vec<InstanceId> {
        let peers = (self.link.peers)();
        let draws = [Jitter(fastrand::u16(..)), Jitter(fastrand::u16(..))];
        let mut book = self.book();
        book.retain_peers(&peers);
        book.choose(&peers, now(), draws)
    }

    fn count(&self, kind: ExchangeKind, outcome: &'static str) {
        metrics::counter!("guavawell_platform_relayed_total",
            "service" => self.service.label(), "class" => kind.label(), "outcome" => outcome)
        .increment(1);
    }

    fn book(&self) -> MutexGuard<'_, RelaySelector> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for a share, for a part of a carried exchange's time.
pub(super) async fn pass_within(
    share: impl Future<Output = Result<(), PlatformError>>,
    span: ClockSpan,
) -> Result<(), PlatformError> {
    smol::future::or(share, async {
        smol::Timer::after(crate::clock::duration(span)).await;
        Err(PlatformError::Throttled(span))
    })
    .await
}
