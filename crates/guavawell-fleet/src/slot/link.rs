//! The way to other routers, as the driver needs it.

use std::future::Future;
use std::pin::Pin;

use guavawell_core::id::InstanceId;

use crate::peer::PeerError;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// A reply under way.
pub type LinkReply = Pin<Box<dyn Future<Output = Result<PeerReply, PeerError>> + Send>>;

/// The way to other routers.
pub struct PeerLink {
    /// Sends a request to an instance and waits for its reply.
    pub call: Box<dyn Fn(InstanceId, PeerRequest) -> LinkReply + Send + Sync>,
}
