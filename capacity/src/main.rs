//! Measures the resource usage of an entry host at a given size, prints it as JSON and exits.

use async_std::task;
use camphorbeam_capacity::{scenario, size};

fn main() -> anyhow::Result<()> {
    let matches = size::command().get_matches();
    let size = size::read(&matches)?;
    let binary = size::binary(&matches)?;
    let report = task::block_on(scenario::run(&size, &binary))?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
