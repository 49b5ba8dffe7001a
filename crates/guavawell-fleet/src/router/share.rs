//! This router's shares of the platform: reckoned anew each second from the
//! number of routers, the zone's demands and the own one.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::instance::MemberView;
use guavawell_core::instance::Reachability;
use guavawell_core::platform::FleetShare;
use guavawell_core::platform::FleetSize;
use guavawell_core::platform::PlatformRate;
use guavawell_core::platform::SegmentInterval;
use guavawell_core::platform::ShareDecision;
use guavawell_core::platform::ShareInputs;
use guavawell_core::platform::SharePolicy;
use guavawell_core::platform::SharingPolicy;
use guavawell_core::platform::SizeInputs;
use guavawell_core::platform::SizePolicy;
use smol::Timer;

use super::core::RouterCore;
use super::demand::DemandNote;
use super::demand::heard_demands;
use crate::clock;
use crate::gossip::GossipDriver;
use crate::platform::ReadGate;
use crate::platform::ShareReading;
use crate::platform::WriteGate;
use crate::settings::PlatformSettings;

/// Time between two reckonings.
const REVIEW_EVERY: Duration = Duration::from_secs(1);

/// Age from which on the platform's list says nothing.
const LIST_STALE: ClockSpan = ClockSpan::from_millis(120_000);

/// The shares in use, and what the platform last listed.
#[derive(Debug)]
pub struct RouterShares {
    /// Writes, of table and object store together.
    pub writes: WriteGate,
    /// Reads, of the instance list too.
    pub reads: ReadGate,
    listed: Mutex<Option<(u32, ClockTime)>>,
}

impl RouterShares {
    /// Shares for the time in which nothing is known of other routers.
    pub fn new(platform: &PlatformSettings) -> Self {
        let patience = platform.timeout_ms;
        Self {
            writes: WriteGate::new(first_share(write_budget(platform)), patience),
            reads: ReadGate::new(first_share(read_budget(platform)), patience),
            listed: Mutex::new(None),
        }
    }

    /// The platform listed so many routers. An empty list tells nothing: this
    /// router is one.
    pub fn take_list(&self, routers: usize) {
        let routers = u32::try_from(routers).unwrap_or(u32::MAX);
        if routers > 0 {
            let listed = Some((routers, clock::now()));
            *self.listed.lock().unwrap_or_else(PoisonError::into_inner) = listed;
        }
    }

    fn listed(&self, now: ClockTime) -> Option<u32> {
        let listed = *self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        let (routers, at) = listed?;
        (now.since(at) < LIST_STALE).then_some(routers)
    }
}

/// What all routers together may write.
const fn write_budget(platform: &PlatformSettings) -> PlatformRate {
    PlatformRate::per_second(platform.fleet_writes_per_second.get())
}

/// What all routers together may read.
const fn read_budget(platform: &PlatformSettings) -> PlatformRate {
    PlatformRate::per_second(platform.fleet_reads_per_second.get())
}

/// How long segments of the journal stay open.
pub const fn segment_wait(platform: &PlatformSettings) -> SegmentInterval {
    SegmentInterval {
        min: platform.segment_wait_ms,
        max: platform.segment_most_wait_ms,
    }
}

fn first_share(budget: PlatformRate) -> SharePolicy {
    let now = clock::now();
    let size = FleetSize::new(SizePolicy::default(), now);
    FleetShare::new(SharingPolicy::default(), budget, now).with_burst(size.share_of(budget, 1))
}

/// Reckons the shares as long as it runs.
pub async fn run_shares(core: Arc<RouterCore>, gossip: GossipDriver) {
    let mut review = ShareReview::new(&core.settings.platform, clock::now());
    loop {
        Timer::after(REVIEW_EVERY).await;
        review.run(&core, &gossip);
    }
}

struct ShareReview {
    size: FleetSize,
    writes: FleetShare,
    reads: FleetShare,
    announced: DemandNote,
}

impl ShareReview {
    fn new(platform: &PlatformSettings, now: ClockTime) -> Self {
        let policy = SharingPolicy::default();
        Self {
            size: FleetSize::new(SizePolicy::default(), now),
            writes: FleetShare::new(policy, write_budget(platform), now),
            reads: FleetShare::new(policy, read_budget(platform), now),
            announced: DemandNote::default(),
        }
    }

    fn run(&mut self, core: &RouterCore, gossip: &GossipDriver) {
        let now = clock::now();
        let members = gossip.view();
        let shares = &core.shares;
        let signs = SizeInputs {
            live: live_routers(&members),
            listed: shares.listed(now),
        };
        self.size.observe(signs, now);
        let zone = &core.settings.instance.zone;
        let zone_live = members.routable_in(zone).count();
        let zone_live = u32::try_from(zone_live).unwrap_or(u32::MAX);
        let heard = heard_demands(&members);
        let writes: Vec<PlatformRate> = heard.iter().map(|note| note.writes).collect();
        let reads: Vec<PlatformRate> = heard.iter().map(|note| note.reads).collect();
        let signs = |others, reading: &ShareReading| ShareInputs {
            size: self.size,
            zone_live,
            others,
            demand: reading.demand,
        };
        let (written, read) = (shares.writes.read(), shares.reads.read());
        let write = self.writes.update(&signs(&writes, &written), now);
        let read_on = self.reads.update(&signs(&reads, &read), now);
        shares.writes.set_policy(write.policy);
        shares.reads.set_policy(read_on.policy);
        self.announce([write, read_on], &members, gossip);
        show("writes", &written);
        show("reads", &read);
        show_routers(self.size.routers());
        pace_spare_work(core, &written);
    }

    /// Tells the zone, if either demand changed or has to be renewed.
    fn announce(
        &mut self,
        decisions: [ShareDecision; 2],
        members: &MemberView,
        gossip: &GossipDriver,
    ) {
        let [writes, reads] = decisions.map(|decision| decision.announce);
        if writes.is_none() && reads.is_none() {
            return;
        }
        self.announced = DemandNote {
            writes: writes.unwrap_or(self.announced.writes),
            reads: reads.unwrap_or(self.announced.reads),
        };
        let note = self.announced.to_gossip(members, clock::now());
        let is_told = note.is_some_and(|note| gossip.publish(&note).is_ok());
        let outcome = if is_told { "told" } else { "failed" };
        metrics::counter!("guavawell_platform_demands_total", "outcome" => outcome).increment(1);
    }
}

/// Segments and reports of settled use take what the share can spare.
fn pace_spare_work(core: &RouterCore, writes: &ShareReading) {
    let held = core.slots.held().len();
    let wait = segment_wait(&core.settings.platform).for_rate(writes.spare, held);
    core.journal.set_longest_wait(wait);
    core.slots.pace_reports(writes.spare);
    let millis = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    metrics::gauge!("guavawell_journal_segment_wait_seconds").set(f64::from(millis) / 1e3);
}

fn live_routers(members: &MemberView) -> u32 {
    let is_live =
        |reachability, leaving: bool| reachability != Reachability::Unreachable && !leaving;
    let members = members.members().iter();
    let live = members.filter(|member| is_live(member.reachability, member.leaving));
    u32::try_from(live.count()).unwrap_or(u32::MAX)
}

fn show(kind: &'static str, reading: &ShareReading) {
    metrics::gauge!("guavawell_platform_share", "kind" => kind).set(per_second(reading.rate));
    metrics::gauge!("guavawell_platform_share_demand", "kind" => kind)
        .set(per_second(reading.demand));
    let part = u32::try_from(reading.part).unwrap_or(u32::MAX);
    metrics::gauge!("guavawell_platform_share_left", "kind" => kind).set(f64::from(part) / 1e3);
}

fn show_routers(routers: u64) {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    metrics::gauge!("guavawell_platform_share_routers").set(f64::from(routers));
}

fn per_second(rate: PlatformRate) -> f64 {
    let milli = u32::try_from(rate.as_milli()).unwrap_or(u32::MAX);
    f64::from(milli) / 1e3
}
