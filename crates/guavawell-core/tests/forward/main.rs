//! Tests of decisions on forwarded requests: routes, retries and the choice of
//! a server, with replays of heavy loads.

mod announcement;
mod arriving;
mod attempt;
mod body_memory;
mod capacity;
mod charge;
mod choice;
mod clients;
mod congestion;
mod connect;
mod connection_end;
mod evacuation;
mod fragility;
mod handover;
mod history;
mod incarnation;
mod large_fleet;
mod link_admission;
mod link_readiness;
mod load;
mod load_keeper;
mod overload;
mod poll;
mod read_ahead;
mod retry;
mod returns;
mod route;
mod server_limit;
mod server_path;
mod slow_start;
mod support;
mod suspension;
mod taking_pace;
mod version;
mod work_pace;
