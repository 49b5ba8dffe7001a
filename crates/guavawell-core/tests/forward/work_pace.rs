//! Servers that state how long work takes now, and work off what they reported.
//!
//! Guards against refusing requests because of a report that is no longer true: an
//! instance that takes a server for full sends nothing there, and so gets no newer
//! report. Replays ten seconds in which 25 instances send short requests to the one
//! application server that is left; 15% of the time its work takes 2.5 times as long.

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ChoiceError;
use guavawell_core::forward::ChoiceRequest;
use guavawell_core::forward::ChoiceSettings;
use guavawell_core::forward::ServerEntry;
use guavawell_core::forward::ServerTable;
use guavawell_core::forward::ServerWork;
use guavawell_core::forward::TokenUsage;
use guavawell_core::forward::WorkPace;
use guavawell_core::forward::choose_server;

use crate::support::START;
use crate::support::constraints;
use crate::support::entry;
use crate::support::instance;
use crate::support::server;
use crate::support::service;
use crate::support::zone;

const INSTANCES: usize = 25;
const SLOTS: u32 = 6;
/// Requests that the server keeps waiting; it rejects others.
const MAX_WAITING: usize = 24;
/// Usual time of one request.
const WORK_MS: u64 = 15;

fn pace(text: &str) -> Option<WorkPace> {
    text.parse().ok()
}

fn span(millis: u64) -> ClockSpan {
    ClockSpan::from_millis(millis)
}

#[test]
fn a_report_lasts_as_long_as_the_work() {
    let mut work = ServerWork::default();
    work.record(pace("100"), span(30), 6, SLOTS);
    assert_eq!(work.left_of(18, SLOTS, span(0)), Some(18));
    assert_eq!(work.left_of(18, SLOTS, span(15)), Some(12));
    assert_eq!(work.left_of(18, SLOTS, span(45)), Some(0));
    work.record(pace("300"), span(90), 6, SLOTS);
    assert_eq!(work.left_of(18, SLOTS, span(45)), Some(12));
}

#[test]
fn a_server_that_states_no_pace_is_judged_as_before() {
    let mut work = ServerWork::default();
    work.record(None, span(30), 0, SLOTS);
    assert_eq!(work.left_of(18, SLOTS, span(1_000)), None);
    work.record(pace("100"), span(30), 0, SLOTS);
    work.record(None, span(30), 0, SLOTS);
    assert_eq!(work.left_of(18, SLOTS, span(1_000)), None);
    let mut listed = entry(server(0));
    listed.report(START, 6, 12);
    let later = START + span(1_000);
    assert_eq!(listed.occupancy(later), listed.load.estimate(later));
    assert_eq!(listed.occupancy(later), 18);
}

#[test]
fn malformed_paces_count_as_none() {
    for text in ["", "0", "-5", "1.5", "x", "4294967296"] {
        assert_eq!(pace(text), None, "{text}");
    }
}

/// A request at the server.
struct HeldRequest {
    instance: usize,
    sent_at: ClockTime,
}

/// What instances make of the server's reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportView {
    /// They send everything.
    Unread,
    /// The server states no pace.
    Plain,
    /// The server states its pace.
    WithPace,
}

/// One server with slots and a queue, as all instances see it.
struct ServerReplay {
    tables: Vec<ServerTable>,
    running: Vec<(ClockTime, HeldRequest)>,
    waiting: Vec<HeldRequest>,
    view: ReportView,
    answered: usize,
    refused: usize,
    rejected: usize,
}

impl ServerReplay {
    fn new(view: ReportView) -> Self {
        let mut table = ServerTable::default();
        table.upsert(ServerEntry {
            slots: SLOTS,
            ..entry(server(0))
        });
        Self {
            tables: vec![table; INSTANCES],
            running: Vec::new(),
            waiting: Vec::new(),
            view,
            answered: 0,
            refused: 0,
            rejected: 0,
        }
    }

    fn send(&mut self, instance: usize, now: ClockTime) {
        let is_full = choose(&self.tables[instance], instance, now).is_err();
        if is_full && self.view != ReportView::Unread {
            self.refused += 1;
            return;
        }
        if self.waiting.len() >= MAX_WAITING {
            self.rejected += 1;
            return;
        }
        let table = &mut self.tables[instance];
        table.get_mut(&server(0)).expect("listed").begin(now, 0, 0);
        self.waiting.push(HeldRequest {
            instance,
            sent_at: now,
        });
    }

    /// Ends what is done, and begins what waits. Work takes `percent` of its usual time.
    fn work(&mut self, now: ClockTime, percent: u64) {
        let (done, running) = self.running.drain(..).partition(|(until, _)| *until <= now);
        self.running = running;
        while self.running.len() < SLOTS as usize && !self.waiting.is_empty() {
            let until = now + span(WORK_MS * percent / 100);
            self.running.push((until, self.waiting.remove(0)));
        }
        for (_, request) in done {
            self.answer(&request, now, percent);
        }
    }

    fn answer(&mut self, request: &HeldRequest, now: ClockTime, percent: u64) {
        let count = |count: usize| u32::try_from(count).expect("few");
        let (running, waiting) = (count(self.running.len()), count(self.waiting.len()));
        let states_pace = self.view == ReportView::WithPace;
        let stated = states_pace.then(|| percent.to_string());
        let table = &mut self.tables[request.instance];
        let entry = table.get_mut(&server(0)).expect("listed");
        entry.health.last_received_at = now;
        entry.report(now, running, waiting);
        let took = now.since(request.sent_at);
        let pace = stated.and_then(|text| pace(&text));
        entry.work.record(pace, took, waiting, SLOTS);
        entry.finish(0, 0);
        self.answered += 1;
    }
}

fn choose(table: &ServerTable, number: usize, now: ClockTime) -> Result<(), ChoiceError> {
    let (service, own, zone) = (service(), instance(number), zone("z1"));
    let request = ChoiceRequest {
        constraints: constraints(&service, &own),
        engine: None,
        zone: &zone,
        affinity: None,
        shared_tokens: 0,
        usage: TokenUsage::default(),
        tried: &[],
        suspect: None,
        quiet_since: None,
    };
    choose_server(table, &request, now, &ChoiceSettings::default()).map(|_| ())
}

/// Ten seconds of requests at this rate, with waves of 1.3 s.
fn replay(per_second: u64, view: ReportView) -> ServerReplay {
    let mut random = fastrand::Rng::with_seed(3);
    let mut replay = ServerReplay::new(view);
    let mut percent = 100;
    for millis in 0..10_000 {
        let now = START + span(millis);
        if millis % 600 == 0 {
            percent = if random.u64(..100) < 15 { 250 } else { 100 };
        }
        replay.work(now, percent);
        let rate = if millis % 1_300 < 650 { 3 } else { 1 } * per_second / 2;
        if random.u64(..1_000) < rate {
            replay.send(random.usize(..INSTANCES), now);
        }
    }
    replay
}

#[test]
fn the_last_server_is_used_while_it_has_room() {
    let before = replay(230, ReportView::Plain);
    let after = replay(230, ReportView::WithPace);
    let least = replay(230, ReportView::Unread).rejected;
    let total = before.answered + before.refused + before.rejected;
    assert!(
        before.refused * 4 > total,
        "the replay shows nothing: {} of {total}",
        before.refused
    );
    let lost = after.refused + after.rejected;
    assert!(lost * 2 < before.refused, "{lost} and {}", before.refused);
    assert!(lost * 2 <= least * 3, "{lost}, at least {least}");
    assert!(after.answered > before.answered);
}

#[test]
fn a_server_with_too_much_work_is_spared_a_part_of_it() {
    let all = replay(600, ReportView::Unread);
    let after = replay(600, ReportView::WithPace);
    assert!(after.refused > 0, "nothing was refused");
    assert!(
        after.rejected < all.rejected,
        "{} and {} rejected",
        after.rejected,
        all.rejected
    );
}
