//! `guavawell-router`: an entry instance.

mod cli;
mod exit;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = cli::read();
    let status = run::run(&options).unwrap_or_else(|error| {
        eprintln!("guavawell-router: {error}");
        error.status()
    });
    status.into()
}
