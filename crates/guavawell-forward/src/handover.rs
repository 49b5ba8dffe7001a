//! Goes over to another server if an attempt is late.
//!
//! The late attempt stays open meanwhile. Whichever brings what the caller needs next
//! goes on, and the other one is closed at once.

use std::pin::Pin;
use std::rc::Rc;

use futures_lite::FutureExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::AttemptEnd;
use guavawell_core::forward::AttemptSide;
use guavawell_core::forward::HandoverEvent;
use guavawell_core::forward::HandoverStep;
use guavawell_core::forward::LatenessFloor;
use guavawell_core::forward::OpenAttempts;
use guavawell_core::forward::RetryDenial;
use guavawell_core::forward::RetrySafety;
use guavawell_core::forward::ServerPick;
use guavawell_core::forward::check_repeat;
use smol::Timer;

use crate::attempt::AttemptCause;
use crate::attempt::AttemptFailure;
use crate::attempt::AttemptInfo;
use crate::attempt::abandoned_attempt;
use crate::attempt::open_attempt;
use crate::attempt_log::LateAttempt;
use crate::attempt_log::note_attempt;
use crate::clock::timer_span;
use crate::crash::note_lost_attempt;
use crate::in_flight::drop_silent_connections;
use crate::read_ahead::CallerOutbox;
use crate::receive::ResponsePart;
use crate::receive::WantedPart;
use crate::receive::receive_first;
use crate::record::RequestRecord;
use crate::request::RequestBytes;
use crate::retry::RequestProgress;
use crate::retry::check_unsent;
use crate::retry::note_pick;
use crate::retry::pick_server;
use crate::retry::repeat_view;
use crate::router::ForwardRouter;
use crate::routing::recheck_config;
use crate::serve::ForwardCall;

/// How often a late attempt is looked at again if no second one could be sent.
const REVIEW_INTERVAL: ClockSpan = ClockSpan::from_millis(100);

/// How attempts that were open together ended.
#[derive(Debug)]
pub enum RaceEnd<'a, 'r, T> {
    /// The first attempt brought this.
    First(T),
    /// The second attempt brought this, and goes on by these terms.
    Second(Box<(ResponsePart<'a>, ForwardCall<'r>)>),
    /// None brought anything. This is the failure of the first.
    Ended(AttemptFailure),
}

/// A request whose first attempt is open, and what a second one needs.
pub struct AttemptRace<'c, 'a, 'r> {
    /// The router.
    pub router: &'c Rc<ForwardRouter>,
    /// The caller.
    pub caller: &'a CallerOutbox<'a>,
    /// The request, by the terms under which the first attempt was sent.
    pub call: &'c ForwardCall<'r>,
    /// Its record.
    pub record: &'c RequestRecord,
    /// The first attempt.
    pub info: &'c AttemptInfo,
}

impl<'a, 'r> AttemptRace<'_, 'a, 'r> {
    /// Waits for what the first attempt brings. If that is late, sends a second one beside
    /// it, as far as the request may be sent once more and a server can be expected to
    /// respond sooner.
    pub async fn run<T>(
        &self,
        progress: &mut RequestProgress,
        watch: &mut LateWatch,
        mut first: Pin<&mut impl Future<Output = Result<T, AttemptFailure>>>,
    ) -> RaceEnd<'a, 'r, T> {
        watch.begin();
        loop {
            let late = watch.wait(self, progress.stream.begun);
            match before(late, first.as_mut()).await {
                Some(Ok(part)) => return RaceEnd::First(part),
                Some(Err(failure)) => return RaceEnd::Ended(failure),
                None => {}
            }
            if let Some(end) = self.run_late(progress, watch, first.as_mut()).await {
                return end;
            }
            watch.review_at = self.router.clock.now() + REVIEW_INTERVAL;
        }
    }

    /// Sends a second attempt beside the first one, which is late. Returns `None` if the
    /// first one remains alone.
    async fn run_late<T>(
        &self,
        progress: &mut RequestProgress,
        watch: &mut LateWatch,
        first: Pin<&mut impl Future<Output = Result<T, AttemptFailure>>>,
    ) -> Option<RaceEnd<'a, 'r, T>> {
        let late = LateAttempt::new(self.router, self.call, self.info);
        let (renewed, pick) = match self.choose_second(progress) {
            Ok(choice) => choice,
            Err(denial) => {
                watch.note_kept(&late, denial);
                return None;
            }
        };
        late.note_sent(&pick);
        let second = Box::pin(self.send_second(&renewed, &pick, progress));
        let race = both_open(first, second).await;
        if let Some(failure) = race.second_failure {
            note_attempt(self.router, &renewed, &failure, Ok(()));
            progress.note_failure(failure);
        }
        match (race.step, race.brought, race.first_failure) {
            (_, Some(Brought::First(part)), _) => {
                late.note_end("first", self.info);
                Some(RaceEnd::First(part))
            }
            (_, Some(Brought::Second(part)), first_failure) => {
                if let Some(failure) = first_failure {
                    note_attempt(self.router, self.call, &failure, Ok(()));
                    progress.note_failure(failure);
                }
                late.note_end("second", &part.response().info);
                note_pick(self.router, self.record, &pick);
                Some(self.go_over(progress, renewed, part))
            }
            (HandoverStep::End(_), None, Some(failure)) => Some(RaceEnd::Ended(failure)),
            _ => None,
        }
    }

    /// Decides whether and where the request is sent beside the late attempt, by the
    /// configuration that is in force now.
    fn choose_second(
        &self,
        progress: &RequestProgress,
    ) -> Result<(ForwardCall<'r>, ServerPick), RetryDenial> {
        let Self { router, call, .. } = *self;
        check_unsent(progress)?;
        check_repeat(&repeat_view(router, call, progress, AttemptEnd::Silent))?;
        let mut renewed = call.clone();
        if renewed.origin.is_none() {
            renewed.origin.clone_from(&progress.stream.origin);
        }
        recheck_config(router, &mut renewed, true, None).map_err(|_| RetryDenial::Configuration)?;
        check_repeat(&repeat_view(router, &renewed, progress, AttemptEnd::Silent))?;
        if !router.may_take_retry(&renewed.service) {
            return Err(RetryDenial::Allowance);
        }
        let quiet_since = self.info.heard_at.get();
        let picked = pick_server(router, &renewed, progress, quiet_since);
        let pick = picked.map_err(|_| RetryDenial::Server)?;
        Ok((renewed, pick))
    }

    /// Sends the request beside the late attempt, and receives what the caller needs next.
    async fn send_second(
        &self,
        renewed: &ForwardCall<'_>,
        pick: &ServerPick,
        progress: &mut RequestProgress,
    ) -> Result<ResponsePart<'a>, AttemptFailure> {
        let router = self.router;
        let sent = open_attempt(router, renewed, pick, progress, AttemptCause::Late).await?;
        let after = progress.stream.last_event;
        let bytes = RequestBytes::new(router, renewed, &pick.server, after);
        let wanted = WantedPart {
            after,
            needs_event: true,
        };
        let received = receive_first(router, self.caller, renewed, sent, bytes, wanted).await;
        let result = received.and_then(|part| match part {
            // Only a stream can continue a stream.
            ResponsePart::Whole(response, _) | ResponsePart::Large(response, _)
                if progress.stream.begun =>
            {
                Err(response.fail(AttemptEnd::Failed))
            }
            part => Ok(part),
        });
        if let Err(failure) = &result
            && failure.end == AttemptEnd::Lost
        {
            let attempt = abandoned_attempt(renewed, progress, &failure.info);
            note_lost_attempt(router, attempt).await;
        }
        result
    }

    /// Goes on with the second attempt.
    fn go_over<T>(
        &self,
        progress: &mut RequestProgress,
        renewed: ForwardCall<'r>,
        part: ResponsePart<'a>,
    ) -> RaceEnd<'a, 'r, T> {
        part.response().guard.end_taking_over();
        progress.outcome.note(AttemptEnd::Silent);
        progress.current = Some(Rc::clone(&part.response().info));
        note_overtaken(self.router, self.info);
        // The caller was promised the time of the terms under which it began.
        let renewed = ForwardCall {
            deadline: self.call.deadline,
            ..renewed
        };
        RaceEnd::Second(Box::new((part, renewed)))
    }
}

/// What `step` returns if it completes before `limit`; `None` otherwise.
async fn before<T>(limit: impl Future<Output = ()>, step: impl Future<Output = T>) -> Option<T> {
    let step = async { Some(step.await) };
    let limit = async {
        limit.await;
        None
    };
    step.or(limit).await
}

/// When an attempt is looked at. Serves all parts of a response, as most of them are not
/// late.
#[derive(Debug, Default)]
pub struct LateWatch {
    /// Fires when an attempt may be late; `None` if that is not known yet.
    timer: Option<Timer>,
    /// An attempt is not looked at before this time.
    review_at: ClockTime,
    /// Why the attempt was kept when it was last looked at.
    denial: Option<RetryDenial>,
}

impl LateWatch {
    /// Waits until the attempt is late. A streaming server that still sends data to other
    /// requests is busy, not late.
    async fn wait(&mut self, race: &AttemptRace<'_, '_, '_>, begun: bool) {
        let AttemptRace {
            router, call, info, ..
        } = *race;
        if call.route.retry_safety == RetrySafety::Once {
            std::future::pending::<()>().await;
        }
        let times = &router.settings.times;
        let floor = LatenessFloor {
            plain: times.attempt,
            stream: times.stream_silence,
        };
        loop {
            let now = router.clock.now();
            let quiet_since = info.heard_at.get().unwrap_or(now);
            let left = call.deadline.since(quiet_since);
            let late_after = call.route.late_after(begun, left, floor);
            let due_at = (quiet_since + late_after).max(self.review_at);
            let left = router.clock.left(due_at);
            if left == ClockSpan::ZERO && !is_busy(router, call, info) {
                return;
            }
            let pause = if left == ClockSpan::ZERO {
                REVIEW_INTERVAL
            } else {
                left
            };
            self.timer
                .get_or_insert_with(|| Timer::after(timer_span(pause)))
                .await;
            self.timer = None;
        }
    }

    /// Begins to wait for another part.
    const fn begin(&mut self) {
        self.review_at = ClockTime::from_millis(0);
        self.denial = None;
    }

    /// Takes note that no second attempt is sent. Logs the reason if it is another one
    /// than before.
    fn note_kept(&mut self, late: &LateAttempt<'_>, denial: RetryDenial) {
        if self.denial.replace(denial) != Some(denial) {
            late.note_kept(denial);
        }
    }
}

/// Whether the server of a stream sends to other requests of this instance, and so is
/// busy rather than silent.
fn is_busy(router: &ForwardRouter, call: &ForwardCall<'_>, info: &AttemptInfo) -> bool {
    let now = router.clock.now();
    let servers = router.servers.borrow();
    let entry = servers.get(&info.server);
    call.route.streaming && entry.is_some_and(|server| !server.silent(now))
}

/// What an attempt brought that the caller needs next.
enum Brought<T, U> {
    First(T),
    Second(U),
}

/// How it went while two attempts were open.
struct RaceResult<T, U> {
    /// What follows.
    step: HandoverStep,
    /// What one of them brought; `None` if the second one failed before.
    brought: Option<Brought<T, U>>,
    first_failure: Option<AttemptFailure>,
    second_failure: Option<AttemptFailure>,
}

/// Waits until one of two open attempts brings something, or the second one has failed.
async fn both_open<T, U>(
    mut first: Pin<&mut impl Future<Output = Result<T, AttemptFailure>>>,
    mut second: Pin<Box<impl Future<Output = Result<U, AttemptFailure>>>>,
) -> RaceResult<T, U> {
    let mut attempts = OpenAttempts::default();
    let mut race = RaceResult {
        step: attempts.apply(HandoverEvent::Late),
        brought: None,
        first_failure: None,
        second_failure: None,
    };
    while race.brought.is_none() && attempts.is_open(AttemptSide::Second) {
        let first_open = attempts.is_open(AttemptSide::First);
        let first_result = async {
            if !first_open {
                std::future::pending::<()>().await;
            }
            let result = first.as_mut().await;
            (AttemptSide::First, result.map(Brought::First))
        };
        let second_result = async {
            let result = second.as_mut().await;
            (AttemptSide::Second, result.map(Brought::Second))
        };
        let (side, result) = first_result.or(second_result).await;
        let event = match result {
            Ok(brought) => {
                race.brought = Some(brought);
                HandoverEvent::Brought(side)
            }
            Err(failure) => {
                let event = HandoverEvent::Ended(side, failure.end);
                match side {
                    AttemptSide::First => race.first_failure = Some(failure),
                    AttemptSide::Second => race.second_failure = Some(failure),
                }
                event
            }
        };
        race.step = attempts.apply(event);
    }
    race
}

/// Takes note that another attempt overtook a late one. That is the only silence that
/// speaks against its server: others had more to say.
fn note_overtaken(router: &ForwardRouter, info: &AttemptInfo) {
    let now = router.clock.now();
    if let Some(server) = router.servers.borrow_mut().get_mut(&info.server) {
        server.rate(now, true);
    }
    if let Some(heard_at) = info.heard_at.get() {
        drop_silent_connections(router, &info.server, heard_at);
    }
}
