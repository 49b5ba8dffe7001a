//! Versions and pages at the stand-in platform: acceptance, and what routers
//! put into force.

mod accept;
mod force;
mod router;
mod support;
