//! Tells other instances what servers answered.

use std::rc::Rc;

use guavawell_fleet::event::EventDraft;
use smol::LocalExecutor;

use super::WarmthQueries;
use crate::peer::PeerRequest;
use crate::peer::ServerAnswer;
use crate::peer::WarmthReport;
use crate::router::ForwardRouter;

/// Most answers in one report: its body stays far below the largest one.
const MAX_REPORTED_ANSWERS: usize = 128;
/// Counter of reports that did not reach an instance.
const UNTOLD: &str = "guavawell_forward_warmth_untold_total";

/// An answer that other instances were not told yet, and the revision up to which the
/// store's changes were known before the question.
#[derive(Debug)]
pub(super) struct HeardAnswer {
    pub(super) answer: ServerAnswer,
    pub(super) revision: u64,
}

impl WarmthQueries {
    /// Takes answers that other instances were not told yet, as many as fit into a
    /// report.
    fn take_report(&self) -> Option<WarmthReport> {
        let mut waiting = self.heard.borrow_mut();
        let count = waiting.len().min(MAX_REPORTED_ANSWERS);
        let heard: Vec<HeardAnswer> = waiting.drain(..count).collect();
        let revision = heard.iter().map(|heard| heard.revision).min()?;
        Some(WarmthReport {
            revision,
            answers: heard.into_iter().map(|heard| heard.answer).collect(),
        })
    }
}

/// Tells other instances what servers answered since they were last told.
pub(super) fn tell_answers(router: &Rc<ForwardRouter>, executor: &LocalExecutor<'static>) {
    while let Some(report) = router.warmth_queries.take_report() {
        let request = Rc::new(PeerRequest::Warmth(report));
        for (_, address) in router.peers.addresses() {
            let (router, request) = (Rc::clone(router), Rc::clone(&request));
            let send = async move { router.peers.tell(address, &request, UNTOLD).await };
            executor.spawn(send).detach();
        }
    }
}

/// Applies what servers answered another instance.
pub(crate) fn learn_warmth(router: &ForwardRouter, report: &WarmthReport) {
    let now = router.clock.now();
    let mut servers = router.servers.borrow_mut();
    for answer in &report.answers {
        if let Some(entry) = servers.get_mut(&answer.server) {
            entry.warmth.state(now, answer.cold, report.revision);
        }
    }
    drop(servers);
    router.zone_history.server_heard();
    let draft = EventDraft::new("server.warmth_told")
        .field("answers", report.answers.len())
        .field("asked_after", report.revision);
    router.log.emit(draft);
}
