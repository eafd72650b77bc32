//! Stand-ins and cases of the third review. Run in the root of the repository, with the name of a
//! case and the file of the record. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case couldn't run.

mod base64;
mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod store;
mod workers;

use std::path::Path;
use std::sync::Arc;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: rig-3 CASE RECORD");
        std::process::exit(2);
    };
    let record = match record::Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            std::process::exit(2);
        }
    };
    // The limit of a script is 120 s.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(117));
        eprintln!("the script takes too long");
        let _ = std::fs::remove_dir_all(deployment::directory());
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = cases::run(case, Arc::clone(&record), has_trouble);
    let code = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(reason) => {
            record.say(&format!("the case couldn't run: {reason}"));
            2
        }
    };
    record.write(&format!("exit code {code}"));
    std::process::exit(code);
}
