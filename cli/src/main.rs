//! `camphorbeam`: runs entry hosts, and calls their API from the command line.

#[cfg(feature = "check")]
mod check;
mod client;
mod commands;
mod exit;
mod host;
#[cfg(feature = "losses")]
mod losses;
mod print;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    // A signal that arrives without a handler ends the process, and building the command line takes
    // long on a host with little processor time.
    let signals = match host::is_requested(std::env::args_os()) {
        true => Some(host::SignalFlags::register()),
        false => None,
    };
    let matches = match commands::command().try_get_matches() {
        Ok(matches) => matches,
        Err(error) => {
            let code = error.exit_code();
            // If the message can't be printed, the exit code is all that is reported.
            let _ = error.print();
            return match code {
                0 => ExitCode::SUCCESS,
                _ => exit::Code::Usage.into(),
            };
        }
    };
    commands::run(&matches, signals).into()
}
