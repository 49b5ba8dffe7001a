//! Command line of the time line: parse, carry out, exit.

use std::process;

use guavawell_timeline::args::command_line;
use guavawell_timeline::command::carry_out;
use guavawell_timeline::exit::ExitCode;

/// Columns that help texts may fill.
const HELP_WIDTH: usize = 100;

fn main() -> process::ExitCode {
    let command = match command_line().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
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
    match carry_out(command) {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("guavawell-timeline: {error}");
            ExitCode::Failure.into()
        }
    }
}
