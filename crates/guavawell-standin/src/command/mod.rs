//! The command line.
//!
//! Turns arguments into settings; nothing behind it sees arguments.

use std::net::SocketAddr;

use bpaf::Args;
use bpaf::Bpaf;
use bpaf::ParseFailure;
use guavawell_core::clock::ClockSpan;
use guavawell_standin::engine::EngineSettings;
use guavawell_standin::engine::ModelEntry;
use guavawell_standin::platform::PlatformSettings;
use guavawell_standin::service::ServiceSettings;

use crate::run::RunSettings;

/// The width at which help is wrapped.
const HELP_WIDTH: usize = 100;

/// Why there are no settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandFailure {
    /// Help was asked for and has been printed.
    Help,
    /// The command line does not hold; the reason has been printed.
    Usage,
}

/// Stand-ins of the platform and of backend servers, for tests and trials.
///
/// Each runs until it is ended and keeps everything in memory. Fault switches
/// are set with `PUT /faults` on its control address.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum StandinCommand {
    #[bpaf(command("platform"))]
    /// Runs table, object store and instance list
    ///
    /// Example:
    ///   guavawell-standin platform --listen 127.0.0.1:9000 --control 127.0.0.1:9001
    Platform {
        #[bpaf(external)]
        address_options: AddressOptions,
        /// Most writes a second; 0 is without cap
        #[bpaf(argument("COUNT"), fallback(0))]
        write_cap: u64,
        /// Most reads a second; 0 is without cap
        #[bpaf(argument("COUNT"), fallback(0))]
        read_cap: u64,
    },
    #[bpaf(command("engine"))]
    /// Runs a model engine
    ///
    /// Example:
    ///   guavawell-standin engine --listen 127.0.0.1:9100 --control 127.0.0.1:9101
    ///   --name tln-a-1 --model m:1 --slots 16 --token-time 20
    Engine {
        #[bpaf(external)]
        address_options: AddressOptions,
        #[bpaf(external)]
        engine_options: EngineOptions,
    },
    #[bpaf(command("service"))]
    /// Runs a plain service
    ///
    /// Example:
    ///   guavawell-standin service --listen 127.0.0.1:9200 --control 127.0.0.1:9201
    Service {
        #[bpaf(external)]
        address_options: AddressOptions,
        /// Name in log lines
        #[bpaf(argument("NAME"), fallback("service".into()))]
        name: String,
        /// Calls that run at once
        #[bpaf(argument("COUNT"), fallback(256))]
        slots: usize,
        /// Milliseconds that a call takes
        #[bpaf(argument("MS"), fallback(ClockSpan::default()))]
        service_time: ClockSpan,
        /// Milliseconds between two load reports; 0 reports at once
        #[bpaf(argument("MS"), fallback(ClockSpan::default()))]
        report_interval: ClockSpan,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct AddressOptions {
    /// Address of the stand-in's own protocol
    ///
    /// Port 0 takes a free port; the log line at the start names it.
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
    /// Address of fault switches, counters and the truth log
    #[bpaf(argument("ADDRESS"))]
    control: SocketAddr,
}

#[derive(Clone, Debug, Bpaf)]
struct EngineOptions {
    /// Name in log lines
    #[bpaf(argument("NAME"), fallback("engine".into()))]
    name: String,
    /// A loaded model as `model:version`; may be given several times
    #[bpaf(
        argument("MODEL"),
        some("give at least one --model, for instance --model m:1")
    )]
    model: Vec<ModelEntry>,
    /// Role in the load report
    #[bpaf(argument("ROLE"), fallback("both".into()))]
    role: String,
    /// Attempts that run at once
    #[bpaf(argument("COUNT"), fallback(64))]
    slots: usize,
    /// Attempts that may wait for a slot; more get 503
    #[bpaf(argument("COUNT"), fallback(256))]
    queue: usize,
    /// Milliseconds between two tokens
    #[bpaf(argument("MS"), fallback(ClockSpan::default()))]
    token_time: ClockSpan,
    /// Microseconds added to each token for each other running attempt
    #[bpaf(argument("US"), fallback(0))]
    batch_micros: u64,
    /// Milliseconds to the first token
    #[bpaf(argument("MS"), fallback(ClockSpan::default()))]
    prefill_time: ClockSpan,
    /// Milliseconds to the first token if the prompt's prefix is cached
    #[bpaf(argument("MS"), fallback(ClockSpan::default()))]
    cached_prefill_time: ClockSpan,
    /// Prefixes that the cache holds
    #[bpaf(argument("COUNT"), fallback(256))]
    cache_limit: usize,
    /// Milliseconds before a cache event is published
    #[bpaf(argument("MS"), fallback(ClockSpan::default()))]
    cache_lag: ClockSpan,
    /// Loses each cache event whose number divides by this; 0 loses none
    #[bpaf(argument("COUNT"), fallback(0))]
    cache_gap: u64,
    /// Milliseconds between two load reports; 0 reports at once
    #[bpaf(argument("MS"), fallback(ClockSpan::default()))]
    report_interval: ClockSpan,
    /// Milliseconds to load a model
    #[bpaf(argument("MS"), fallback(ClockSpan::default()))]
    load_time: ClockSpan,
    /// Applies orders whatever their fencing number
    #[bpaf(switch)]
    ignore_fence: bool,
    /// Refuses requests under an old fencing number too
    #[bpaf(switch)]
    fence_requests: bool,
}

/// Reads the process's command line; prints help and errors.
pub fn read() -> Result<RunSettings, CommandFailure> {
    match standin_command().run_inner(Args::current_args()) {
        Ok(command) => Ok(command.into()),
        Err(failure) => {
            let wrong = matches!(failure, ParseFailure::Stderr(_));
            failure.print_message(HELP_WIDTH);
            Err(if wrong {
                CommandFailure::Usage
            } else {
                CommandFailure::Help
            })
        }
    }
}

impl From<StandinCommand> for RunSettings {
    fn from(command: StandinCommand) -> Self {
        match command {
            StandinCommand::Platform {
                address_options,
                write_cap,
                read_cap,
            } => Self::Platform(PlatformSettings {
                listen: address_options.listen,
                control: address_options.control,
                write_cap,
                read_cap,
            }),
            StandinCommand::Engine {
                address_options,
                engine_options,
            } => Self::Engine(engine_settings(&address_options, engine_options)),
            StandinCommand::Service {
                address_options,
                name,
                slots,
                service_time,
                report_interval,
            } => Self::Service(ServiceSettings {
                listen: address_options.listen,
                control: address_options.control,
                name: name.into(),
                slots,
                service_time,
                report_interval,
                ..ServiceSettings::default()
            }),
        }
    }
}

fn engine_settings(addresses: &AddressOptions, options: EngineOptions) -> EngineSettings {
    EngineSettings {
        listen: addresses.listen,
        control: addresses.control,
        name: options.name.into(),
        models: options.model,
        role: options.role.into(),
        slots: options.slots,
        queue: options.queue,
        token_time: options.token_time,
        batch_micros: options.batch_micros,
        prefill_time: options.prefill_time,
        cached_prefill_time: options.cached_prefill_time,
        cache_limit: options.cache_limit,
        cache_lag: options.cache_lag,
        cache_gap: options.cache_gap,
        report_interval: options.report_interval,
        load_time: options.load_time,
        fence_orders: !options.ignore_fence,
        fence_requests: options.fence_requests,
        ..EngineSettings::default()
    }
}
