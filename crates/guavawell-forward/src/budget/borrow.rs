//! Asks other instances for tokens, and answers them.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::grant::LoanAsk;
use guavawell_core::id::InstanceId;
use guavawell_core::id::OrganisationId;
use guavawell_fleet::event::EventDraft;
use smol::Async;
use smol::LocalExecutor;

use super::BudgetDesk;
use super::reserve::WaitingRequest;
use super::wait_until;
use crate::accept::accept_all;
use crate::clock::timer_span;
use crate::http::ChannelError;
use crate::http::HeadWriter;
use crate::http::HttpChannel;
use crate::http::RequestHead;
use crate::http::ResponseHead;
use crate::http::within;

/// Longest wait for an instance's answer: some milliseconds on the way and, at
/// a tenth of a core, some tens in its queue.
const ASK_LIMIT: Duration = Duration::from_millis(150);
/// How long a lender waits for the store: two of its answers and a write of the
/// same row that is on its way. Less than [`ASK_LIMIT`] by what the answer takes,
/// or its tokens would be lost.
const LEND_PATIENCE: ClockSpan = ClockSpan::from_millis(100);
/// Instances that are asked for one request.
const MAX_LENDERS: usize = 4;
/// Of these, instances that unlock tokens early in a cut.
const EARLY_LENDERS: usize = 2;
/// Largest head of a question or an answer, in bytes.
const HEAD_BYTES: usize = 4 * 1024;
/// Longest time that a question takes to arrive.
const READ_LIMIT: Duration = Duration::from_secs(1);
/// First segment of the target of a question.
const LOAN_PATH: &str = "loan";
/// Field of an answer that says how many tokens were lent.
const LENT_FIELD: &str = "Lent";

impl BudgetDesk {
    /// Borrows what a request of `tokens` lacks; whether it can be reserved
    /// now. A question that brings no answer may have cost its lender tokens,
    /// and is not sent again.
    pub(super) async fn borrow(
        &self,
        organisation: &OrganisationId,
        tokens: u64,
        limit: ClockSpan,
    ) -> bool {
        let loan_ask = || {
            let book = self.book.borrow();
            book.loan_ask(organisation, tokens, self.clock.now())
        };
        let end = self.clock.now() + limit;
        for (instance, address) in self.choose_lenders(organisation, loan_ask()) {
            let ask = loan_ask();
            let rest = timer_span(end.since(self.clock.now()));
            if rest.is_zero() {
                break;
            }
            let answer = ask_loan(address, organisation, ask, ASK_LIMIT.min(rest));
            match answer.await {
                Ok(0) => {}
                Ok(tokens) => {
                    self.book.borrow_mut().take_loan(organisation, tokens);
                    self.note_loan("budget.borrowed", organisation, &instance, ask, tokens);
                    if tokens >= ask.needed {
                        return true;
                    }
                }
                Err(error) => {
                    log::debug!("no loan from {instance}: {error}");
                    self.avoid_peer(&instance);
                }
            }
        }
        let mut book = self.book.borrow_mut();
        book.note_declined(organisation, tokens, self.clock.now());
        false
    }

    /// Instances to ask: those that unlock tokens early, then others, each drawn
    /// with a chance by what it holds: were all short ones to ask the richest, it
    /// would soon have nothing.
    ///
    /// An instance that the store does not serve asks others too: one that it
    /// serves can fetch what is needed.
    fn choose_lenders(
        &self,
        organisation: &OrganisationId,
        ask: LoanAsk,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let held = self.book.borrow().lenders(organisation);
        let mut able: Vec<(InstanceId, u64, SocketAddr)> = held
            .into_iter()
            .filter(|(_, free)| *free >= ask.needed.div_ceil(2))
            .filter_map(|(instance, free)| {
                let address = self.peer_address(&instance)?;
                Some((instance, free, address))
            })
            .collect();
        let now = self.clock.now();
        let early = self.book.borrow().early_lenders(organisation, now);
        let mut chosen: Vec<(InstanceId, SocketAddr)> = early
            .into_iter()
            .filter_map(|instance| Some((instance.clone(), self.peer_address(&instance)?)))
            .take(EARLY_LENDERS)
            .collect();
        able.retain(|(instance, _, _)| chosen.iter().all(|(held, _)| held != instance));
        while chosen.len() < MAX_LENDERS && !able.is_empty() {
            let sum: u64 = able.iter().map(|(_, free, _)| free).sum();
            let mut draw = fastrand::u64(..sum);
            let place = able.iter().position(|(_, free, _)| {
                let hit = draw < *free;
                draw = draw.saturating_sub(*free);
                hit
            });
            let (instance, _, address) = able.swap_remove(place.unwrap_or_default());
            chosen.push((instance, address));
        }
        if self.is_cut_off() {
            self.add_fetchers(&mut chosen);
        }
        chosen
    }

    /// Fills up with any other instances.
    fn add_fetchers(&self, chosen: &mut Vec<(InstanceId, SocketAddr)>) {
        let mut others = self.peer_addresses();
        others.retain(|(instance, _)| chosen.iter().all(|(held, _)| held != instance));
        fastrand::shuffle(&mut others);
        others.truncate(MAX_LENDERS - chosen.len());
        chosen.append(&mut others);
    }

    /// Lends, after a wait for the store where that helps.
    async fn lend(self: &Rc<Self>, organisation: &OrganisationId, ask: LoanAsk) -> u64 {
        let lend_now = || {
            let now = self.clock.now();
            self.book.borrow_mut().lend(organisation, ask, now)
        };
        let lent = lend_now();
        let later = self
            .book
            .borrow()
            .lend_later(organisation, ask, self.clock.now());
        let (0, Some(missing), false) = (lent, later, self.is_cut_off()) else {
            return lent;
        };
        let _waiting = WaitingRequest::new(self, organisation, missing);
        self.ring();
        let end = self.clock.now() + LEND_PATIENCE;
        loop {
            let changed = self.changed.listen();
            let lent = lend_now();
            let rest = self.clock.left(end);
            if lent > 0 || rest == ClockSpan::default() {
                return lent;
            }
            wait_until(changed, timer_span(rest)).await;
        }
    }

    fn note_loan(
        &self,
        kind: &str,
        organisation: &OrganisationId,
        other: impl std::fmt::Display,
        ask: LoanAsk,
        lent: u64,
    ) {
        metrics::counter!("guavawell_forward_loans_total", "kind" => kind.to_owned()).increment(1);
        let facts = self.book.borrow().facts(organisation, self.clock.now());
        let draft = EventDraft::new(kind)
            .organisation(organisation)
            .field("other", other)
            .field("needed", ask.needed)
            .field("wanted", ask.wanted)
            .field("lent", lent)
            .field("grant", facts.grant)
            .field("used", facts.used)
            .field("row_age_ms", facts.row_age.as_millis());
        self.log.emit(draft);
    }

    /// Answers other instances for as long as the process lives.
    pub async fn answer_loans(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        executor: Rc<LocalExecutor<'static>>,
    ) {
        let serve = |channel: HttpChannel| {
            let desk = Rc::clone(&self);
            executor
                .spawn(async move {
                    if let Err(error) = desk.answer_loan(channel).await {
                        log::debug!("a question for tokens ended: {error}");
                    }
                })
                .detach();
        };
        accept_all("instance", &listener, serve).await;
    }

    async fn answer_loan(self: &Rc<Self>, mut channel: HttpChannel) -> Result<(), ChannelError> {
        let length = within(READ_LIMIT, channel.head(HEAD_BYTES)).await?;
        let head = RequestHead::parse(&channel.received()[..length])?;
        channel.consume(length);
        let mut lent = 0;
        if let Some((organisation, ask)) = parse_target(head.path()) {
            lent = self.lend(&organisation, ask).await;
            let asker = head.host.as_ref();
            self.note_loan("budget.lent", &organisation, asker, ask, lent);
        }
        let mut writer = HeadWriter::response(200, "OK");
        writer.field_of(LENT_FIELD, lent);
        writer.field_of("Content-Length", 0);
        channel.send(&writer.finish()).await?;
        Ok(())
    }
}

/// One question to one instance; the tokens that it lent.
async fn ask_loan(
    address: SocketAddr,
    organisation: &OrganisationId,
    ask: LoanAsk,
    limit: Duration,
) -> Result<u64, ChannelError> {
    let exchange = async {
        let mut channel = HttpChannel::connect(address, limit).await?;
        let target = format!("/{LOAN_PATH}/{organisation}/{}/{}", ask.needed, ask.wanted);
        let mut writer = HeadWriter::request("POST", &target);
        writer.field_of("Host", address);
        writer.field_of("Content-Length", 0);
        channel.send(&writer.finish()).await?;
        let length = channel.head(HEAD_BYTES).await?;
        let head = ResponseHead::parse(&channel.received()[..length], false)?;
        let lent = head
            .fields
            .get(LENT_FIELD)
            .and_then(|text| text.parse().ok());
        Ok(lent.unwrap_or(0))
    };
    within(limit, exchange).await
}

fn parse_target(path: &str) -> Option<(OrganisationId, LoanAsk)> {
    let mut parts = path.strip_prefix('/')?.split('/');
    if parts.next()? != LOAN_PATH {
        return None;
    }
    let organisation = parts.next()?.parse().ok()?;
    let needed = parts.next()?.parse().ok()?;
    let wanted = parts.next()?.parse().ok()?;
    Some((organisation, LoanAsk { needed, wanted }))
}
