//! Entry instances: gossip membership, suspicion and leaving marks.
//!
//! Owns what an instance knows of the others and the news that it passes on.
//! It never says that an instance is gone for good: suspicion steers routing
//! only, and no grant or claim is released by it.

mod allowance;
mod directory;
mod membership;
mod message;
mod note;
mod owner;
mod probe;
mod queue;
mod record;
mod settings;
mod view;

pub use membership::GossipCounts;
pub use membership::ListedInstance;
pub use membership::MemberEffect;
pub use membership::Membership;
pub use message::GossipMessage;
pub use message::GossipRumour;
pub use message::MessageBody;
pub use message::MessageError;
pub use note::GossipNote;
pub use note::MAX_NOTE_KEY_BYTES;
pub use note::NoteError;
pub use note::NoteScope;
pub use owner::owner;
pub use owner::owners;
pub use owner::rank;
pub use record::MemberRecord;
pub use record::Reachability;
pub use record::draw_incarnation;
pub use settings::DATAGRAM_OVERHEAD_BYTES;
pub use settings::MAX_MESSAGE_BYTES;
pub use settings::MembershipSettings;
pub use view::MemberView;
