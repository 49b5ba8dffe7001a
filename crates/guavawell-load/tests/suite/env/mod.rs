//! A small test environment.

mod binary;
mod responder;

pub use binary::TestEnv;
pub use responder::Reply;
pub use responder::Responder;
