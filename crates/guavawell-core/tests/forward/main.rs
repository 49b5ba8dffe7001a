//! Decisions on forwarded requests: routes, repeats, choice of a server, and
//! replays of the worst loads.

mod announcement;
mod attempt;
mod charge;
mod choice;
mod congestion;
mod connect;
mod incarnation;
mod large_fleet;
mod load;
mod poll;
mod retry;
mod route;
mod support;
