//! Judges parts of prompts under which servers crashed.
//!
//! The good answers with a part are those of all instances, so a judge asks for them. An
//! instance that does not answer, or has just started, is asked again: it may have the
//! answers that clear the part. A part that stays undecided is refused after
//! [`MAX_UNDECIDED`], as each request with it may crash a server, and cleared if the missing
//! answers come later.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::stream::FuturesUnordered;
use futures_lite::StreamExt;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::poison::GoodCount;
use guavawell_core::poison::PartVerdict;
use guavawell_core::poison::RequestFingerprint;
use guavawell_fleet::event::EventDraft;

use super::parts::MAX_BATCH;
use super::parts::PartCrash;
use super::parts::good_counts;
use super::parts::knows_good_answers;
use crate::clock::wait_due;
use crate::peer::PeerRequest;
use crate::peer::read_good_counts;
use crate::router::ForwardRouter;

/// How long a judge waits for the good answers of other instances before it asks again.
const COUNT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before the instances are asked again for the good answers with a part that is
/// undecided.
const ASK_PAUSE: ClockSpan = ClockSpan::from_millis(100);
/// How long a part may be undecided.
const MAX_UNDECIDED: ClockSpan = ClockSpan::from_millis(1_500);
/// Pause before they are asked again after the part was refused.
const REVIEW_PAUSE: ClockSpan = ClockSpan::from_millis(2_000);
/// How long after the part became due they are asked: good answers count no longer.
const REVIEW_SPAN: ClockSpan = ClockSpan::from_millis(60_000);

/// A part that is to be judged.
#[derive(Clone, Copy, Debug)]
pub(super) struct DuePart {
    /// The last crash under it.
    pub(super) crash: PartCrash,
    /// Since when it is undecided.
    pub(super) since: ClockTime,
    /// When it is judged next.
    pub(super) next_at: ClockTime,
}

/// Judges the parts that are due, until the process ends.
pub async fn judge_parts(router: Rc<ForwardRouter>) {
    loop {
        let next_at = || {
            let due = router.parts.due.borrow();
            due.iter().map(|part| part.next_at).min()
        };
        wait_due(&router.clock, &router.parts.due_added, next_at).await;
        // One round at a time, so that many crashes at once cause few messages.
        judge_due(&router).await;
    }
}

async fn judge_due(router: &ForwardRouter) {
    let due = take_due(router);
    let parts: Vec<RequestFingerprint> = due.iter().map(|part| part.crash.part).collect();
    let (sums, silent) = count_good(router, &parts).await;
    for (part, answers) in due.into_iter().zip(sums) {
        judge(router, part, GoodCount { answers, silent });
    }
}

/// Takes the parts that are to be judged now, each once.
fn take_due(router: &ForwardRouter) -> Vec<DuePart> {
    let now = router.clock.now();
    let mut waiting = router.parts.due.borrow_mut();
    waiting.sort_by_key(|part| (part.crash.part, part.since));
    waiting.dedup_by_key(|part| part.crash.part);
    let (mut due, mut later): (Vec<_>, Vec<_>) =
        waiting.drain(..).partition(|part| part.next_at <= now);
    later.extend(due.split_off(due.len().min(MAX_BATCH)));
    *waiting = later;
    due
}

/// Refuses a part that is to blame, and clears one that was refused while instances did
/// not answer. Judges it again later if its verdict depends on their answers.
fn judge(router: &ForwardRouter, due: DuePart, good: GoodCount) {
    let now = router.clock.now();
    let part = due.crash.part;
    let table = router.parts.table.borrow();
    let crashes = table.crash_count(part, now);
    let verdict = table.verdict(part, good, now);
    drop(table);
    let is_refused = router.poison.refused_for(part).is_some();
    let undecided_for = now.since(due.since);
    let is_to_blame = match verdict {
        PartVerdict::Sound => false,
        PartVerdict::Undecided => is_refused || undecided_for >= MAX_UNDECIDED,
        PartVerdict::Blamed => true,
    };
    let kind = match verdict {
        PartVerdict::Sound => "poison.part_sound",
        _ if is_to_blame => "poison.part_refused",
        _ => "poison.part_undecided",
    };
    metrics::counter!("guavawell_forward_parts_judged_total", "kind" => kind).increment(1);
    let draft = EventDraft::new(kind)
        .field("part", part)
        .field("crashes", crashes)
        .field("good", good.answers)
        .field("silent", good.silent);
    router.log.emit(draft);
    if is_to_blame && !is_refused {
        router.parts.trials.borrow_mut().forget(part);
        router.poison.convict_part(part, due.crash.organisation);
    } else if verdict == PartVerdict::Sound && is_refused {
        router.parts.trials.borrow_mut().forget(part);
        router.poison.clear_part(part);
    }
    if verdict == PartVerdict::Undecided && undecided_for < REVIEW_SPAN {
        let pause = if is_to_blame { REVIEW_PAUSE } else { ASK_PAUSE };
        router.parts.judge_later(DuePart {
            next_at: now + pause,
            ..due
        });
    }
}

/// Numbers of recent good answers of all instances with each of these parts, and how many
/// instances did not tell theirs.
async fn count_good(router: &ForwardRouter, parts: &[RequestFingerprint]) -> (Vec<usize>, usize) {
    // Those in their backoff time are asked too: what they answered counts as well.
    let addresses = router.peers.shuffled_addresses();
    let ask = |(_, address)| ask_good_counts(router, address, parts);
    let mut answers: FuturesUnordered<_> = addresses.into_iter().map(ask).collect();
    let mut sums = good_counts(router, parts);
    let mut silent = usize::from(!knows_good_answers(router));
    while let Some(counts) = answers.next().await {
        let Some(counts) = counts.filter(|counts| counts.len() == parts.len()) else {
            silent += 1;
            continue;
        };
        for (sum, count) in sums.iter_mut().zip(counts) {
            *sum = sum.saturating_add(count);
        }
    }
    (sums, silent)
}

async fn ask_good_counts(
    router: &ForwardRouter,
    address: SocketAddr,
    parts: &[RequestFingerprint],
) -> Option<Vec<usize>> {
    let request = PeerRequest::PartGood(parts.to_vec());
    let answer = router.peers.send_request(address, &request, COUNT_TIMEOUT);
    match answer.await {
        Ok(response) => read_good_counts(&response.body),
        Err(error) => {
            log::debug!("asking {address} for good answers failed: {error}");
            None
        }
    }
}
