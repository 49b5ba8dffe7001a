//! Decisions on forwarded requests: routes, repeats, choice of a server, and
//! replays of the worst loads.

mod charge;
mod choice;
mod congestion;
mod connect;
mod fleet;
mod lives;
mod load;
mod plan;
mod question;
mod repeat;
mod route;
mod support;
mod words;
