//! The measured node.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cpu_time::ProcessTime;
use cpu_time::ThreadTime;
use guavawell_core::clock::ClockTime;
use guavawell_fleet::clock;
use guavawell_fleet::gossip::DatagramCounts;
use guavawell_fleet::gossip::DriverSettings;
use guavawell_fleet::gossip::GossipDriver;
use smol::Timer;

use super::WorkKind;
use super::load;
use super::load::FleetLoad;
use super::load::LoadClock;
use super::report::NodeReports;
use super::report::SEEN_EVERY;

/// Time in which the node gets to know the fleet before it is measured.
const WARM_UP: Duration = Duration::from_secs(3);

/// Time measured: one whole cycle of manifest versions.
const MEASURED: Duration = Duration::from_millis(12_700);

/// Time measured while a zone is parted and healed.
const MEASURED_PARTING: Duration = Duration::from_secs(40);

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// What the node cost.
#[derive(Clone, Copy, Debug)]
pub struct NodeCost {
    /// Its thread's share of a core.
    pub thread_percent: f64,
    /// The share of a core of the whole process but the load's thread.
    pub process_percent: f64,
    /// Most bytes that its thread held on the heap, in thousands.
    pub heap_kilobytes: f64,
    /// Bytes sent a second, headers included.
    pub sent_per_second: f64,
    /// Bytes received a second, headers included.
    pub received_per_second: f64,
    /// Members that it knew 3 s after its start.
    pub known_early: usize,
    /// Members that it knew at the end.
    pub known: usize,
    /// News that it had not yet passed on at the end.
    pub queued: usize,
    /// The load thread's share of a core; near 100 the load fell behind.
    pub load_percent: f64,
}

/// Counters at one moment.
struct CostSample {
    thread: Duration,
    process: Duration,
    load: Duration,
    datagrams: DatagramCounts,
    known: usize,
}

/// Runs the node beside `fleet` and measures it.
pub fn measure(fleet: FleetLoad) -> NodeCost {
    let seed = fleet.first_address();
    let work = fleet.work();
    let measured = if work == WorkKind::Parted {
        MEASURED_PARTING
    } else {
        MEASURED
    };
    let reports = NodeReports::plan(0, fleet.size());
    let clock = fleet.clock();
    let handle = fleet.spawn();
    let measuring = thread::Builder::new().name("node".into());
    let node = measuring.spawn(move || {
        let mut cost = None;
        let heap = allocation_counter::measure(|| {
            cost = Some(smol::block_on(run(seed, work, measured, &clock, &reports)));
        });
        let mut cost = cost.expect("the node ran");
        cost.heap_kilobytes = kilobytes(heap.bytes_max);
        cost
    });
    let cost = node.expect("a thread").join().expect("the node ends");
    handle.stop();
    cost
}

async fn run(
    seed: SocketAddr,
    work: WorkKind,
    measured: Duration,
    clock: &LoadClock,
    reports: &NodeReports,
) -> NodeCost {
    let settings = DriverSettings {
        seeds: vec![seed],
        random_seed: 1,
        ..DriverSettings::new(load::address(0), load::keys())
    };
    let driver = GossipDriver::bind(settings, load::record(0, clock::now()), |_| ())
        .await
        .expect("binds");
    let running = async {
        let error = driver.run().await;
        panic!("the socket failed: {error:?}");
    };
    smol::future::or(
        sample_twice(&driver, work, measured, clock, reports),
        running,
    )
    .await
}

async fn sample_twice(
    driver: &GossipDriver,
    work: WorkKind,
    measured: Duration,
    clock: &LoadClock,
    reports: &NodeReports,
) -> NodeCost {
    let started = Instant::now();
    let mut before = None;
    let mut began = started;
    let mut due = NodeDue::default();
    while started.elapsed() < WARM_UP + measured {
        if work != WorkKind::Quiet {
            due.renew(driver, reports).await;
        }
        Timer::after(Duration::from_millis(100)).await;
        if before.is_none() && started.elapsed() >= WARM_UP {
            began = Instant::now();
            before = Some(sample(driver, clock));
        }
    }
    let before = before.expect("warm-up ended");
    let after = sample(driver, clock);
    cost(driver, &before, &after, began.elapsed())
}

/// When this node's work was done last.
#[derive(Default)]
struct NodeDue {
    reported: ClockTime,
    seen: ClockTime,
}

impl NodeDue {
    /// Sends reports and publishes notes that are due.
    async fn renew(&mut self, driver: &GossipDriver, reports: &NodeReports) {
        let now = clock::now();
        driver.set_manifest(load::manifest_at(now));
        if now.since(self.seen) >= SEEN_EVERY {
            self.seen = now;
            let note = reports.seen_note(driver.view().own(), now);
            driver.publish(&note).expect("taken");
        }
        if now.since(self.reported) >= reports.pause() {
            self.reported = now;
            for (receiver, bundle) in reports.bundles(now) {
                driver.send_report(load::address(receiver), &bundle).await;
            }
        }
    }
}

fn sample(driver: &GossipDriver, clock: &LoadClock) -> CostSample {
    CostSample {
        thread: ThreadTime::now().as_duration(),
        process: ProcessTime::now().as_duration(),
        load: clock.thread_time(),
        datagrams: driver.datagram_counts(),
        known: driver.view().members().len(),
    }
}

fn cost(
    driver: &GossipDriver,
    before: &CostSample,
    after: &CostSample,
    elapsed: Duration,
) -> NodeCost {
    let seconds = elapsed.as_secs_f64();
    let thread = after.thread.saturating_sub(before.thread).as_secs_f64();
    let process = after.process.saturating_sub(before.process).as_secs_f64();
    let load = after.load.saturating_sub(before.load).as_secs_f64();
    let sent = after.datagrams.sent - before.datagrams.sent;
    let sent_bytes = after.datagrams.sent_bytes - before.datagrams.sent_bytes;
    let received = after.datagrams.received - before.datagrams.received;
    let received_bytes = after.datagrams.received_bytes - before.datagrams.received_bytes;
    NodeCost {
        thread_percent: thread / seconds * 100.0,
        process_percent: (process - load) / seconds * 100.0,
        heap_kilobytes: 0.0,
        sent_per_second: number(sent_bytes + sent * HEADER_BYTES) / seconds,
        received_per_second: number(received_bytes + received * HEADER_BYTES) / seconds,
        known_early: before.known,
        known: after.known,
        queued: driver.gossip_counts().queued,
        load_percent: load / seconds * 100.0,
    }
}

fn kilobytes(bytes: u64) -> f64 {
    number(bytes) / 1_000.0
}

/// A count as a float; counts here stay far below 2^32.
fn number(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
