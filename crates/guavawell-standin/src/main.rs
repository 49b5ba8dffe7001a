//! `guavawell-standin`: one stand-in as a process of its own.

mod command;
mod run;

use std::process::ExitCode;

use crate::command::CommandFailure;
use crate::run::ExitStatus;

fn main() -> ExitCode {
    let status = match command::read() {
        Ok(settings) => run::run(settings).unwrap_or_else(|error| {
            eprintln!("guavawell-standin: {error}");
            error.status()
        }),
        Err(CommandFailure::Help) => ExitStatus::Done,
        Err(CommandFailure::Usage) => ExitStatus::Usage,
    };
    status.into()
}
