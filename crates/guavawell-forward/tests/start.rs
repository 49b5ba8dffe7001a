//! A process that has just started: callers that lost their connections to the
//! one before are there before it has read anything.

use std::future::pending;
use std::rc::Rc;

use futures_lite::future::block_on;
use futures_lite::future::poll_once;
use guavawell_core::forward::AdmissionSettings;
use guavawell_core::forward::ChoiceSettings;
use guavawell_core::forward::CongestionSettings;
use guavawell_core::forward::ForwardConfig;
use guavawell_core::forward::ForwardLimits;
use guavawell_core::forward::RetryLimits;
use guavawell_core::forward::RouteTable;
use guavawell_core::grant::BookSettings;
use guavawell_core::grant::FleetMember;
use guavawell_core::id::IncarnationId;
use guavawell_core::id::InstanceId;
use guavawell_core::poison::PoisonSettings;
use guavawell_fleet::event::EventLog;
use guavawell_forward::budget::BudgetDesk;
use guavawell_forward::clock::SteadyClock;
use guavawell_forward::config::ConfigDesk;
use guavawell_forward::config::ConfigTold;
use guavawell_forward::names::FieldNames;
use guavawell_forward::peer::PeerDesk;
use guavawell_forward::poison::PoisonDesk;
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
    organisation: "organisation",
    expected_server: "server",
    priority: "priority",
    not_run: "not-run",
    load: "load",
    leaving: "Leaving",
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
    let book = BookSettings::default();
    let store = silent_store();
    let member = FleetMember {
        instance: instance.clone(),
        zone: "z1".parse().expect("a valid id"),
    };
    let poison = Rc::new(PoisonDesk::new(
        instance.clone(),
        PoisonSettings::default(),
        clock,
        log.clone(),
        silent_store(),
    ));
    let own = Rc::clone(&poison);
    let decode = Box::new(|_: &[u8]| Ok(config()));
    let configs = Rc::new(ConfigDesk::new(
        TimeSettings::default().config,
        clock,
        log.clone(),
        decode,
    ));
    let peers = Rc::new(PeerDesk::new(
        clock,
        member.zone.clone(),
        None,
        Rc::clone(&configs),
    ));
    let desk = BudgetDesk::new(member, book, clock, log.clone(), store, own, peers);
    let settings = ForwardSettings {
        instance,
        zone: "z1".parse().expect("a valid id"),
        listen: ListenAddresses::default(),
        names: NAMES,
        times: TimeSettings::default(),
        choice: ChoiceSettings::default(),
        admission: AdmissionSettings::default(),
        congestion: CongestionSettings::default(),
        repeats: RetryLimits::default(),
        book,
        poison: PoisonSettings::default(),
    };
    ForwardRouter::new(settings, clock, log, configs, Rc::new(desk), poison)
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
fn requests_of_the_first_moment_wait_until_configuration_and_servers_are_read() {
    let router = router();
    block_on(async {
        let mut first = Box::pin(router.wait_informed());
        assert!(poll_once(&mut first).await.is_none());
        let told = ConfigTold::Row(b"the first", 1);
        router.config_told(told, router.clock.boot_now());
        assert!(
            poll_once(&mut first).await.is_none(),
            "no server is known yet"
        );
        router.list_all(Vec::new(), &[]);
        assert!(
            poll_once(&mut first).await.is_none(),
            "what crashes servers is not known yet"
        );
        router.poison_read();
        assert!(poll_once(&mut first).await.is_some());
        // Later requests do not wait.
        assert!(poll_once(Box::pin(router.wait_informed())).await.is_some());
    });
}
