//! One platform, engines, and issuers whose steps the test takes one by one.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use guavawell_core::backend::ServedModel;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::id::FenceNumber;
use guavawell_core::id::IncarnationId;
use guavawell_core::order::IssueOutcome;
use guavawell_core::order::IssuerId;
use guavawell_core::order::OrderKind;
use guavawell_core::order::OrderRow;
use guavawell_core::order::OrderSettings;
use guavawell_core::order::PermitSettings;
use guavawell_fleet::engine::EngineClient;
use guavawell_fleet::engine::EngineError;
use guavawell_fleet::engine::EngineOrder;
use guavawell_fleet::event::EventLog;
use guavawell_fleet::event::EventLogSettings;
use guavawell_fleet::order::OrderPorts;
use guavawell_fleet::order::OrderRun;
use guavawell_fleet::order::OrderTable;
use guavawell_fleet::order::OrderTarget;
use guavawell_fleet::order::RunStep;
use guavawell_fleet::order::order_key;
use guavawell_fleet::platform::PoolSettings;
use guavawell_fleet::platform::Table;
use guavawell_standin::engine::Engine;
use guavawell_standin::engine::EngineSettings;
use guavawell_standin::platform::Platform;
use guavawell_standin::platform::PlatformSettings;
use smol::Timer;

/// Steps after which an order counts as stuck.
const MAX_STEPS: usize = 2_000;

/// One platform and one clock that the test moves.
pub struct OrderTest {
    pub platform: Platform,
    pub clock: Arc<AtomicU64>,
}

impl OrderTest {
    pub fn start() -> Self {
        let platform = smol::block_on(Platform::start(PlatformSettings::default()));
        Self {
            platform: platform.expect("free loopback ports"),
            clock: Arc::new(AtomicU64::new(1_000)),
        }
    }

    /// An engine that holds `m:1` and checks fencing numbers or ignores them.
    pub fn engine(fence_orders: bool, load_time: u64) -> Engine {
        let settings = EngineSettings {
            fence_orders,
            load_time: ClockSpan::from_millis(load_time),
            ..EngineSettings::default()
        };
        smol::block_on(Engine::start(settings)).expect("free loopback ports")
    }

    /// A router's own clients.
    pub fn ports(&self) -> Arc<OrderPorts> {
        let pool = PoolSettings {
            answer_timeout: ClockSpan::from_millis(2_000),
            ..PoolSettings::default()
        };
        let permits = PermitSettings {
            max_loads: 1,
            ..PermitSettings::default()
        };
        let table = Table::new(self.platform.address(), pool);
        let clock = Arc::clone(&self.clock);
        let life = issuer("tests");
        let events = EventLog::open(
            &EventLogSettings::default(),
            life.instance,
            life.incarnation,
        );
        Arc::new(OrderPorts {
            table: OrderTable::new(table, permits),
            engines: EngineClient::default(),
            events: events.expect("an event log that is off"),
            now: Box::new(move || ClockTime::from_millis(clock.load(Ordering::SeqCst))),
            settings: OrderSettings::default(),
        })
    }

    /// An order by an issuer of its own.
    pub fn order(&self, name: &str, engine: &Engine, kind: OrderKind, heir: bool) -> OrderRun {
        self.order_at(name, "e", engine, kind, heir)
    }

    pub fn order_at(
        &self,
        name: &str,
        backend: &str,
        engine: &Engine,
        kind: OrderKind,
        heir: bool,
    ) -> OrderRun {
        let target = OrderTarget {
            backend: backend.parse().expect("a good id"),
            address: engine.address(),
        };
        OrderRun::new(self.ports(), target, issuer(name), kind, heir)
    }

    /// Takes steps until the order ends or is put off; waits cost the test's
    /// clock only, beside a moment for the engine.
    pub fn finish(&self, run: &mut OrderRun) -> RunStep {
        for _ in 0..MAX_STEPS {
            match smol::block_on(run.step()) {
                RunStep::Going => {}
                RunStep::Waiting(until) => {
                    self.clock.fetch_max(until.as_millis(), Ordering::SeqCst);
                    smol::block_on(Timer::after(Duration::from_millis(5)));
                }
                end => return end,
            }
        }
        panic!("stuck at {:?}", run.next());
    }

    pub fn apply(&self, mut run: OrderRun) {
        let end = self.finish(&mut run);
        assert_eq!(end, RunStep::Ended(IssueOutcome::Applied));
    }

    /// Lets the test's clock go on.
    pub fn pass(&self, millis: u64) {
        self.clock.fetch_add(millis, Ordering::SeqCst);
    }

    pub fn row(&self) -> OrderRow {
        let key = order_key(&"e".parse().expect("a good id"));
        let value = self.platform.row(&key).expect("an order row");
        serde_json::from_slice(&value).expect("a row that can be read")
    }
}

/// The models held, as `model:version`.
pub fn held(engine: &Engine) -> Vec<String> {
    let models = engine.load().models;
    models.iter().map(ToString::to_string).collect()
}

/// The ids of the orders that the engine carried out.
pub fn applied(engine: &Engine) -> Vec<String> {
    serde_json::from_value(orders(engine)["applied"].clone()).expect("a list")
}

/// Whether the engine is loading a model.
pub fn is_loading(engine: &Engine) -> bool {
    orders(engine)["loading"] != serde_json::json!([])
}

fn orders(engine: &Engine) -> serde_json::Value {
    let body = smol::block_on(EngineClient::default().fetch(engine.address(), "/v1/orders"));
    serde_json::from_slice(&body.expect("an answer")).expect("JSON")
}

/// Sends an order past all rules, as a late copy would arrive.
pub fn send_late(engine: &Engine, fence: u64, kind: OrderKind) -> Result<(), EngineError> {
    let order = EngineOrder {
        backend: "e".parse().expect("a good id"),
        fence: FenceNumber::new(fence),
        kind,
    };
    smol::block_on(EngineClient::default().send_order(engine.address(), &order))
}

pub fn issuer(name: &str) -> IssuerId {
    IssuerId {
        instance: name.parse().expect("a good id"),
        incarnation: IncarnationId::new(1),
    }
}

pub fn load(version: &str) -> OrderKind {
    OrderKind::Load(served(version))
}

pub fn unload(version: &str) -> OrderKind {
    OrderKind::Unload(served(version))
}

fn served(version: &str) -> ServedModel {
    ServedModel {
        model: "m".parse().expect("a good id"),
        version: version.parse().expect("a version"),
    }
}
