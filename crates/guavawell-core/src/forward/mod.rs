//! Decisions about forwarded requests, which pass to a backend server
//! unchanged.
//!
//! Contains the route table, the choice of a backend server, admission, the
//! rules and the allowance for retries, and what is known of the
//! configuration's version. All types are plain state that takes the current
//! time as an argument; `guavawell-forward` does the I/O.

mod admission;
mod age;
mod attempt;
mod charge;
mod choice;
mod congestion;
mod connect;
mod eligibility;
mod evacuation;
mod history;
mod incarnation;
mod pause;
mod poll;
mod prompt;
mod refusal;
mod region;
mod retry;
mod route;
mod server;
mod slow_start;
mod table;
mod tracker;

pub use admission::AdmissionSettings;
pub use admission::admit;
pub use age::FeedAge;
pub use attempt::AttemptEnd;
pub use attempt::NextStep;
pub use attempt::RetrySafety;
pub use attempt::next_step;
pub use charge::RequestCharge;
pub use charge::RequestOutcome;
pub use choice::ChoiceError;
pub use choice::ChoiceRequest;
pub use choice::ChoiceSettings;
pub use choice::ServerPick;
pub use choice::choose_server;
pub use congestion::CongestionSettings;
pub use congestion::LinkCongestion;
pub use connect::ConnectSettings;
pub use connect::ConnectTimeout;
pub use eligibility::ServerConstraints;
pub use eligibility::ServerObstacle;
pub use evacuation::EvacuationChange;
pub use evacuation::EvacuationList;
pub use evacuation::ZoneEvacuations;
pub use evacuation::ZoneReturn;
pub use evacuation::ZoneState;
pub use history::HistorySearch;
pub use incarnation::ServerIncarnation;
pub use incarnation::StartTime;
pub use pause::PauseError;
pub use pause::parse_pause;
pub use poll::PollTiming;
pub use prompt::PromptError;
pub use prompt::PromptPart;
pub use prompt::PromptShape;
pub use prompt::TokenUsage;
pub use refusal::ForwardRefusal;
pub use region::HomeRegions;
pub use region::ZoneRegions;
pub use retry::RetryAllowance;
pub use retry::RetryLimits;
pub use route::EngineLimits;
pub use route::ForwardConfig;
pub use route::ForwardLimits;
pub use route::OrganisationEntry;
pub use route::RouteEntry;
pub use route::RouteShare;
pub use route::RouteTable;
pub use route::ServiceEntry;
pub use server::LapseSettings;
pub use server::LoadFigures;
pub use server::ServerEntry;
pub use server::ServerHealth;
pub use server::ServerPhase;
pub use slow_start::ColdSpanError;
pub use slow_start::FleetView;
pub use slow_start::ServerWarmth;
pub use slow_start::SlowStart;
pub use slow_start::SlowStartLimit;
pub use slow_start::SlowStartSettings;
pub use slow_start::cold_span;
pub use slow_start::parse_cold_span;
pub use table::ServerTable;
pub use tracker::ConfigAction;
pub use tracker::ConfigSource;
pub use tracker::VersionTracker;
