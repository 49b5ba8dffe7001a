//! How large the fleet is and what its organisations paid.

use guavawell_core::clock::ClockSpan;
use guavawell_core::id::TokenCount;
use guavawell_fleet::settings::RouterSettings;
use guavawell_standin::engine::EngineSettings;

/// How large the fleet is and what its organisations paid.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Availability zones, named `zone-0` and so on.
    pub zones: usize,
    /// Routers in each zone.
    pub routers: usize,
    /// Model engines in each zone.
    pub engines: usize,
    /// Plain services in each zone.
    pub services: usize,
    /// Organisations, named `org-0` and so on, with a budget each.
    pub organisations: usize,
    /// What each organisation paid.
    pub paid: TokenCount,
    /// How many organisations, the last ones, paid a twentieth of it.
    pub poor_organisations: usize,
    /// Shards of the organisations.
    pub shards: u16,
    /// Attempts that an engine runs at once.
    pub engine_slots: usize,
    /// Time between two tokens.
    pub token_time: ClockSpan,
    /// Version of the model that the manifest wants.
    pub model_version: Box<str>,
    /// Engines of each zone that should serve it.
    pub replicas: u16,
    /// Whether the engines hold version 1 from their start and after a crash.
    pub preloaded: bool,
    /// Whether engines refuse an order with an old fencing number.
    pub fence_orders: bool,
    /// Time that an engine takes to load a model.
    pub load_time: ClockSpan,
    /// Threads of each router.
    pub threads: usize,
    /// What every engine's settings begin with.
    pub engine: EngineSettings,
    /// What every router's settings begin with. A port without `tls` is
    /// plain.
    pub router: RouterSettings,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            zones: 2,
            routers: 2,
            engines: 3,
            services: 1,
            organisations: 4,
            paid: TokenCount::new(1_000_000),
            poor_organisations: 0,
            shards: 8,
            engine_slots: 64,
            token_time: ClockSpan::from_millis(2),
            model_version: "1".into(),
            replicas: 1,
            preloaded: true,
            fence_orders: true,
            load_time: ClockSpan::default(),
            threads: 2,
            engine: EngineSettings::default(),
            router: RouterSettings::default(),
        }
    }
}

impl FleetSettings {
    /// What an organisation paid, in tokens.
    #[must_use]
    pub const fn paid_by(&self, index: usize) -> u64 {
        if index + self.poor_organisations >= self.organisations {
            self.paid.get() / 20
        } else {
            self.paid.get()
        }
    }
}
