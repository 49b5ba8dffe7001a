//! Forwarded requests: opaque calls that go to a backend server unchanged.
//!
//! Owns the route table, what may be repeated, the choice of a backend server,
//! its admission, and the allowance for repeats. Everything here is plain
//! state that takes the time as an argument; carrying out is `guavawell-forward`'s.

mod admission;
mod age;
mod belief;
mod charge;
mod choice;
mod congestion;
mod connect;
mod life;
mod pause;
mod plan;
mod prompt;
mod question;
mod refusal;
mod repeat;
mod route;
mod server;
mod table;

pub use admission::AdmissionSettings;
pub use admission::admit;
pub use age::FeedAge;
pub use belief::BeliefStep;
pub use belief::ConfigBelief;
pub use belief::ConfigSource;
pub use charge::RequestCharge;
pub use charge::RequestOutcome;
pub use choice::ChoiceAsk;
pub use choice::ChoiceRefusal;
pub use choice::ChoiceSettings;
pub use choice::ServerPick;
pub use choice::choose_server;
pub use congestion::CongestionSettings;
pub use congestion::LinkCongestion;
pub use connect::ConnectPace;
pub use connect::ConnectSettings;
pub use life::BirthTime;
pub use life::ServerLife;
pub use pause::PauseError;
pub use pause::read_pause;
pub use plan::AttemptEnd;
pub use plan::NextStep;
pub use plan::RepeatKind;
pub use plan::next_step;
pub use prompt::PromptError;
pub use prompt::PromptPart;
pub use prompt::PromptShape;
pub use prompt::TokenUsage;
pub use question::QuestionPace;
pub use refusal::ForwardRefusal;
pub use repeat::RepeatAllowance;
pub use repeat::RepeatSettings;
pub use route::EngineFacts;
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
pub use table::ServerTable;
