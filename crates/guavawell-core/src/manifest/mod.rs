//! The operators' manifest: parsing, findings, pages and the version in force.
