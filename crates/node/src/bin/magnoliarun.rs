//! The entry node's process. `magnoliarun --help` lists all settings.

use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::thread;

use bpaf::ParseFailure;
use node::settings::{
    EXIT_CUT, EXIT_FAILED, EXIT_PORT, EXIT_SETTINGS, EXIT_STOPPED, Front, front_options, options,
};
use node::shell::{Process, StartError, logging};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    if let ["front", arguments @ ..] = arguments.as_slice() {
        return run_front(arguments);
    }
    let text = match options().run_inner(bpaf::Args::current_args()) {
        Ok(text) => text,
        Err(failure) => return invalid_arguments(failure),
    };
    let settings = match text.check() {
        Ok(settings) => settings,
        Err(invalid) => {
            eprintln!("Error: {invalid}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let Ok(_writer) = logging::install(settings.log_level) else {
        eprintln!("Error: the operating system did not start the log thread");
        return ExitCode::from(EXIT_FAILED);
    };
    let Ok(mut signals) = Signals::new([SIGTERM, SIGINT]) else {
        eprintln!("Error: the signal handler cannot be installed");
        return ExitCode::from(EXIT_FAILED);
    };
    let process = match Process::start(settings) {
        Ok(process) => process,
        Err(report) => {
            let error = report.current_context();
            eprintln!("Error: {error}");
            let port = matches!(error, StartError::Port { .. });
            return ExitCode::from(if port { EXIT_PORT } else { EXIT_FAILED });
        }
    };
    let force_stop = process.force_stop();
    signals.forever().next();
    let handle = signals.handle();
    let second_signal = thread::spawn(move || {
        if signals.forever().next().is_some() {
            force_stop.store(true, Ordering::Relaxed);
        }
    });
    let cut = process.stop();
    handle.close();
    if second_signal.join().is_err() {
        return ExitCode::from(EXIT_FAILED);
    }
    ExitCode::from(if cut == 0 { EXIT_STOPPED } else { EXIT_CUT })
}

/// Runs `magnoliarun front`.
fn run_front(arguments: &[&str]) -> ExitCode {
    match front_options().run_inner(arguments) {
        Ok(Front { check: true, .. }) => front_exit_code(edge::check()),
        Ok(Front { prompts, .. }) => front_exit_code(edge::run(prompts)),
        Err(failure) => invalid_arguments(failure),
    }
}

/// Prints why arguments are not allowed, or the help text, and returns the exit code.
fn invalid_arguments(failure: ParseFailure) -> ExitCode {
    failure.print_message(80);
    let code = failure.exit_code();
    ExitCode::from(if code == 0 { EXIT_STOPPED } else { EXIT_SETTINGS })
}

/// Returns the exit code of `magnoliarun front`, the entry process on the users' platform, whose
/// settings come from a file. Prints its error.
fn front_exit_code(outcome: Result<(), edge::Failure>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::from(EXIT_STOPPED),
        Err(failure) => {
            eprintln!("Error: {failure}");
            let settings = !matches!(failure, edge::Failure::Bind(..) | edge::Failure::System(_));
            ExitCode::from(if settings { EXIT_SETTINGS } else { EXIT_FAILED })
        }
    }
}
