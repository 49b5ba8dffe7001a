//! Three real slot drivers of one zone over the stand-in's table.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use guavawell_core::budget::BudgetRow;
use guavawell_core::budget::HolderSettings;
use guavawell_core::budget::InstanceIncarnation;
use guavawell_core::budget::SlotRow;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::InstanceId;
use guavawell_core::id::ManifestVersion;
use guavawell_core::id::TokenCount;
use guavawell_core::instance::GossipMessage;
use guavawell_core::instance::MemberRecord;
use guavawell_core::instance::MemberView;
use guavawell_core::instance::Membership;
use guavawell_core::instance::MembershipSettings;
use guavawell_core::instance::MessageBody;
use guavawell_core::instance::Reachability;
use guavawell_fleet::drill::LinkGate;
use guavawell_fleet::event::EventLog;
use guavawell_fleet::journal::JournalDriver;
use guavawell_fleet::journal::JournalSettings;
use guavawell_fleet::platform::Objects;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_fleet::slot::BudgetBase;
use guavawell_fleet::slot::SlotDriver;
use guavawell_fleet::slot::SlotParts;
use guavawell_fleet::slot::SlotTable;
use guavawell_fleet::slot::SlotTimes;
use guavawell_fleet::task::TaskSpawner;
use guavawell_fleet::task::TaskThreads;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;
use smol::channel;

use super::net::SlotNet;

const ROUTERS: usize = 3;

/// Time without a change after which the slot's row counts as settled: ten
/// reviews.
pub const STEADY: Duration = Duration::from_millis(200);

pub const PAID: TokenCount = TokenCount::new(600);

pub struct SlotRouter {
    pub life: InstanceIncarnation,
    pub driver: Arc<SlotDriver>,
    threads: TaskThreads,
    tasks: TaskSpawner,
    is_killed: AtomicBool,
}

impl SlotRouter {
    /// Runs `work` on the router's threads; `None` if the router was killed.
    pub fn run<T: Send + 'static>(
        &self,
        work: impl Future<Output = T> + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = channel::bounded(1);
        self.tasks.spawn(async move {
            let _ = sender.send(work.await).await;
        });
        smol::block_on(receiver.recv()).ok()
    }
}

pub struct SlotRig {
    pub platform: Platform,
    pub routers: Vec<SlotRouter>,
    pub net: Arc<SlotNet>,
    /// The fleet as each router sees it.
    views: Vec<Arc<Mutex<Arc<MemberView>>>>,
    records: Vec<MemberRecord>,
}

fn record(place: usize) -> MemberRecord {
    let port = u16::try_from(9_000 + place).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    MemberRecord {
        instance: format!("r{place}").parse().unwrap(),
        incarnation: IncarnationId::new(1),
        refutation: 0,
        zone: "z".parse().unwrap(),
        caller_address: address,
        peer_address: address,
        gossip_address: address,
        reachability: Reachability::Reachable,
        leaving: false,
        manifest: ManifestVersion::new(1),
    }
}

/// The view of one member that heard of all the others.
fn view(own: &MemberRecord, members: &[MemberRecord]) -> Arc<MemberView> {
    let now = ClockTime::from_millis(1);
    let settings = MembershipSettings::default();
    let mut membership = Membership::start(settings, own.clone(), 1, now);
    for member in members {
        let message = GossipMessage {
            sender: member.clone(),
            body: MessageBody::News,
            rumours: Vec::new(),
        };
        membership.receive(member.gossip_address, &message, now);
    }
    Arc::new(membership.view())
}

/// With a float a slow witness is soon given up, so that the float is spent;
/// without one it is waited for.
fn holder_settings(float_percent: u8) -> HolderSettings {
    let witness_timeout = if float_percent > 0 { 60 } else { 1_000 };
    HolderSettings {
        witness_timeout: ClockSpan::from_millis(witness_timeout),
        resend_every: ClockSpan::from_millis(15),
        slot_read_every: ClockSpan::from_millis(100),
        table_retry: ClockSpan::from_millis(50),
        queue_wait: ClockSpan::from_millis(500),
        retry_after: ClockSpan::from_millis(10),
        exhausted_hold: ClockSpan::from_millis(20),
        stock_requests: 8,
        float_percent,
        ..HolderSettings::default()
    }
}

fn times() -> SlotTimes {
    SlotTimes {
        review_every: ClockSpan::from_millis(20),
        tick_every: ClockSpan::from_millis(5),
        takeover_after: ClockSpan::from_millis(60),
        seize_after: ClockSpan::from_millis(600_000),
        ask_wait: ClockSpan::from_millis(1_500),
        settle_wait: ClockSpan::from_millis(1_500),
        refresh_every: ClockSpan::from_millis(50),
    }
}

impl SlotRig {
    /// Routers of which one holds the slot and another is its witness.
    pub fn start(float_percent: u8) -> Self {
        let platform = smol::block_on(Platform::start(PlatformSettings::default())).unwrap();
        let mut rig = Self {
            platform,
            routers: Vec::new(),
            net: Arc::default(),
            views: Vec::new(),
            records: (0..ROUTERS).map(record).collect(),
        };
        for place in 0..ROUTERS {
            rig.add_router(place, float_percent);
        }
        rig.wait_for_witness();
        rig
    }

    fn add_router(&mut self, place: usize, float_percent: u8) {
        let own = &self.records[place];
        let life = InstanceIncarnation {
            instance: own.instance.clone(),
            incarnation: own.incarnation,
        };
        let threads = TaskThreads::start("slot", 2, &LinkGate::default()).unwrap();
        let tasks = threads.spawner();
        let seen = Arc::new(Mutex::new(view(own, &self.records)));
        self.views.push(Arc::clone(&seen));
        let address = self.platform.address();
        let objects = Objects::new(address, "b", PoolSettings::default());
        let settings = JournalSettings::default();
        let (journal, writer) = JournalDriver::prepare(objects, life.clone(), settings, |_| {});
        tasks.spawn(writer);
        let base = BudgetBase {
            organisation: "o".parse().unwrap(),
            paid: PAID,
            version: ManifestVersion::new(1),
        };
        let table = Table::new(address, PoolSettings::default());
        let driver = SlotDriver::new(SlotParts {
            life: life.clone(),
            zone: own.zone.clone(),
            witness_zones: Vec::new(),
            witness_near: true,
            shards: Box::new(|| 1),
            members: Box::new(move || Arc::clone(&seen.lock().unwrap())),
            table: SlotTable::new(table, Arc::new(move |_| Some(base.clone()))),
            link: self.net.link(&life.instance),
            events: EventLog::off(life.instance.clone(), life.incarnation),
            tasks: tasks.clone(),
            journal,
            holder: Arc::new(holder_settings(float_percent)),
            times: times(),
        });
        let instance = life.instance.clone();
        self.net.add(instance, Arc::clone(&driver), tasks.clone());
        tasks.spawn(Arc::clone(&driver).run());
        self.routers.push(SlotRouter {
            life,
            driver,
            threads,
            tasks,
            is_killed: AtomicBool::new(false),
        });
    }

    pub fn slot_row(&self) -> Option<SlotRow> {
        let row = self.platform.row("slot/z/0")?;
        serde_json::from_slice(&row).ok()
    }

    pub fn budget_row(&self) -> BudgetRow {
        let row = self.platform.row("budget/m").expect("the budget's row");
        serde_json::from_slice(&row).unwrap()
    }

    pub fn wait_for_witness(&self) -> SlotRow {
        loop {
            let row = self.slot_row().filter(|row| row.witness.is_some());
            let is_held =
                |row: &SlotRow| !self.router(&row.holder.instance).driver.held().is_empty();
            if let Some(row) = row.filter(is_held) {
                return row;
            }
            sleep(Duration::from_millis(5));
        }
    }

    /// The row once it has not changed for `STEADY`: the first holder may hand
    /// the slot to its owner by hashing.
    pub fn wait_steady(&self) -> SlotRow {
        let mut row = self.wait_for_witness();
        loop {
            sleep(STEADY);
            let now = self.wait_for_witness();
            if now == row {
                return row;
            }
            row = now;
        }
    }

    /// Lets gossip tell a router that all the others are gone; they still answer.
    pub fn hide_others(&self, instance: &InstanceId) {
        let mut known = self.records.iter().zip(&self.views);
        let found = known.find(|(own, _)| own.instance == *instance);
        let (own, seen) = found.expect("a known router");
        *seen.lock().unwrap() = view(own, &[]);
    }

    pub fn router(&self, instance: &InstanceId) -> &SlotRouter {
        let mut routers = self.routers.iter();
        let found = routers.find(|router| router.life.instance == *instance);
        found.expect("a known router")
    }

    /// Routers that were not killed.
    pub fn living(&self) -> Vec<&SlotRouter> {
        let routers = self.routers.iter();
        routers
            .filter(|router| !router.is_killed.load(Ordering::Relaxed))
            .collect()
    }

    /// Ends a router as a crash does; the others hear of it at once.
    pub fn kill(&self, instance: &InstanceId) {
        let killed = self.router(instance);
        killed.is_killed.store(true, Ordering::Relaxed);
        killed.threads.stop();
        let rest: Vec<MemberRecord> = self
            .records
            .iter()
            .filter(|member| member.instance != *instance)
            .cloned()
            .collect();
        for (own, seen) in self.records.iter().zip(&self.views) {
            *seen.lock().unwrap() = view(own, &rest);
        }
    }
}

impl Drop for SlotRig {
    fn drop(&mut self) {
        for router in &self.routers {
            router.threads.stop();
        }
    }
}
