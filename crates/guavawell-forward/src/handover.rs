//! Goes over to another server if an attempt is late.
//!
//! The late attempt stays open meanwhile. Whichever brings what the caller needs next
//! goes on, and the other one is closed at once.

use std::pin::Pin;
use std::pin::pin;
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
use guavawell_core::forward::ServerIncarnation;
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

/// Waits for what the first attempt brings. If that is late, sends a second one beside
/// it, as far as the request may be sent once more and a server can be expected to
/// respond sooner.
pub async fn race_attempts<'a, 'r, T>(
    router: &Rc<ForwardRouter>,
    caller: &'a CallerOutbox<'a>,
    call: &ForwardCall<'r>,
    record: &RequestRecord,
    progress: &mut RequestProgress,
    first: impl Future<Output = Result<T, AttemptFailure>>,
    info: &AttemptInfo,
) -> RaceEnd<'a, 'r, T> {
    let mut first = pin!(first);
    let mut watch = LateWatch::default();
    loop {
        let late = watch.wait(router, call, info, progress.stream.begun);
        match before(late, first.as_mut()).await {
            Some(Ok(part)) => return RaceEnd::First(part),
            Some(Err(failure)) => return RaceEnd::Ended(failure),
            None => {}
        }
        let late = LateAttempt::new(router, call, info);
        let (renewed, pick) = match choose_second(router, call, progress, info) {
            Ok(choice) => choice,
            Err(denial) => {
                watch.keep(&late, denial);
                watch.review_at = router.clock.now() + REVIEW_INTERVAL;
                continue;
            }
        };
        late.note_sent(&pick);
        let second = Box::pin(send_second(router, caller, &renewed, &pick, progress));
        let race = both_open(first.as_mut(), second).await;
        if let Some(failure) = race.second_failure {
            note_attempt(router, &renewed, &failure, Ok(()));
            progress.note_failure(failure);
        }
        match (race.step, race.brought, race.first_failure) {
            (_, Some(Brought::First(part)), _) => {
                late.note_end("first", info);
                return RaceEnd::First(part);
            }
            (_, Some(Brought::Second(part)), first_failure) => {
                if let Some(failure) = first_failure {
                    note_attempt(router, call, &failure, Ok(()));
                    progress.note_failure(failure);
                }
                late.note_end("second", &part.response().info);
                part.response().guard.end_taking_over();
                close_late(router, progress, info);
                note_pick(router, record, &pick);
                progress.current = Some(Rc::clone(&part.response().info));
                // The caller was promised the time of the terms under which it began.
                let renewed = ForwardCall {
                    deadline: call.deadline,
                    ..renewed
                };
                return RaceEnd::Second(Box::new((part, renewed)));
            }
            (HandoverStep::End(_), None, Some(failure)) => return RaceEnd::Ended(failure),
            _ => watch.review_at = router.clock.now() + REVIEW_INTERVAL,
        }
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

/// When an attempt is looked at.
#[derive(Debug, Default)]
struct LateWatch {
    /// Not before this time.
    review_at: ClockTime,
    /// Why the attempt was kept when it was last looked at.
    denial: Option<RetryDenial>,
}

impl LateWatch {
    /// Waits until the attempt is late. A streaming server that still sends data to other
    /// requests is busy, not late.
    async fn wait(
        &self,
        router: &ForwardRouter,
        call: &ForwardCall<'_>,
        info: &AttemptInfo,
        begun: bool,
    ) {
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
            if left > ClockSpan::ZERO {
                Timer::after(timer_span(left)).await;
            } else if !call.route.streaming || is_silent(router, &info.server) {
                return;
            } else {
                Timer::after(timer_span(REVIEW_INTERVAL)).await;
            }
        }
    }

    /// Keeps the attempt for now. Logs the reason if it is another one than before.
    fn keep(&mut self, late: &LateAttempt<'_>, denial: RetryDenial) {
        if self.denial.replace(denial) != Some(denial) {
            late.note_kept(denial);
        }
    }
}

/// Whether a server has sent nothing to this instance for a while although requests are
/// in flight, or is no longer listed.
fn is_silent(router: &ForwardRouter, server: &ServerIncarnation) -> bool {
    let now = router.clock.now();
    let servers = router.servers.borrow();
    servers.get(server).is_none_or(|server| server.silent(now))
}

/// Decides whether and where a request is sent beside a late attempt, by the
/// configuration that is in force now.
fn choose_second<'r>(
    router: &ForwardRouter,
    call: &ForwardCall<'r>,
    progress: &RequestProgress,
    info: &AttemptInfo,
) -> Result<(ForwardCall<'r>, ServerPick), RetryDenial> {
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
    let picked = pick_server(router, &renewed, progress, info.heard_at.get());
    let pick = picked.map_err(|_| RetryDenial::Server)?;
    Ok((renewed, pick))
}

/// Sends a request beside a late attempt, and receives what the caller needs next.
async fn send_second<'a>(
    router: &Rc<ForwardRouter>,
    caller: &'a CallerOutbox<'a>,
    call: &ForwardCall<'_>,
    pick: &ServerPick,
    progress: &mut RequestProgress,
) -> Result<ResponsePart<'a>, AttemptFailure> {
    let sent = open_attempt(router, call, pick, progress, AttemptCause::Late).await?;
    let after = progress.stream.last_event;
    let bytes = RequestBytes::new(router, call, &pick.server, after);
    let wanted = WantedPart::Event { after };
    let result = receive_first(router, caller, call, sent, bytes, wanted).await;
    let result = result.and_then(|part| {
        let continues = !progress.stream.begun || matches!(part, ResponsePart::Events(..));
        if continues {
            Ok(part)
        } else {
            let info = &part.response().info;
            Err(AttemptFailure::new(info, AttemptEnd::Failed))
        }
    });
    if let Err(failure) = &result
        && failure.end == AttemptEnd::Lost
    {
        let attempt = abandoned_attempt(call, progress, &failure.info);
        note_lost_attempt(router, attempt).await;
    }
    result
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

/// Takes note that a late attempt lost to another one. That is the only silence that
/// speaks against its server: others had more to say.
fn close_late(router: &ForwardRouter, progress: &mut RequestProgress, info: &AttemptInfo) {
    progress.outcome.note(AttemptEnd::Silent);
    let now = router.clock.now();
    if let Some(server) = router.servers.borrow_mut().get_mut(&info.server) {
        server.rate(now, true);
    }
    if let Some(heard_at) = info.heard_at.get() {
        drop_silent_connections(router, &info.server, heard_at);
    }
}
