//! Graceful shutdown.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use guavawell_demo::fleet::FleetSettings;
use guavawell_fleet::router::DrainReport;
use guavawell_fleet::router::RouterHandle;
use guavawell_load::history::TryEnd;
use guavawell_standin::fault::FaultChange;
use smol::Timer;
use smol::future::FutureExt;
use smol::future::zip;

use crate::env::FaultEnv;
use crate::env::run;
use crate::env::settings;
use crate::load::FaultLoad;
use crate::load::assert_all_answered;
use crate::load::streams;

/// Connections that wait to be accepted by a router that gets no processor time;
/// more than it serves in one turn of its executor.
const WAITING: usize = 300;

/// How long a router gets no processor time; a shutdown that waits for its
/// callers' port needs more.
const STARVED: Duration = Duration::from_secs(1);

/// Longest wait for an answer that should be there.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Tries that ended without a whole answer though a router had accepted them.
fn cut_tries(env: &FaultEnv) -> Vec<String> {
    let histories = env.histories();
    let tries = histories.iter().flat_map(|history| &history.tries);
    let cut = tries.filter(|tried| matches!(tried.end, TryEnd::Incomplete { .. }));
    cut.map(|tried| format!("{tried:?}")).collect()
}

#[test]
fn a_graceful_shutdown_cuts_no_request_and_hands_every_slot_over() {
    run(async {
        let mut env = FaultEnv::start().await;
        let victim = env.holder(0);
        let load = env.begin(FaultLoad {
            requests: 120,
            ..FaultLoad::default()
        });
        env.wait_ended(20).await;
        let report = env.fleet.drain(victim).await;
        assert_eq!(report, DrainReport::default());
        assert_all_answered(&load.await, 120);
        let histories = env.histories();
        let tries = histories.iter().flat_map(|history| &history.tries);
        let cut: Vec<_> = tries
            .filter(|tried| matches!(tried.end, TryEnd::Incomplete { .. }))
            .collect();
        assert!(cut.is_empty(), "{cut:#?}");
        env.assert_exact().await;
        assert_eq!(env.frozen(), 0, "nothing freezes in a graceful shutdown");
    });
}

#[test]
fn a_leaving_holder_reports_what_runs_elsewhere_before_it_stops() {
    run(async {
        let mut env = FaultEnv::start().await;
        // Streams of more than a second, and a platform that takes its time.
        env.engine_faults(FaultChange {
            token_ms: Some(40),
            ..FaultChange::default()
        })
        .await;
        env.platform_faults(FaultChange {
            delay_ms: Some(150),
            ..FaultChange::default()
        });
        let victim = env.holder(0);
        let load = env.begin(FaultLoad {
            targets: env.router(env.bystander(0)),
            requests: 12,
            profiles: streams(32),
            ..FaultLoad::default()
        });
        env.wait_runs(6).await;
        let report = env.fleet.drain(victim).await;
        assert_eq!(report, DrainReport::default());
        assert_all_answered(&load.await, 12);
        env.assert_exact().await;
        assert_eq!(env.frozen(), 0, "nothing freezes in a graceful shutdown");
    });
}

/// Guards against a caller that keeps a connection and gets no answer on it: the
/// router closed it, a second after it began to leave, without a word.
#[test]
fn a_connection_kept_through_a_shutdown_is_not_closed_without_an_answer() {
    run(async {
        let mut env = FaultEnv::start().await;
        let victim = env.holder(0);
        let targets = [env.router(victim), env.router(env.bystander(0))].concat();
        // The first request leaves a kept connection at the victim; the second
        // runs at the other router past the victim's wait for idle connections;
        // the third is the victim's turn again, while its caller still keeps the
        // connection.
        env.engine_faults(FaultChange {
            token_ms: Some(70),
            ..FaultChange::default()
        })
        .await;
        let load = env.begin(FaultLoad {
            targets,
            requests: 3,
            callers: 1,
            profiles: streams(32),
            ..FaultLoad::default()
        });
        env.wait_ended(1).await;
        let (report, end) = zip(env.fleet.drain(victim), load).await;
        assert_eq!(report, DrainReport::default());
        assert_all_answered(&end, 3);
        let cut = cut_tries(&env);
        assert!(cut.is_empty(), "{cut:#?}");
    });
}

/// Guards against callers that are reset though their connections were taken in:
/// the shutdown ended before the router, starved of processor time, accepted them.
#[test]
fn connections_that_wait_to_be_accepted_are_answered_before_the_stop() {
    run(async {
        let mut env = FaultEnv::start_with(FleetSettings {
            routers: 3,
            ..settings()
        })
        .await;
        let routers = env.fleet.routers.iter();
        let holds_none = |handle: &RouterHandle| handle.held_slots() == 0;
        let idle = |handle: Option<&RouterHandle>| handle.is_some_and(holds_none);
        let mut without = routers.map(|router| idle(router.handle.as_ref()));
        let victim = without.position(|is_idle| is_idle).expect("a third router");
        let address = env.router(victim)[0];
        let gate = env.fleet.routers[victim].gate.clone();
        env.fleet.pause(victim);
        let mut callers: Vec<TcpStream> = (0..WAITING)
            .map(|_| {
                let mut stream = TcpStream::connect(address).expect("the port listens");
                let request = b"GET /nothing HTTP/1.1\r\nhost: r\r\n\r\n";
                stream.write_all(request).expect("room for a request");
                stream
            })
            .collect();
        let resume = async {
            Timer::after(STARVED).await;
            gate.set_paused(false);
            std::future::pending::<DrainReport>().await
        };
        let report = env.fleet.drain(victim).or(resume).await;
        assert_eq!(report, DrainReport::default());
        let answered = callers
            .iter_mut()
            .filter_map(|stream| {
                stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
                let mut start = [0; 5];
                stream.read_exact(&mut start).ok()?;
                (&start == b"HTTP/").then_some(())
            })
            .count();
        assert_eq!(answered, WAITING, "connections with an answer");
    });
}
