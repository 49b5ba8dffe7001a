//! Asks other instances for the configuration while the store does not answer.
//!
//! Load pattern: the way to the store is lost for one instance, or for some, and
//! callers still reach it. Instances that are in touch with the store know every
//! change milliseconds after it. Where the store is away from all, each asks a
//! few others ever more seldom.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use guavawell_core::clock::ClockTime;
use guavawell_core::id::InstanceId;
use guavawell_fleet::event::EventDraft;
use smol::Timer;

use super::ConfigAnswer;
use crate::clock::timer_span;
use crate::http::OpenTries;
use crate::peer::PeerError;
use crate::router::ForwardRouter;

/// Instances that are asked in a round.
const ROUND: usize = 3;
/// Wait for an instance's answer until the next one is asked beside it.
const PATIENCE: Duration = Duration::from_millis(150);
/// Longest wait for the head of an answer.
const HEAD_LIMIT: Duration = Duration::from_secs(1);
/// Doublings of the pause between rounds in which nobody was in touch with the
/// store.
const MAX_DOUBLINGS: u32 = 3;

/// What another instance told.
struct ToldConfig {
    instance: InstanceId,
    asked: ClockTime,
    answer: ConfigAnswer,
}

/// Asks others for as long as the process lives, whenever the store does not
/// answer.
pub async fn ask_others(router: Rc<ForwardRouter>) {
    let wait = router.settings.times.config.wait;
    let mut vain = 0;
    loop {
        router.configs.wait_doubted().await;
        vain = if ask_round(&router).await {
            0
        } else {
            vain + 1
        };
        let pause = timer_span(wait) * 2_u32.pow(vain.min(MAX_DOUBLINGS));
        // Spread, so that instances which lost the store together do not ask at
        // one moment.
        Timer::after(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
    }
}

/// Asks a few others, until one is in touch with the store; whether one was.
async fn ask_round(router: &ForwardRouter) -> bool {
    let mut others = router.peers.shuffled_addresses();
    if others.is_empty() || router.peers.key().is_none() {
        return false;
    }
    others.truncate(ROUND);
    let mut tries = OpenTries::new(ROUND);
    for (instance, address) in others {
        let next = Box::pin(ask(router, instance, address));
        if let Some(Ok(told)) = tries.first_answer(next, PATIENCE).await
            && take(router, &told)
        {
            return true;
        }
    }
    // Late answers.
    matches!(tries.next_answer(HEAD_LIMIT).await, Some(Ok(told)) if take(router, &told))
}

async fn ask(
    router: &ForwardRouter,
    instance: InstanceId,
    address: SocketAddr,
) -> Result<ToldConfig, PeerError> {
    let asked = router.clock.boot_now();
    let known = router.configs.version();
    let answer = router.peers.ask_config(address, known, HEAD_LIMIT).await?;
    Ok(ToldConfig {
        instance,
        asked,
        answer,
    })
}

/// Takes in what an instance told; whether it is in touch with the store.
fn take(router: &ForwardRouter, told: &ToldConfig) -> bool {
    let answer = &told.answer;
    match router.configs.instance_answered(answer, told.asked) {
        Ok(in_force) => {
            if in_force {
                router.config_changed();
            }
            let overdue = router.settings.times.config.overdue_after(0);
            answer.age <= overdue
        }
        Err(error) => {
            let draft = EventDraft::new("config.untrusted")
                .field("from", &told.instance)
                .field("version", answer.version)
                .field("error", error);
            router.log.emit(draft);
            false
        }
    }
}
