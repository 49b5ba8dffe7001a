//! Decides what an instance holds for clients that it does not control, and whom it gives
//! up once that is too much.
//!
//! Load pattern: crowds that open connections and send nothing, part of a head or part of
//! a body, or do so slowly. Each client alone stays within the limits of a connection;
//! together they take the memory and the file descriptors of the instance.
//!
//! Clients are told apart by what they hold and for how long they have kept the instance
//! waiting, never by address or name. A request that is served is never given up.

mod arriving;
mod limits;
mod waiting;

pub use arriving::ArrivingBody;
pub use arriving::BodyEnd;
pub use arriving::BodyProgress;
pub use arriving::bodies_to_end;
pub use limits::ClientLimits;
pub use limits::ClientSettings;
pub use waiting::ClientWait;
pub use waiting::HeldHead;
pub use waiting::head_to_drop;
pub use waiting::wait_to_end;
