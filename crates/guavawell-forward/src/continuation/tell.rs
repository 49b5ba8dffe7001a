//! Tells other instances where streams began.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::yield_now;
use guavawell_core::grant::spread_over_zones;
use guavawell_core::stream::HOLDER_COUNT;
use guavawell_core::stream::SharedOrigin;
use smol::LocalExecutor;

use crate::peer::AddressBatches;
use crate::peer::PeerRequest;
use crate::router::ForwardRouter;

/// Timeout of a message.
const TELL_TIMEOUT: Duration = Duration::from_millis(500);
/// Most streams in one message.
const MAX_BATCH: usize = 96;
/// Most streams that wait to be told: those of several seconds of a busy instance. The
/// oldest ones are dropped.
const MAX_UNTOLD: usize = 1_024;
/// Sets of instances that are told of a stream, each after one of the set before did not
/// answer. In a small fleet the same ones are told again.
const MAX_ROUNDS: usize = 4;

/// A stream that other instances are to be told.
#[derive(Clone, Debug)]
pub(super) struct UntoldOrigin {
    shared: SharedOrigin,
    /// Number of the set of instances that is told.
    round: usize,
}

impl UntoldOrigin {
    /// A stream that nobody was told yet.
    pub(super) const fn new(shared: SharedOrigin) -> Self {
        Self { shared, round: 0 }
    }
}

/// Tells other instances of the streams that begin here, until the process ends.
pub async fn tell_origins(router: Rc<ForwardRouter>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        let added = router.origins.added.listen();
        if router.origins.untold.borrow().is_empty() {
            added.await;
        }
        // Streams that begin in the same pass share a message. A longer delay would lose
        // those whose instance ends within it.
        yield_now().await;
        let mut untold = router.origins.untold.take();
        drop_oldest(&mut untold);
        let (batches, unaddressed) = batches(&router, untold);
        for (address, batch) in batches {
            executor
                .spawn(send_batch(Rc::clone(&router), address, batch))
                .detach();
        }
        let mut waiting = router.origins.unaddressed.borrow_mut();
        waiting.extend(unaddressed);
        drop_oldest(&mut waiting);
    }
}

/// Tells of the streams of which nobody could be told once the list of instances was read
/// again, until the process ends.
pub async fn retell_origins(router: Rc<ForwardRouter>) {
    loop {
        router.peers.listen_for_fleet().await;
        let unaddressed = router.origins.unaddressed.take();
        if !unaddressed.is_empty() {
            router.origins.queue(unaddressed);
        }
    }
}

/// Distributes streams over the instances that are told of them. Returns those of which
/// nobody can be told as well: no other instance is known yet.
fn batches(
    router: &ForwardRouter,
    untold: Vec<UntoldOrigin>,
) -> (AddressBatches<UntoldOrigin>, Vec<UntoldOrigin>) {
    let members = router.peers.members();
    let mut batches = AddressBatches::new(MAX_BATCH);
    let mut unaddressed = Vec::new();
    for entry in untold {
        let order = spread_over_zones(&members, entry.shared.fingerprint.short());
        let addresses = router.peers.addresses_of(order);
        if addresses.is_empty() {
            unaddressed.push(entry);
            continue;
        }
        let count = addresses.len().min(HOLDER_COUNT);
        let told = addresses.into_iter().cycle().skip(entry.round * count);
        for address in told.take(count) {
            batches.add(address, entry.clone());
        }
    }
    (batches, unaddressed)
}

fn drop_oldest(untold: &mut Vec<UntoldOrigin>) {
    let overflow = untold.len().saturating_sub(MAX_UNTOLD);
    untold.drain(..overflow);
    count_untold(overflow);
}

/// Tells one instance of streams. If it does not answer, others are told.
async fn send_batch(router: Rc<ForwardRouter>, address: SocketAddr, batch: Vec<UntoldOrigin>) {
    let origins = batch.iter().map(|entry| entry.shared.clone()).collect();
    let request = PeerRequest::Origins(origins);
    let sent = router.peers.send_request(address, &request, TELL_TIMEOUT);
    let Err(error) = sent.await else {
        return;
    };
    log::debug!("telling {address} of streams failed: {error}");
    let next = batch.into_iter().map(|entry| UntoldOrigin {
        round: entry.round + 1,
        ..entry
    });
    let (again, given_up): (Vec<_>, Vec<_>) = next.partition(|entry| entry.round < MAX_ROUNDS);
    count_untold(given_up.len());
    router.origins.queue(again);
}

fn count_untold(streams: usize) {
    metrics::counter!("guavawell_forward_origins_untold_total").increment(streams as u64);
}
