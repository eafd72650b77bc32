//! `camphorbeam check`: checks a configuration before operators send it. It calls no entry host.

use camphorbeam_platform_adapter::check;
use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::{exit, print};

/// Returns the definition of the command.
pub fn command() -> Command {
    Command::new("check")
        .about("Check a configuration of `camphorbeam host` before it is sent")
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("FILE")
                .help("The version in force; the differences from it are printed"),
        )
        .arg(
            Arg::new("accelerators")
                .long("accelerators")
                .value_name("N")
                .value_parser(clap::value_parser!(u64))
                .help("Accelerators of the fleet; the guarantees may not add up to more"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON for programs"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .help("The configuration as JSON"),
        )
}

/// Prints the findings, and returns [`exit::Code::Refused`] if one of them is an error.
pub fn run(matches: &ArgMatches) -> exit::Code {
    let report = match report(matches) {
        Ok(report) => report,
        Err(message) => {
            eprintln!("camphorbeam check: {message}");
            return exit::Code::Usage;
        }
    };
    match matches.get_flag("json") {
        true => print::print_json(&report),
        false => print::bytes(text(&report).as_bytes()),
    }
    match report.count(check::Severity::Error) {
        0 => exit::Code::Success,
        _ => exit::Code::Refused,
    }
}

fn report(matches: &ArgMatches) -> Result<check::Report, String> {
    let read = |name: &str| {
        let path = matches.get_one::<String>(name)?;
        let text = std::fs::read_to_string(path);
        Some(text.map_err(|error| format!("{path}: {error}")))
    };
    let text = read("file").transpose()?.unwrap_or_default();
    let in_force = read("against").transpose()?;
    let options = check::Options {
        in_force: in_force.as_deref(),
        accelerators: matches.get_one("accelerators").copied(),
    };
    check::check(&text, options).map_err(|finding| format!("the version in force: {finding}"))
}

fn text(report: &check::Report) -> String {
    let findings = report.findings.iter().map(ToString::to_string);
    let differences = report.differences.iter().flatten().map(ToString::to_string);
    let mut lines: Vec<_> = findings.chain(differences).collect();
    let errors = report.count(check::Severity::Error);
    let warnings = report.count(check::Severity::Warning);
    lines.push(match &report.differences {
        Some(found) => {
            let differences = found.len();
            format!("errors: {errors}, warnings: {warnings}, differences: {differences}\n")
        }
        None => format!("errors: {errors}, warnings: {warnings}\n"),
    });
    lines.join("\n")
}
