//! Gossip over real UDP sockets on loopback.

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::ManifestVersion;
use guavawell_core::instance::GossipNote;
use guavawell_core::instance::MemberEffect;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::MembershipSettings;
use guavawell_core::instance::NoteScope;
use guavawell_core::instance::Reachability;
use guavawell_core::instance::draw_incarnation;
use guavawell_fleet::gossip::DriverSettings;
use guavawell_fleet::gossip::FleetKey;
use guavawell_fleet::gossip::FleetKeys;
use guavawell_fleet::gossip::GossipDriver;
use guavawell_fleet::gossip::SealError;
use smol::Executor;
use smol::Timer;

/// Guards against a hang only; nothing asserts on time.
const PATIENCE: Duration = Duration::from_secs(60);

/// Threads that run the drivers.
const THREADS: usize = 3;

/// Runs `test` while several threads serve the executor.
fn on_threads<T>(test: impl AsyncFnOnce(&Executor<'static>) -> T) -> T {
    let executor = Arc::new(Executor::new());
    let (stop, stopped) = smol::channel::unbounded::<()>();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            let executor = Arc::clone(&executor);
            let stopped = stopped.clone();
            scope.spawn(move || smol::block_on(executor.run(stopped.recv())));
        }
        let outcome = smol::block_on(test(&executor));
        drop(stop);
        outcome
    })
}

fn key(text: &str) -> FleetKey {
    FleetKey::from_text(text)
}

fn keys(first: &str) -> FleetKeys {
    FleetKeys::new(key(first), Vec::new())
}

fn free_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn record(number: u64) -> MemberRecord {
    MemberRecord {
        instance: format!("router-{number}").parse().expect("an id"),
        incarnation: draw_incarnation(ClockTime::from_millis(1_000), number),
        refutation: 0,
        zone: format!("zone-{}", number % 2).parse().expect("an id"),
        caller_address: free_port(),
        peer_address: free_port(),
        gossip_address: free_port(),
        reachability: Reachability::Reachable,
        leaving: false,
        manifest: ManifestVersion::new(1),
    }
}

fn fast() -> MembershipSettings {
    MembershipSettings {
        gossip_interval: ClockSpan::from_millis(50),
        reconnect_interval: ClockSpan::from_millis(100),
        sync_interval: ClockSpan::from_millis(200),
        bytes_per_second: 100_000,
        ..MembershipSettings::default()
    }
}

async fn start(
    executor: &Executor<'static>,
    number: u64,
    keys: FleetKeys,
    seeds: &[SocketAddr],
) -> GossipDriver {
    let settings = DriverSettings {
        seeds: seeds.to_vec(),
        membership: fast(),
        tick: ClockSpan::from_millis(20),
        random_seed: number,
        ..DriverSettings::new(free_port(), keys)
    };
    let driver = GossipDriver::bind(settings, record(number), |_| ())
        .await
        .expect("binds");
    let running = driver.clone();
    executor.spawn(async move { running.run().await }).detach();
    driver
}

async fn start_fleet(executor: &Executor<'static>, count: u64) -> Vec<GossipDriver> {
    let first = start(executor, 0, keys("blue"), &[]).await;
    let seeds = [first.address()];
    let mut drivers = vec![first];
    for number in 1..count {
        drivers.push(start(executor, number, keys("blue"), &seeds).await);
    }
    drivers
}

async fn wait_for(what: &str, done: impl Fn() -> bool) {
    let waiting = async {
        while !done() {
            Timer::after(Duration::from_millis(20)).await;
        }
        true
    };
    let giving_up = async {
        Timer::after(PATIENCE).await;
        false
    };
    assert!(smol::future::or(waiting, giving_up).await, "{what}");
}

fn all_route_to(drivers: &[GossipDriver], count: usize) -> bool {
    let mut views = drivers.iter().map(GossipDriver::view);
    views.all(|view| view.routable().count() == count)
}

#[test]
fn six_drivers_on_several_threads_find_each_other_and_see_one_leave() {
    on_threads(async |executor| {
        let drivers = start_fleet(executor, 6).await;
        wait_for("all find each other", || all_route_to(&drivers, 6)).await;
        drivers[2].leave().await;
        wait_for("all see it leave", || all_route_to(&drivers, 5)).await;
    });
}

#[test]
fn notes_and_manifest_versions_ride_along() {
    on_threads(async |executor| {
        let drivers = start_fleet(executor, 4).await;
        wait_for("all find each other", || all_route_to(&drivers, 4)).await;
        let note = GossipNote {
            key: "manifest".into(),
            scope: NoteScope::Fleet,
            version: 7,
            bytes: (*b"digest").into(),
        };
        drivers[0].publish(&note).expect("taken");
        drivers[1].set_manifest(ManifestVersion::new(7));
        let told = |driver: &GossipDriver| {
            let view = driver.view();
            let publisher = record(1).instance;
            let member = view.find(&publisher).expect("known");
            view.note("manifest") == Some(&note) && member.manifest.get() == 7
        };
        wait_for("all are told", || drivers.iter().all(told)).await;
    });
}

#[test]
fn datagrams_that_do_not_verify_are_dropped_and_counted() {
    on_threads(async |executor| {
        let driver = start(executor, 0, keys("blue"), &[]).await;
        let _stranger = start(executor, 1, keys("red"), &[driver.address()]).await;
        let socket = UdpSocket::bind(free_port()).expect("binds");
        socket.send_to(&[9; 40], driver.address()).expect("sent");
        let garbage = keys("blue").seal(&[0xff; 40]);
        socket.send_to(&garbage, driver.address()).expect("sent");
        wait_for("all are counted", || {
            let counts = driver.datagram_counts();
            counts.unverified >= 1 && counts.malformed >= 2
        })
        .await;
        assert_eq!(driver.view().members().len(), 1);
    });
}

#[test]
fn key_is_replaced_without_a_gap() {
    let both = |first: &str, second: &str| FleetKeys::new(key(first), vec![key(second)]);
    on_threads(async |executor| {
        let drivers = start_fleet(executor, 3).await;
        wait_for("all find each other", || all_route_to(&drivers, 3)).await;
        let stages = [both("blue", "red"), both("red", "blue"), keys("red")];
        for stage in stages {
            for driver in &drivers {
                driver.replace_keys(stage.clone());
            }
        }
        let before: u64 = drivers[0].datagram_counts().received;
        wait_for("gossip goes on", || {
            drivers[0].datagram_counts().received > before + 5
        })
        .await;
        let newcomer = start(executor, 9, keys("red"), &[drivers[1].address()]).await;
        wait_for("a newcomer is taken in", || {
            all_route_to(&drivers, 4) && newcomer.view().routable().count() == 4
        })
        .await;
    });
}

#[test]
fn listener_hears_of_changes_and_of_a_later_life() {
    on_threads(async |executor| {
        let heard = Arc::new(Mutex::new(Vec::new()));
        let record_effect = {
            let heard = Arc::clone(&heard);
            move |effect: &MemberEffect| heard.lock().expect("unpoisoned").push(effect.clone())
        };
        let settings = DriverSettings {
            membership: fast(),
            tick: ClockSpan::from_millis(20),
            ..DriverSettings::new(free_port(), keys("blue"))
        };
        let driver = GossipDriver::bind(settings, record(0), record_effect)
            .await
            .expect("binds");
        let running = driver.clone();
        executor.spawn(async move { running.run().await }).detach();
        let _other = start(executor, 1, keys("blue"), &[driver.address()]).await;
        wait_for("a change is heard", || {
            let heard = heard.lock().expect("unpoisoned");
            heard
                .iter()
                .any(|effect| matches!(effect, MemberEffect::Changed { .. }))
        })
        .await;
        let later = MemberRecord {
            incarnation: draw_incarnation(ClockTime::from_millis(2_000), 0),
            ..record(0)
        };
        let settings = DriverSettings {
            seeds: vec![driver.address()],
            membership: fast(),
            tick: ClockSpan::from_millis(20),
            ..DriverSettings::new(free_port(), keys("blue"))
        };
        let successor = GossipDriver::bind(settings, later.clone(), |_| ())
            .await
            .expect("binds");
        let running = successor.clone();
        executor.spawn(async move { running.run().await }).detach();
        let superseded = MemberEffect::Superseded {
            by: later.incarnation,
        };
        wait_for("the later life is heard of", || {
            heard.lock().expect("unpoisoned").contains(&superseded)
        })
        .await;
    });
}

#[test]
fn sealed_datagrams_open_only_whole_and_with_a_shared_key() {
    let sealed = keys("blue").seal(b"news");
    assert_eq!(keys("blue").open(&sealed), Ok(&b"news"[..]));
    assert_eq!(keys("red").open(&sealed), Err(SealError::Unverified));
    for index in 1..sealed.len() {
        let mut changed = sealed.clone();
        changed[index] ^= 1;
        assert_eq!(keys("blue").open(&changed), Err(SealError::Unverified));
    }
    assert_eq!(keys("blue").open(&sealed[..16]), Err(SealError::Layout));
}

#[test]
fn load_reports_arrive_beside_gossip_and_only_from_holders_of_the_key() {
    on_threads(async |executor| {
        let drivers = start_fleet(executor, 2).await;
        let stranger = start(executor, 9, keys("red"), &[]).await;
        wait_for("all find each other", || all_route_to(&drivers, 2)).await;
        let to = drivers[1].address();
        assert!(stranger.send_report(to, b"forged").await);
        wait_for("the forged one is dropped", || {
            drivers[1].datagram_counts().unverified >= 1
        })
        .await;
        assert!(drivers[0].send_report(to, b"bundle").await);
        let arrived = drivers[1].next_report().await.expect("comes");
        assert_eq!(&*arrived, b"bundle");
        assert_eq!(drivers[1].datagram_counts().malformed, 0);
        // Reports end where membership needs the allowance.
        let large = [7; 1_300];
        let mut sent = 0;
        while drivers[0].send_report(to, &large).await {
            sent += 1;
            assert!(sent < 1_000, "never withheld");
        }
        assert!(drivers[0].gossip_counts().reports_withheld > 0);
    });
}
