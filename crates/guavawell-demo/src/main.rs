//! `guavawell-demo`: the embedded default.

mod cli;
mod exit;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = cli::read();
    let status = run::run(&options).unwrap_or_else(|error| {
        eprintln!("guavawell-demo: {error}");
        exit::ExitStatus::Failed
    });
    status.into()
}
