//! The operators' command. `magnoliactl --help` lists its subcommands.

use std::io::{Write, stdout};
use std::process::ExitCode;

use node::control::{EXIT_DONE, EXIT_INVALID, options};

fn print(line: &str) {
    // The reader of the output may have closed it; the command still runs to its end.
    if !line.is_empty() && writeln!(stdout(), "{}", line.trim_end()).is_err() {
        log::debug!("standard output is closed");
    }
}

fn main() -> ExitCode {
    let command = match options().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(80);
            let code = failure.exit_code();
            return ExitCode::from(if code == 0 { EXIT_DONE } else { EXIT_INVALID });
        }
    };
    match command.run(&mut |line| print(&line)) {
        Ok(output) => {
            print(&output.text);
            ExitCode::from(output.code)
        }
        Err(error) => {
            eprintln!("Error: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
