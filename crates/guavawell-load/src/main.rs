//! Command line of the load tool: parse, carry out, exit.

use std::process;

use guavawell_load::args::command_line;
use guavawell_load::command::carry_out;
use guavawell_load::exit::ExitCode;

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
            eprintln!("guavawell-load: {error}");
            error.exit_code().into()
        }
    }
}
