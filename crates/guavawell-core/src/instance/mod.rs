//! Entry instances: membership, suspicion and leaving marks.
