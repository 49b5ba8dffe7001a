//! The operators' command line: parse, carry out, exit.

mod args;
mod audit;
mod backend;
mod budget;
mod error;
mod exit;
mod instance;
mod manifest;
mod order;
mod output;
mod platform;
mod retention;
mod run;
mod settings;

use std::process;

use args::command_line;
use exit::ExitCode;
use settings::CtlSettings;

/// Columns that help texts may fill.
const HELP_WIDTH: usize = 100;

fn main() -> process::ExitCode {
    let line = match command_line().run_inner(bpaf::Args::current_args()) {
        Ok(line) => line,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let code = if failure.exit_code() == 0 {
                ExitCode::Success
            } else {
                ExitCode::Usage
            };
            return code.into();
        }
    };
    let settings = CtlSettings::from(line);
    match run::run(&settings) {
        Ok(code) => code.into(),
        Err(error) => {
            output::print_error(&settings, &error);
            error.exit_code().into()
        }
    }
}
