//! Gossip membership of entry instances: failure detection and announcements.
//!
//! Holds what an instance knows about the others and the rumours that it
//! passes on. A member is never declared dead: reachability only affects
//! routing, and neither suspicion nor unreachability releases a grant or a claim.

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
