//! Generates sheets of a given size.

use std::fmt::Write as _;

use camphorbeam_model::{id, sheet};

/// Kind of work of the submitted tasks.
pub const KIND: &str = "drift-study";

/// Returns the name of client account `number`.
///
/// # Errors
///
/// Fails if the name is invalid.
pub fn account(number: usize) -> Result<id::ClientAccountName, id::NameError> {
    format!("client-account-{number:04}").parse()
}

/// Generates a sheet with `accounts` client accounts, each with one guarantee in each of `zones`.
///
/// # Errors
///
/// Fails if a name is invalid.
pub fn csv(accounts: usize, zones: &[&str]) -> Result<String, id::NameError> {
    let mut csv = sheet::COLUMNS.join(",");
    csv.push('\n');
    for number in 0..accounts {
        let account = account(number)?;
        // Writing to a string can't fail.
        let _ = writeln!(csv, "account,{account},,,,,,");
        for zone in zones {
            let _ = writeln!(csv, "guarantee,{account},{zone},1,1,,,");
        }
    }
    let _ = writeln!(csv, "kind,,,,,{KIND},10,no");
    Ok(csv)
}
