//! Waits for admission: fairness, deadlines and bounded queues are decided in
//! `guavawell_core::limits`; here a request sleeps until it is told.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::Weak;

use arc_swap::ArcSwap;
use guavawell_core::backend::RouteTarget;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::OrganisationId;
use guavawell_core::limits::Admission;
use guavawell_core::limits::AdmissionAnswer;
use guavawell_core::limits::AdmissionEffect;
use guavawell_core::limits::AdmissionGate;
use guavawell_core::limits::AdmissionRefusal;
use guavawell_core::limits::AdmissionRequest;
use guavawell_core::limits::AdmissionSettings;
use guavawell_core::limits::AdmissionTicket;
use guavawell_core::limits::RequestPriority;
use smol::channel;
use smol::channel::Sender;

use crate::clock;

/// Priority at the engine of an organisation within its weighted share.
const WITHIN_SHARE: RequestPriority = RequestPriority::new(7);
/// Priority at the engine of an organisation above its weighted share.
const ABOVE_SHARE: RequestPriority = RequestPriority::new(3);

/// The door that every request goes through.
#[derive(Debug)]
pub struct AdmissionDoor {
    gate: ArcSwap<AdmissionGate>,
    /// Who waits, sorted by ticket.
    waiting: Mutex<Vec<TicketWaiter>>,
}

#[derive(Debug)]
struct TicketWaiter {
    ticket: AdmissionTicket,
    /// The right to run, as soon as the ticket's turn comes.
    claim: PassClaim,
    word: Sender<Result<AdmissionPass, AdmissionRefusal>>,
}

/// What a pass is made of.
#[derive(Clone, Debug)]
struct PassClaim {
    door: Weak<AdmissionDoor>,
    shard: Arc<Mutex<Admission>>,
    organisation: OrganisationId,
}

/// The right to run; given back when dropped.
#[derive(Debug)]
pub struct AdmissionPass(PassClaim);

/// Why a request was not admitted; it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAdmitted {
    /// The target is not served.
    NoTarget,
    /// Refused as stated.
    Refused(AdmissionRefusal),
}

impl AdmissionDoor {
    /// A door without targets.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            gate: ArcSwap::from_pointee(AdmissionGate::new(settings, Vec::new())),
            waiting: Mutex::default(),
        }
    }

    /// Replaces the targets; whoever waits keeps its place.
    pub fn set_targets(&self, targets: Vec<RouteTarget>) {
        let gate = self.gate.load().with_targets(targets);
        self.gate.store(Arc::new(gate));
    }

    /// A ticket for one request.
    #[must_use]
    pub fn ticket(&self) -> AdmissionTicket {
        self.gate.load().ticket()
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// [`NotAdmitted`], told as soon as it is decided.
    pub async fn enter(
        self: &Arc<Self>,
        target: &RouteTarget,
        ask: AdmissionRequest,
    ) -> Result<AdmissionPass, NotAdmitted> {
        let shard = self
            .gate
            .load()
            .shard(target)
            .ok_or(NotAdmitted::NoTarget)?;
        let claim = PassClaim {
            door: Arc::downgrade(self),
            shard: Arc::clone(&shard),
            organisation: ask.organisation.clone(),
        };
        let ticket = ask.ticket;
        let (sender, receiver) = channel::bounded(1);
        let mut effects = Vec::new();
        let answer = {
            let mut admission = AdmissionGate::lock(&shard);
            let answer = admission.submit(ask, clock::now(), &mut effects);
            if answer == AdmissionAnswer::Queued {
                // Under the shard's lock, so that no word comes before its waiter.
                self.register(TicketWaiter {
                    ticket,
                    claim: claim.clone(),
                    word: sender,
                });
            }
            answer
        };
        self.tell(effects);
        match answer {
            AdmissionAnswer::Run => Ok(AdmissionPass(claim)),
            AdmissionAnswer::Refused(refusal) => Err(NotAdmitted::Refused(refusal)),
            AdmissionAnswer::Queued => match receiver.recv().await {
                Ok(Ok(pass)) => Ok(pass),
                Ok(Err(refusal)) => Err(NotAdmitted::Refused(refusal)),
                Err(_) => Err(NotAdmitted::NoTarget),
            },
        }
    }

    /// Lets time pass and sets each target's limit to what its servers take,
    /// and its slots to what this router may take of theirs.
    pub fn review(
        &self,
        now: ClockTime,
        capacity: impl Fn(&RouteTarget) -> u32,
        slots: impl Fn(&RouteTarget) -> u32,
    ) {
        let gate = self.gate.load();
        for target in gate.targets() {
            let Some(shard) = gate.shard(target) else {
                continue;
            };
            let mut effects = Vec::new();
            {
                let mut admission = AdmissionGate::lock(&shard);
                admission.tick(now, &mut effects);
                admission.set_slots(slots(target));
                admission.set_limit(capacity(target).max(1), now, &mut effects);
            }
            self.tell(effects);
        }
    }

    fn register(&self, waiter: TicketWaiter) {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let place = waiting.partition_point(|other| other.ticket < waiter.ticket);
        waiting.insert(place, waiter);
    }

    /// Takes a waiter out, so that it is told once.
    fn take(&self, ticket: AdmissionTicket) -> Option<TicketWaiter> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let place = waiting.binary_search_by_key(&ticket, |waiter| waiter.ticket);
        place.ok().map(|place| waiting.remove(place))
    }

    fn tell(&self, effects: Vec<AdmissionEffect>) {
        for effect in effects {
            match effect {
                AdmissionEffect::Run(ticket) => {
                    if let Some(waiter) = self.take(ticket) {
                        // Where the waiter is gone, the pass is dropped here,
                        // without a lock held, and the next one runs.
                        let pass = AdmissionPass(waiter.claim);
                        let _ = waiter.word.try_send(Ok(pass));
                    }
                }
                AdmissionEffect::Refuse(ticket, refusal) => {
                    if let Some(waiter) = self.take(ticket) {
                        let _ = waiter.word.try_send(Err(refusal));
                    }
                }
            }
        }
    }
}

impl AdmissionPass {
    /// The request's priority at the engine: that of its organisation's
    /// standing, so that the caller's own orders its organisation only.
    #[must_use]
    pub fn engine_priority(&self) -> RequestPriority {
        if AdmissionGate::lock(&self.0.shard).is_within_share(&self.0.organisation) {
            WITHIN_SHARE
        } else {
            ABOVE_SHARE
        }
    }
}

impl Drop for AdmissionPass {
    fn drop(&mut self) {
        let mut effects = Vec::new();
        let claim = &self.0;
        AdmissionGate::lock(&claim.shard).finish(&claim.organisation, clock::now(), &mut effects);
        if let Some(door) = claim.door.upgrade() {
            door.tell(effects);
        }
    }
}
