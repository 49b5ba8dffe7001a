//! Fetches the configuration from other instances while the store does not answer.
//!
//! Load pattern: one or more instances lose the connection to the store while
//! callers still reach them. Instances that reach the store know every change
//! within milliseconds. If no instance reaches the store, each queries a few others
//! at growing intervals.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockTime;
use guavawell_core::id::InstanceId;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use super::PeerConfig;
use crate::clock::timer_span;
use crate::http::HedgedTries;
use crate::peer::PeerError;
use crate::router::ForwardRouter;

/// Largest number of instances that are queried in one round.
const PEERS_PER_ROUND: usize = 3;
/// Time after which the next instance is queried as well if none has answered.
const HEDGE_DELAY: Duration = Duration::from_millis(150);
/// Timeout for the head of a response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of doublings of the interval after rounds in which no instance
/// reached the store.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Another instance's answer to a query.
struct ReceivedConfig {
    instance: InstanceId,
    sent_at: ClockTime,
    answer: PeerConfig,
}

/// Queries other instances whenever the store does not answer, for as long as the
/// process runs.
pub async fn query_peers(router: Rc<ForwardRouter>) {
    let interval = router.settings.times.config.wait;
    let mut failed_rounds = 0;
    loop {
        router.configs.wait_query_due().await;
        failed_rounds = if query_round(&router).await {
            0
        } else {
            failed_rounds + 1
        };
        let pause = timer_span(interval) * 2_u32.pow(failed_rounds.min(MAX_BACKOFF_DOUBLINGS));
        // Jitter, so that instances that lost the store together do not query at the
        // same time.
        Timer::after(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
    }
}

/// Queries instances until one answers that reaches the store; true if one did.
pub async fn query_round(router: &ForwardRouter) -> bool {
    let mut peers = router.peers.shuffled_addresses();
    if peers.is_empty() || router.peers.key().is_none() {
        return false;
    }
    peers.truncate(PEERS_PER_ROUND);
    let mut tries = HedgedTries::new(PEERS_PER_ROUND);
    for (instance, address) in peers {
        let next = Box::pin(query_peer(router, instance, address));
        if let Some(Ok(received)) = tries.first_answer(next, HEDGE_DELAY).await
            && apply_received(router, &received)
        {
            return true;
        }
    }
    // Waits for late answers of instances queried before.
    matches!(tries.next_answer(HEAD_TIMEOUT).await, Some(Ok(received)) if apply_received(router, &received))
}

async fn query_peer(
    router: &ForwardRouter,
    instance: InstanceId,
    address: SocketAddr,
) -> Result<ReceivedConfig, PeerError> {
    let sent_at = router.clock.boot_now();
    let known = router.configs.version();
    let answer = router
        .peers
        .fetch_config(address, known, HEAD_TIMEOUT)
        .await?;
    Ok(ReceivedConfig {
        instance,
        sent_at,
        answer,
    })
}

/// Processes an instance's answer; true if its configuration is recent enough to
/// show that the instance reaches the store.
fn apply_received(router: &ForwardRouter, received: &ReceivedConfig) -> bool {
    let answer = &received.answer;
    router.learn_zones(answer);
    match router.configs.apply_peer_config(answer, received.sent_at) {
        Ok(in_force) => {
            if in_force {
                router.config_changed();
            }
            let overdue_after = router.settings.times.config.overdue_after(0);
            answer.age <= overdue_after
        }
        Err(error) => {
            let draft = EventDraft::new("config.untrusted")
                .field("from", &received.instance)
                .field("version", answer.version)
                .field("error", error);
            router.log.emit(draft);
            false
        }
    }
}
