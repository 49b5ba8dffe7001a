//! The global ledger next to the fleet: it carries out the events and notes
//! what became of every attempt.

use guavawell_core::budget::AskId;
use guavawell_core::budget::HolderAnswer;
use guavawell_core::budget::HolderEvent;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::ReleaseRequest;
use guavawell_core::budget::ReserveAnswer;
use guavawell_core::budget::ReserveRequest;
use guavawell_core::budget::SettleAnswer;
use guavawell_core::budget::SettleRequest;
use guavawell_core::budget::TokenPool;
use guavawell_core::clock::ClockSpan;
use guavawell_core::id::AttemptId;
use guavawell_core::id::BudgetId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::TokenCount;
use guavawell_core::request::RequestDigest;
use guavawell_core::request::RequestIdentity;

use crate::budget_fleet::Fleet;
use crate::budget_fleet::ZONE_SIZE;
use crate::seen::AnswerKinds;
use crate::seen::SeenAttempt;
use crate::step::BUDGETS;
use crate::step::FleetStep;
use crate::step::ZONES;

/// Rounds in which attempts that were granted late are settled too.
const SETTLING_ROUNDS: u32 = 4;
/// Rounds in which holders report to the table.
const REPORTING_ROUNDS: u32 = 40;

/// The global ledger next to the fleet.
pub struct Differential {
    pub fleet: Fleet,
    pub attempts: Vec<SeenAttempt>,
    pub requests: usize,
    pub version: u64,
    pub kinds: AnswerKinds,
}

pub fn budget_id(budget: usize) -> BudgetId {
    format!("m{budget}").parse().unwrap()
}

fn identity(request: usize) -> RequestIdentity {
    RequestIdentity::from_caller("org".parse().unwrap(), &format!("r{request}")).unwrap()
}

impl Differential {
    pub fn new(seed: u64, float_percent: u8, retire_wait: ClockSpan) -> Self {
        let paid: Vec<(BudgetId, TokenCount)> = (0..BUDGETS)
            .map(|budget| (budget_id(budget), TokenCount::new(400)))
            .collect();
        let settings = HolderSettings {
            float_percent,
            stock_requests: 4,
            retire_wait,
            report_after: ClockSpan::from_millis(3_000),
            ..HolderSettings::default()
        };
        Self {
            fleet: Fleet::new(ZONES, settings, &paid, seed),
            attempts: Vec::new(),
            requests: 0,
            version: 1,
            kinds: AnswerKinds::default(),
        }
    }

    pub fn apply(&mut self, step: &FleetStep) {
        match step {
            FleetStep::Reserve(zone, budget, amount) => {
                self.requests += 1;
                self.reserve(*zone, *budget, self.requests, TokenCount::new(*amount));
            }
            FleetStep::Repeat(place) => {
                if let Some(seen) = self.pick(*place).map(|place| self.attempts[place].clone()) {
                    self.reserve(seen.zone, seen.budget, seen.request, seen.amount);
                }
            }
            FleetStep::Settle(place, used) => self.settle(*place, TokenCount::new(*used)),
            FleetStep::Release(place) => self.release(*place),
            FleetStep::Tick(span) => self.fleet.tick(ClockSpan::from_millis(*span)),
            FleetStep::Cut(zone) => self.fleet.cut[*zone] = true,
            FleetStep::Heal(zone) => self.fleet.cut[*zone] = false,
            FleetStep::TableDown => self.fleet.is_table_up = false,
            FleetStep::TableUp => self.fleet.is_table_up = true,
            FleetStep::Lossy(percent) => {
                self.fleet.loss_percent = *percent;
                self.fleet.lost_answer_percent = *percent;
            }
            FleetStep::TakeOver(zone) => self.fleet.take_over(*zone),
            FleetStep::ChangeWitnesses(is_near) => {
                self.fleet.prefers_near_witness = *is_near;
                self.fleet.change_witnesses();
            }
            FleetStep::Crash(instance) => self.fleet.crash(*instance),
            FleetStep::Restart(instance) if !self.fleet.instances[*instance].is_up => {
                self.fleet.restart(*instance);
            }
            FleetStep::Restart(_) => {}
            FleetStep::Seize(zone) => self.fleet.seize(*zone, zone * ZONE_SIZE + 1),
            FleetStep::TopUp(budget, id, tokens) => {
                let id = format!("t{id}").parse().unwrap();
                let tokens = TokenCount::new(*tokens);
                self.fleet
                    .update(&budget_id(*budget), |row| row.top_up(&id, tokens))
                    .unwrap();
            }
            FleetStep::SetBase(budget, base) => {
                self.version += 1;
                let version = ManifestVersion::new(self.version);
                let base = TokenCount::new(*base);
                self.fleet
                    .update(&budget_id(*budget), |row| row.set_base(version, base))
                    .unwrap();
            }
        }
        self.take_answers();
        self.check();
        let rows = self.fleet.budgets.iter();
        let has_frozen = rows.filter(|(_, row)| !row.frozen.is_empty()).count();
        self.kinds.frozen += u32::try_from(has_frozen).unwrap();
    }

    fn pick(&self, place: usize) -> Option<usize> {
        place.checked_rem(self.attempts.len())
    }

    fn reserve(&mut self, zone: usize, budget: usize, request: usize, amount: TokenCount) {
        let place = self.attempts.len();
        self.attempts.push(SeenAttempt {
            zone,
            budget,
            request,
            amount,
            grant: None,
            charged: None,
            is_released: false,
        });
        let reserve = ReserveRequest {
            identity: identity(request),
            attempt: AttemptId::new(place as u128),
            budget: budget_id(budget),
            amount,
            router: self.fleet.instances[0].life.clone(),
            idempotent: true,
            digest: RequestDigest::default(),
        };
        let event = HolderEvent::Reserve(AskId::new(place as u64), reserve);
        self.fleet.ask(zone, None, event);
    }

    /// Settles with the granting holder; a witnessed charge also goes to the
    /// present one.
    fn settle(&mut self, place: usize, used: TokenCount) {
        let Some(place) = self.pick(place) else {
            return;
        };
        let seen = &mut self.attempts[place];
        let Some(grant) = seen.grant.clone().filter(|_| !seen.is_released) else {
            return;
        };
        let actual = seen.charged.unwrap_or(used.min(grant.amount));
        seen.charged = Some(actual);
        let zone = seen.zone;
        let settle = SettleRequest {
            identity: identity(seen.request),
            attempt: AttemptId::new(place as u128),
            grant: grant.clone(),
            actual,
            backend: None,
        };
        let event = HolderEvent::Settle(AskId::new(place as u64), settle);
        self.fleet.ask(zone, Some(grant.tenure), event.clone());
        if grant.pool == TokenPool::Witnessed && self.fleet.rows[zone].tenure != grant.tenure {
            self.kinds.carried += 1;
            self.fleet.ask_present(zone, event);
        }
    }

    fn release(&mut self, place: usize) {
        let Some(place) = self.pick(place) else {
            return;
        };
        let seen = &mut self.attempts[place];
        let Some(grant) = seen.grant.clone().filter(|_| seen.charged.is_none()) else {
            return;
        };
        seen.is_released = true;
        let zone = seen.zone;
        let release = ReleaseRequest {
            identity: identity(seen.request),
            attempt: AttemptId::new(place as u128),
            before: None,
        };
        let event = HolderEvent::Release(AskId::new(place as u64), release);
        self.fleet.ask(zone, Some(grant.tenure), event.clone());
        if self.fleet.rows[zone].tenure != grant.tenure {
            self.fleet.ask_present(zone, event);
        }
    }

    fn take_answers(&mut self) {
        for (ask, answer) in std::mem::take(&mut self.fleet.answers) {
            let place = usize::try_from(ask.get()).unwrap();
            if let HolderAnswer::Reserve(answer) = &answer {
                self.kinds.count(answer);
            }
            match answer {
                HolderAnswer::Reserve(ReserveAnswer::Granted(grant)) => {
                    self.attempts[place].grant = Some(grant);
                }
                HolderAnswer::Settle(SettleAnswer::Settled { charged }) => {
                    assert_eq!(Some(charged), self.attempts[place].charged);
                }
                _ => {}
            }
        }
    }

    /// Heals everything, settles every attempt, and lets all reports in.
    pub fn finish(&mut self) {
        self.fleet.is_table_up = true;
        self.fleet.loss_percent = 0;
        self.fleet.lost_answer_percent = 0;
        self.fleet.cut.fill(false);
        for _ in 0..SETTLING_ROUNDS {
            for place in 0..self.attempts.len() {
                self.settle(place, TokenCount::new(1));
                self.take_answers();
            }
            self.fleet.tick(ClockSpan::from_millis(2_000));
            self.take_answers();
        }
        for _ in 0..REPORTING_ROUNDS {
            self.fleet.tick(ClockSpan::from_millis(2_000));
            self.take_answers();
            self.check();
        }
    }
}
