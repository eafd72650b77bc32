//! Tests of the sheet: which sheets are accepted or rejected, and the reported position of faults.

use camphorbeam_model::{id, sheet};
use proptest::prelude::*;
use rstest::rstest;

const HEADER: &str = "record,client_account,zone,count,accelerators,kind,priority,urgent";

fn parse(rows: &[&str]) -> Result<sheet::Sheet, sheet::SheetError> {
    sheet::Sheet::parse(&format!("{HEADER}\n{}\n", rows.join("\n")))
}

fn faults(rows: &[&str]) -> Vec<sheet::SheetFault> {
    parse(rows).expect_err("the sheet has faults").faults
}

fn account(name: &str) -> id::ClientAccountName {
    id::ClientAccountName::new(name).expect("a valid name")
}

#[rstest]
fn test_sheet_reads_accounts_guarantees_and_kinds() {
    let sheet = parse(&[
        "account,sonede,,,,,,",
        " guarantee , sonede , nabeul-lab , 1 , 4 ,,, ",
        "guarantee,sonede,tunis-lab,2,2,,,",
        "kind,,,,,curve-fit,50,no",
    ])
    .expect("the sheet is valid");

    let guarantees = &sheet.accounts[&account("sonede")];
    let shapes: Vec<_> = guarantees
        .iter()
        .map(|guarantee| {
            (
                guarantee.zone.as_str(),
                guarantee.count,
                guarantee.accelerators,
            )
        })
        .collect();
    assert_eq!(shapes, [("nabeul-lab", 1, 4), ("tunis-lab", 2, 2)]);
    let kind = id::KindName::new("curve-fit").expect("a valid name");
    assert_eq!(
        (sheet.kinds[&kind].priority, sheet.kinds[&kind].urgent),
        (50, false)
    );
}

#[rstest]
fn test_sheet_guarantee_may_precede_its_account() {
    let sheet = parse(&["guarantee,sonede,nabeul-lab,1,4,,,", "account,sonede,,,,,,"])
        .expect("the sheet is valid");

    assert_eq!(sheet.accounts[&account("sonede")].len(), 1);
}

#[rstest]
#[case::unknown_record("share,sonede,,,,,,", "record", "\"share\" is none of")]
#[case::invalid_account(
    "account,so nede,,,,,,",
    "client_account",
    "\"so nede\" is not a valid name"
)]
#[case::account_missing("account,,,,,,,", "client_account", "\"\" is not a valid name")]
#[case::duplicate_account("account,steg,,,,,,", "client_account", "steg is named twice")]
#[case::unexpected_cell("account,sonede,z1,,,,,", "zone", "must be empty")]
#[case::count_zero("guarantee,steg,z1,0,4,,,", "count", "\"0\" is not a whole number")]
#[case::count_negative("guarantee,steg,z1,-1,4,,,", "count", "\"-1\" is not a whole number")]
#[case::count_fraction("guarantee,steg,z1,1.5,4,,,", "count", "\"1.5\" is not a whole number")]
#[case::count_too_large("guarantee,steg,z1,99999999999,4,,,", "count", "from 1 to 10000")]
#[case::gang_too_large("guarantee,steg,z1,1,65,,,", "accelerators", "from 1 to 64")]
#[case::zone_missing("guarantee,steg,,1,4,,,", "zone", "\"\" is not a valid name")]
#[case::unknown_account("guarantee,sonede,z1,1,4,,,", "client_account", "has no row of record")]
#[case::duplicate_kind("kind,,,,,seal-check,1,no", "kind", "seal-check is named twice")]
#[case::priority_too_high("kind,,,,,k1,101,no", "priority", "from 0 to 100")]
#[case::urgent_invalid("kind,,,,,k1,1,true", "urgent", "neither \"yes\" nor \"no\"")]
#[case::too_few_columns("account,sonede", "", "has 2 columns in place of 8")]
#[case::too_many_columns("account,sonede,,,,,,,", "", "has 9 columns in place of 8")]
fn test_sheet_reports_line_column_and_reason(
    #[case] row: &str,
    #[case] column: &str,
    #[case] reason: &str,
) {
    let rows = ["account,steg,,,,,,", "kind,,,,,seal-check,90,yes", row];
    let faults = faults(&rows);

    assert_eq!(faults.len(), 1, "{faults:?}");
    assert_eq!((faults[0].line, faults[0].column.as_str()), (4, column));
    assert!(faults[0].reason.contains(reason), "{:?}", faults[0].reason);
}

#[rstest]
fn test_sheet_rejection_lists_every_fault_in_line_order() {
    let faults = faults(&[
        "guarantee,unknown,z1,0,4,,,",
        "account,sonede,,,,,,",
        "kind,,,,,k1,300,maybe",
    ]);

    let positions: Vec<_> = faults
        .iter()
        .map(|fault| (fault.line, fault.column.as_str()))
        .collect();
    let expected = [
        (2, "count"),
        (2, "client_account"),
        (4, "priority"),
        (4, "urgent"),
    ];
    assert_eq!(positions, expected);
}

#[rstest]
fn test_sheet_reports_at_most_the_maximum_number_of_faults() {
    let mut rows = vec!["guarantee,sonede,z 1,0,0,,,"; 30];
    rows.push("account,sonede,,,,,,");

    let faults = faults(&rows);

    assert_eq!(faults.len(), sheet::FAULTS_MAX);
    // Parsing stops at the limit, before the account row is read. No fault may then claim that the
    // account is missing.
    let is_genuine = |fault: &sheet::SheetFault| !fault.reason.contains("has no row of record");
    assert!(faults.iter().all(is_genuine), "{faults:?}");
}

#[rstest]
#[case::empty("")]
#[case::other_columns("record,account\naccount,sonede\n")]
#[case::other_order("client_account,record,zone,count,accelerators,kind,priority,urgent\n")]
fn test_sheet_rejects_a_wrong_header(#[case] text: &str) {
    let faults = sheet::Sheet::parse(text)
        .expect_err("the header is wrong")
        .faults;

    assert_eq!(faults[0].line, 1);
    assert!(faults[0].reason.contains(HEADER), "{:?}", faults[0].reason);
}

#[rstest]
fn test_sheet_rejects_a_sheet_without_accounts() {
    let faults = faults(&["kind,,,,,k1,1,no"]);

    assert!(faults[0].reason.contains("names no client account"));
}

#[rstest]
fn test_sheet_rejects_a_sheet_over_the_size_limit() {
    let text = format!("{HEADER}\n{}", "#".repeat(sheet::SHEET_MAX_BYTES));
    let faults = sheet::Sheet::parse(&text)
        .expect_err("the sheet is too large")
        .faults;

    assert!(
        faults[0].reason.contains("1048576 bytes"),
        "{:?}",
        faults[0].reason
    );
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn test_sheet_parse_never_panics_on_any_text(text in "\\PC*") {
        let _ = sheet::Sheet::parse(&text);
    }

    #[test]
    fn test_sheet_parse_limits_and_orders_the_faults_of_any_rows(
        rows in prop::collection::vec("(account|guarantee|kind|x),?(a|b|\"|é|,|1|0| |yes){0,12}", 0..40)
    ) {
        let text = format!("{HEADER}\n{}\n", rows.join("\n"));
        if let Err(error) = sheet::Sheet::parse(&text) {
            prop_assert!((1..=sheet::FAULTS_MAX).contains(&error.faults.len()));
            prop_assert!(error.faults.is_sorted_by_key(|fault| fault.line));
        }
    }

    #[test]
    fn test_sheet_keeps_every_guarantee_wherever_its_account_row_is(
        shapes in prop::collection::vec((1..=sheet::GUARANTEE_COUNT_MAX, 1_u32..=64), 0..10),
        account_position in 0_usize..10,
    ) {
        let row = |(count, accelerators): &(u32, u32)| {
            format!("guarantee,a1,z1,{count},{accelerators},,,")
        };
        let mut rows: Vec<String> = shapes.iter().map(row).collect();
        rows.insert(account_position.min(rows.len()), "account,a1,,,,,,".to_owned());
        let text = format!("{HEADER}\n{}\n", rows.join("\n"));
        let sheet = sheet::Sheet::parse(&text).expect("the sheet is valid");
        let read: Vec<(u32, u32)> = sheet.accounts[&account("a1")]
            .iter()
            .map(|guarantee| (guarantee.count, guarantee.accelerators))
            .collect();
        prop_assert_eq!(read, shapes);
    }
}
