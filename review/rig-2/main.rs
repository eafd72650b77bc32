//! Runs one case of the review: `rig CASE ROOT DIRECTORY`. ROOT is the repository, DIRECTORY the
//! folder of the record. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod backend;
mod base64;
mod cases;
mod deployment;
mod http;
mod json;
mod platform;
mod record;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::cases::{Case, Verdict};
use crate::record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [name, root, directory] = args.as_slice() else {
        eprintln!("usage: rig CASE ROOT DIRECTORY");
        return ExitCode::from(2);
    };
    let Some(case) = Case::named(name) else {
        eprintln!("there is no case {name}");
        return ExitCode::from(2);
    };
    let path = PathBuf::from(directory).join("record.txt");
    let record = match Record::create(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = PathBuf::from(root);
    match case.run(&root, record, has_trouble) {
        Ok(Verdict::Held(what)) => {
            println!("held: {what}");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(what)) => {
            println!("BROKEN: {what}");
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
