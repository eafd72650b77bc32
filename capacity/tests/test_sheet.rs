//! Tests that generated sheets are valid and have the requested size.

use camphorbeam_capacity::{cluster, sheet};
use camphorbeam_model::sheet as sheet_model;
use rstest::rstest;

#[rstest]
#[case(1)]
#[case(240)]
#[case(960)]
fn test_sheet_csv_is_accepted(#[case] accounts: usize) {
    let csv = sheet::csv(accounts, &cluster::ZONES).expect("the names are valid");
    let parsed = sheet_model::Sheet::parse(&csv).expect("the sheet is valid");
    assert_eq!(parsed.accounts.len(), accounts);
    let guarantees: usize = parsed.accounts.values().map(Vec::len).sum();
    assert_eq!(guarantees, accounts * cluster::ZONES.len());
}
