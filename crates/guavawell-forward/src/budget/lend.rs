//! Answers other instances' questions for tokens.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::grant::LoanAnswer;
use guavawell_core::grant::LoanRequest;
use guavawell_core::grant::LoanReturn;
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
use crate::http::within;
use crate::peer::PeerQuestion;
use crate::peer::ReceivedQuestion;
use crate::peer::VERSION_FIELD;
use crate::peer::write_answer;

/// How long a lender waits for the store: two of its answers and a write of the
/// same row that is on its way. Less than an asker waits by what the answer
/// takes, or its tokens would be lost.
const LEND_PATIENCE: ClockSpan = ClockSpan::from_millis(100);
/// Longest time that a connection stays open without a question.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

impl BudgetDesk {
    /// Answers other instances for as long as the process lives.
    pub async fn answer_peers(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        executor: Rc<LocalExecutor<'static>>,
    ) {
        let serve = |channel: HttpChannel| {
            let desk = Rc::clone(&self);
            executor
                .spawn(async move {
                    if let Err(error) = desk.answer_peer(channel).await {
                        log::debug!("another instance's questions ended: {error}");
                    }
                })
                .detach();
        };
        accept_all("instance", &listener, serve).await;
    }

    async fn answer_peer(self: &Rc<Self>, mut channel: HttpChannel) -> Result<(), ChannelError> {
        loop {
            let asked = within(IDLE_LIMIT, ReceivedQuestion::read(&mut channel)).await?;
            let Some(key) = self.peers.key() else {
                // A process that has just started may be asked before it has
                // read the key.
                return self.refuse(&channel, 503, "Service Unavailable").await;
            };
            let Some(nonce) = asked.proved_nonce(key) else {
                metrics::counter!("guavawell_forward_strangers_total").increment(1);
                return self.refuse(&channel, 403, "Forbidden").await;
            };
            let head = &asked.head;
            self.peers.hear_version(head.fields.get(VERSION_FIELD));
            let question = PeerQuestion::parse(head.path(), &asked.body, &self.instance);
            let status = question
                .as_ref()
                .map_or((400, "Bad Request"), |_| (200, "OK"));
            let mut writer = HeadWriter::response(status.0, status.1);
            self.peers.write_version(&mut writer);
            let mut body = Vec::new();
            match question {
                Some(PeerQuestion::Loan(organisation, ask)) => {
                    if !channel.is_quiet() {
                        return self.decline_left(&organisation, &head.host, ask);
                    }
                    let answer = self.lend(&organisation, ask).await;
                    self.note_loan("budget.lent", &organisation, &head.host, ask, answer);
                    write_answer(&mut writer, answer, self.book.borrow().lender_id().nonce);
                }
                Some(PeerQuestion::Return(account)) => self.apply_return(&account),
                Some(PeerQuestion::Suspects(list)) => self.poison.learn(&list, &"another"),
                Some(PeerQuestion::Config(known)) => {
                    body = self.peers.tell_config(known, &mut writer);
                }
                None => {}
            }
            writer.field_of("Content-Length", body.len());
            channel.send(&key.seal(writer, nonce, &body)).await?;
        }
    }

    /// Lends nothing to an instance that has left: it waits for an answer less
    /// long than this process was paused, and what it is lent stays spent.
    fn decline_left(
        &self,
        organisation: &OrganisationId,
        other: &dyn std::fmt::Display,
        ask: LoanRequest,
    ) -> Result<(), ChannelError> {
        metrics::counter!("guavawell_forward_loans_total", "kind" => "budget.asker_left")
            .increment(1);
        let draft = EventDraft::new("budget.asker_left")
            .organisation(organisation)
            .field("other", other)
            .field("needed", ask.needed);
        self.log.emit(draft);
        Err(ChannelError::Closed)
    }

    /// Turns a question away and ends the connection.
    async fn refuse(
        &self,
        channel: &HttpChannel,
        status: u16,
        reason: &str,
    ) -> Result<(), ChannelError> {
        let mut writer = HeadWriter::response(status, reason);
        writer.field_of("Connection", "close");
        writer.field_of("Content-Length", 0);
        channel.send(&writer.finish()).await?;
        Ok(())
    }

    fn apply_return(&self, account: &LoanReturn) {
        if self.book.borrow_mut().apply_return(account) {
            if account.unspent > 0 {
                self.changed.notify(usize::MAX);
            }
        } else {
            let draft = EventDraft::new("budget.return_unknown")
                .organisation(&account.organisation)
                .field("unspent", account.unspent)
                .field("spent", account.spent);
            self.log.emit(draft);
        }
    }

    /// Lends, after a wait for the store where that helps; a part only where
    /// nothing more is to be had.
    async fn lend(self: &Rc<Self>, organisation: &OrganisationId, ask: LoanRequest) -> LoanAnswer {
        let lend_in_full = || {
            let now = self.clock.now();
            self.book.borrow_mut().lend_in_full(organisation, ask, now)
        };
        let answer = lend_in_full();
        if answer.tokens > 0 {
            return answer;
        }
        let now = self.clock.now();
        let later = self.book.borrow().tokens_to_fetch(organisation, ask, now);
        if let (Some(missing), false) = (later, self.is_cut_off()) {
            let _waiting = WaitingRequest::new(self, organisation, missing);
            self.ring();
            let end = now + LEND_PATIENCE;
            loop {
                let changed = self.changed.listen();
                let answer = lend_in_full();
                if answer.tokens > 0 {
                    return answer;
                }
                let rest = self.clock.left(end);
                if rest == ClockSpan::default() {
                    break;
                }
                wait_until(changed, timer_span(rest)).await;
            }
        }
        let now = self.clock.now();
        self.book.borrow_mut().lend(organisation, ask, now)
    }

    pub(super) fn note_loan(
        &self,
        kind: &str,
        organisation: &OrganisationId,
        other: impl std::fmt::Display,
        ask: LoanRequest,
        answer: LoanAnswer,
    ) {
        metrics::counter!("guavawell_forward_loans_total", "kind" => kind.to_owned()).increment(1);
        let facts = self.book.borrow().facts(organisation, self.clock.now());
        let draft = EventDraft::new(kind)
            .organisation(organisation)
            .field("other", other)
            .field("needed", ask.needed)
            .field("wanted", ask.wanted)
            .field("lent", answer.tokens)
            .field("cause", answer.cause.as_str())
            .field("grant", facts.grant)
            .field("used", facts.used)
            .field("allowed", facts.allowed)
            .field("row_age_ms", facts.row_age.as_millis());
        self.log.emit(draft);
    }
}
