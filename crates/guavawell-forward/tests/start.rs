//! Requests that arrive before a new process has read its initial state.
//! Callers that lost their connections to the previous process reconnect at
//! once, and would be refused if their requests did not wait.

mod crash;

use std::future::pending;
use std::rc::Rc;

use futures_lite::future::block_on;
use futures_lite::future::poll_once;
use guavawell_core::forward::AdmissionSettings;
use guavawell_core::forward::ChoiceSettings;
use guavawell_core::forward::ClientSettings;
use guavawell_core::forward::CongestionSettings;
use guavawell_core::forward::ForwardConfig;
use guavawell_core::forward::ForwardLimits;
use guavawell_core::forward::InstanceCapacity;
use guavawell_core::forward::ReadAheadSettings;
use guavawell_core::forward::RetryLimits;
use guavawell_core::forward::RouteTable;
use guavawell_core::forward::SlowStartSettings;
use guavawell_core::forward::ZoneRegions;
use guavawell_core::grant::FleetMember;
use guavawell_core::grant::LedgerSettings;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::InstanceId;
use guavawell_core::poison::PoisonSettings;
use guavawell_fleet::event::EventLog;
use guavawell_forward::budget::BudgetManager;
use guavawell_forward::clock::SteadyClock;
use guavawell_forward::config::ConfigTracker;
use guavawell_forward::config::FetchedConfig;
use guavawell_forward::field_names::FieldNames;
use guavawell_forward::peer::PeerRegistry;
use guavawell_forward::poison::PoisonTracker;
use guavawell_forward::router::ForwardRouter;
use guavawell_forward::settings::ForwardSettings;
use guavawell_forward::settings::ListenAddresses;
use guavawell_forward::settings::TimeSettings;
use guavawell_forward::store::RowStore;

const NAMES: FieldNames = FieldNames {
    request: "id",
    time_left: "left",
    usage: "usage",
    prompt: "prompt",
    last_event: "event",
    resumes: "resumes",
    organisation: "organisation",
    expected_server: "server",
    priority: "priority",
    not_run: "not-run",
    receipt: "receipt",
    load: "load",
    leaving: "Leaving",
    cold: "Cold",
    server_id: "X-Instance-Id",
    limit: "server-limit",
    fragile: "fragile",
    reserved: &[],
};

/// A store that never answers.
fn silent_store() -> RowStore {
    RowStore {
        table: Box::new(|_| Box::pin(pending())),
        changes: Box::new(|_, _| Box::pin(pending())),
        read: Box::new(|_| Box::pin(pending())),
        write: Box::new(|_, _, _| Box::pin(pending())),
    }
}

fn router() -> ForwardRouter {
    let instance: InstanceId = "r1".parse().expect("a valid id");
    let clock = SteadyClock::start();
    let log = EventLog::off(instance.clone(), IncarnationId::new(1));
    let ledger = LedgerSettings::default();
    let store = silent_store();
    let member = FleetMember {
        instance: instance.clone(),
        zone: "z1".parse().expect("a valid id"),
    };
    let poison = Rc::new(PoisonTracker::new(
        instance.clone(),
        PoisonSettings::default(),
        clock,
        log.clone(),
        silent_store(),
    ));
    let shared_poison = Rc::clone(&poison);
    let decode = Box::new(|_: &[u8]| Ok(config()));
    let configs = Rc::new(ConfigTracker::new(
        TimeSettings::default().config,
        clock,
        log.clone(),
        decode,
    ));
    let peers = Rc::new(PeerRegistry::new(
        clock,
        member.clone(),
        None,
        Rc::clone(&configs),
    ));
    let manager = BudgetManager::new(
        member,
        ledger,
        clock,
        log.clone(),
        store,
        shared_poison,
        peers,
    );
    let settings = ForwardSettings {
        instance,
        zone: "z1".parse().expect("a valid id"),
        regions: ZoneRegions::default(),
        listen: ListenAddresses::default(),
        names: NAMES,
        times: TimeSettings::default(),
        choice: ChoiceSettings::default(),
        slow_start: SlowStartSettings::default(),
        clients: ClientSettings::default(),
        admission: AdmissionSettings::default(),
        read_ahead: ReadAheadSettings::default(),
        capacity: InstanceCapacity::default(),
        expects_overload: false,
        may_start_fleet: true,
        congestion: CongestionSettings::default(),
        retry_limits: RetryLimits::default(),
        ledger,
        poison: PoisonSettings::default(),
    };
    ForwardRouter::new(settings, clock, log, configs, Rc::new(manager), poison)
}

fn config() -> ForwardConfig {
    ForwardConfig {
        version: 1,
        routes: RouteTable::new(Vec::new()),
        services: Box::default(),
        organisations: Box::default(),
        keys: Box::default(),
        limits: ForwardLimits::default(),
    }
}

#[test]
fn requests_wait_until_configuration_servers_and_suspects_are_read() {
    let router = router();
    block_on(async {
        let mut first = Box::pin(router.wait_for_initial_state());
        assert!(poll_once(&mut first).await.is_none());
        let fetched = FetchedConfig::Row(b"the first", 1);
        router.config_received(fetched, router.clock.boot_now());
        assert!(
            poll_once(&mut first).await.is_none(),
            "the list of servers has not been read"
        );
        router.replace_server_list(Vec::new(), &[]);
        assert!(
            poll_once(&mut first).await.is_none(),
            "the suspected requests have not been read"
        );
        router.suspects_loaded();
        assert!(poll_once(&mut first).await.is_some());
        // Later requests do not wait.
        assert!(
            poll_once(Box::pin(router.wait_for_initial_state()))
                .await
                .is_some()
        );
    });
}
