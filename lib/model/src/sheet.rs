//! The sheet, which lists the client accounts, their guaranteed shapes and the kinds of work. A
//! shape is a number of adjacent accelerators on one backend server.
//!
//! Operators submit the sheet as CSV with the columns [`COLUMNS`]. A sheet with any fault is
//! rejected as a whole.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::{id, request};

/// Maximum size of a sheet, in bytes.
pub const SHEET_MAX_BYTES: usize = 1024 * 1024;

/// Maximum number of faults reported for a sheet. Parsing stops when it is reached.
pub const FAULTS_MAX: usize = 20;

/// Maximum number of shapes in a guarantee row.
pub const GUARANTEE_COUNT_MAX: u32 = 10_000;

/// Highest priority of a kind of work.
pub const PRIORITY_MAX: u8 = 100;

/// The columns of a sheet, in the required order.
pub const COLUMNS: [&str; 8] = [
    "record",
    "client_account",
    "zone",
    "count",
    "accelerators",
    "kind",
    "priority",
    "urgent",
];

/// A violation of the rules for sheets, with its position.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SheetFault {
    /// Line number, from 1; 0 if the CSV reader reports none.
    pub line: u64,
    /// Name of the column; empty if the fault concerns the whole line.
    pub column: String,
    /// Description of the fault.
    pub reason: String,
}

impl fmt::Display for SheetFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.column.as_str() {
            "" => write!(f, "line {}: {}", self.line, self.reason),
            column => write!(f, "line {}, column {column}: {}", self.line, self.reason),
        }
    }
}

/// Rejection of a sheet, with up to [`FAULTS_MAX`] faults.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the sheet is refused whole: {}", join_faults(.faults))]
pub struct SheetError {
    /// The faults, in the order of their lines.
    pub faults: Vec<SheetFault>,
}

fn join_faults(faults: &[SheetFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Shapes in an availability zone that a client account can reclaim at any time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Guarantee {
    pub zone: id::ZoneName,
    /// Number of shapes.
    pub count: u32,
    /// Number of adjacent accelerators in each shape.
    pub accelerators: u32,
}

/// Scheduling settings of a kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindSettings {
    /// From 0 to [`PRIORITY_MAX`]; higher values are scheduled first. The priorities of queues are
    /// in the opposite order.
    pub priority: u8,
    /// Whether the work must start soon. Under the default policy, urgent requests go first among
    /// those within their guarantees; beyond them, they may preempt other requests once they have
    /// waited for their expected run time.
    pub urgent: bool,
}

/// A parsed and validated sheet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sheet {
    /// Guarantees by client account. The list is empty for an account without guarantees.
    pub accounts: BTreeMap<id::ClientAccountName, Vec<Guarantee>>,
    /// Settings by kind of work.
    pub kinds: BTreeMap<id::KindName, KindSettings>,
}

/// A versioned sheet in the form that is stored and passed between hosts.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SheetDocument {
    pub version: id::SheetVersion,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_at_unix_ms: u64,
    /// The entry host that accepted the sheet.
    pub accepted_by: id::HostId,
    /// The CSV text, as submitted by the operator.
    pub csv: Arc<str>,
}

impl Sheet {
    /// Parses and validates a sheet in CSV.
    ///
    /// # Errors
    ///
    /// Returns up to [`FAULTS_MAX`] faults.
    pub fn parse(text: &str) -> Result<Self, SheetError> {
        if text.len() > SHEET_MAX_BYTES {
            let reason = format!("the sheet is over the limit of {SHEET_MAX_BYTES} bytes");
            return Err(single_fault(1, "", reason));
        }
        let mut reader = csv::ReaderBuilder::new()
            .trim(csv::Trim::All)
            .flexible(true)
            .from_reader(text.as_bytes());
        check_header(&mut reader)?;
        let mut parser = Parser::default();
        for row in reader.records() {
            parser.read_row(row);
            if parser.faults.len() >= FAULTS_MAX {
                break;
            }
        }
        parser.finish()
    }

    /// Returns the guarantees in `zone`, each with its client account.
    pub fn guarantees_in<'a>(
        &'a self,
        zone: &'a id::ZoneName,
    ) -> impl Iterator<Item = (&'a id::ClientAccountName, &'a Guarantee)> + 'a {
        self.accounts.iter().flat_map(move |(account, guarantees)| {
            guarantees
                .iter()
                .filter(move |guarantee| guarantee.zone == *zone)
                .map(move |guarantee| (account, guarantee))
        })
    }
}

fn single_fault(line: u64, column: &str, reason: String) -> SheetError {
    SheetError {
        faults: vec![SheetFault {
            line,
            column: column.to_owned(),
            reason,
        }],
    }
}

fn check_header(reader: &mut csv::Reader<&[u8]>) -> Result<(), SheetError> {
    let header = match reader.headers() {
        Ok(header) => header,
        Err(error) => return Err(single_fault(1, "", error.to_string())),
    };
    match header.iter().eq(COLUMNS) {
        true => Ok(()),
        false => {
            let reason = format!("the header must be {:?}", COLUMNS.join(","));
            Err(single_fault(1, "", reason))
        }
    }
}

/// Accumulates the sheet and the faults while rows are read.
#[derive(Default)]
struct Parser {
    sheet: Sheet,
    faults: Vec<SheetFault>,
    guarantee_rows: Vec<GuaranteeRow>,
}

/// A parsed guarantee row. It is assigned to its account after all rows are read, because the
/// account may be defined in a later row.
struct GuaranteeRow {
    line: u64,
    account: id::ClientAccountName,
    /// `None` if other cells of the row have faults.
    guarantee: Option<Guarantee>,
}

/// A row of the sheet, with the list to which its faults are added.
struct Row<'a> {
    line: u64,
    cells: &'a csv::StringRecord,
    faults: &'a mut Vec<SheetFault>,
}

impl Row<'_> {
    fn cell(&self, column: &str) -> &str {
        let index = COLUMNS.iter().position(|name| *name == column);
        index.and_then(|index| self.cells.get(index)).unwrap_or("")
    }

    fn add_fault(&mut self, column: &str, reason: impl Into<String>) {
        self.faults.push(SheetFault {
            line: self.line,
            column: column.to_owned(),
            reason: reason.into(),
        });
    }

    fn parse_name<N: FromStr<Err = id::NameError>>(&mut self, column: &str) -> Option<N> {
        match self.cell(column).parse() {
            Ok(name) => Some(name),
            Err(error) => {
                self.add_fault(column, error.to_string());
                None
            }
        }
    }

    fn parse_number(&mut self, column: &str, low: u32, high: u32) -> Option<u32> {
        let text = self.cell(column).to_owned();
        match text.parse::<u32>() {
            Ok(number) if (low..=high).contains(&number) => Some(number),
            _ => {
                let reason = format!("{text:?} is not a whole number from {low} to {high}");
                self.add_fault(column, reason);
                None
            }
        }
    }

    fn parse_yes_or_no(&mut self, column: &str) -> Option<bool> {
        match self.cell(column) {
            "yes" => Some(true),
            "no" => Some(false),
            other => {
                let reason = format!("{other:?} is neither \"yes\" nor \"no\"");
                self.add_fault(column, reason);
                None
            }
        }
    }

    fn expect_empty(&mut self, columns: &[&str]) {
        for column in columns {
            if !self.cell(column).is_empty() {
                let record = self.cell("record").to_owned();
                self.add_fault(
                    column,
                    format!("must be empty in a row of record {record:?}"),
                );
            }
        }
    }
}

impl Parser {
    fn read_row(&mut self, row: csv::Result<csv::StringRecord>) {
        let cells = match row {
            Ok(cells) => cells,
            Err(error) => {
                let line = error.position().map_or(0, csv::Position::line);
                self.faults.push(SheetFault {
                    line,
                    column: String::new(),
                    reason: error.to_string(),
                });
                return;
            }
        };
        let mut row = Row {
            line: cells.position().map_or(0, csv::Position::line),
            cells: &cells,
            faults: &mut self.faults,
        };
        match cells.get(0).unwrap_or("") {
            _ if cells.len() != COLUMNS.len() => {
                let reason = format!("has {} columns in place of {}", cells.len(), COLUMNS.len());
                row.add_fault("", reason);
            }
            "account" => read_account(&mut self.sheet, &mut row),
            "guarantee" => self.guarantee_rows.extend(read_guarantee(&mut row)),
            "kind" => read_kind(&mut self.sheet, &mut row),
            other => {
                let reason = format!("{other:?} is none of account, guarantee, kind");
                row.add_fault("record", reason);
            }
        }
    }

    fn finish(mut self) -> Result<Sheet, SheetError> {
        let has_accounts = !self.sheet.accounts.is_empty() || !self.guarantee_rows.is_empty();
        // At the limit, parsing stopped early, so that a missing account may be in an unread row.
        if self.faults.len() < FAULTS_MAX {
            self.assign_guarantees();
        }
        match self.faults.is_empty() {
            true if !has_accounts => Err(single_fault(
                1,
                "record",
                "the sheet names no client account".to_owned(),
            )),
            true => Ok(self.sheet),
            false => {
                self.faults.sort_by_key(|fault| fault.line);
                self.faults.truncate(FAULTS_MAX);
                Err(SheetError {
                    faults: self.faults,
                })
            }
        }
    }

    fn assign_guarantees(&mut self) {
        for row in std::mem::take(&mut self.guarantee_rows) {
            match self.sheet.accounts.get_mut(&row.account) {
                Some(guarantees) => guarantees.extend(row.guarantee),
                None => {
                    let account = &row.account;
                    let reason =
                        format!("client account {account} has no row of record \"account\"");
                    self.faults.push(SheetFault {
                        line: row.line,
                        column: "client_account".to_owned(),
                        reason,
                    });
                }
            }
        }
    }
}

fn read_account(sheet: &mut Sheet, row: &mut Row<'_>) {
    row.expect_empty(&[
        "zone",
        "count",
        "accelerators",
        "kind",
        "priority",
        "urgent",
    ]);
    let Some(account) = row.parse_name::<id::ClientAccountName>("client_account") else {
        return;
    };
    match sheet.accounts.contains_key(&account) {
        true => row.add_fault("client_account", format!("{account} is named twice")),
        false => {
            sheet.accounts.insert(account, Vec::new());
        }
    }
}

fn read_guarantee(row: &mut Row<'_>) -> Option<GuaranteeRow> {
    row.expect_empty(&["kind", "priority", "urgent"]);
    let account = row.parse_name::<id::ClientAccountName>("client_account");
    let zone = row.parse_name::<id::ZoneName>("zone");
    let count = row.parse_number("count", 1, GUARANTEE_COUNT_MAX);
    let accelerators = row.parse_number("accelerators", 1, request::GANG_MAX_ACCELERATORS);
    let guarantee = match (zone, count, accelerators) {
        (Some(zone), Some(count), Some(accelerators)) => Some(Guarantee {
            zone,
            count,
            accelerators,
        }),
        _ => None,
    };
    Some(GuaranteeRow {
        line: row.line,
        account: account?,
        guarantee,
    })
}

fn read_kind(sheet: &mut Sheet, row: &mut Row<'_>) {
    row.expect_empty(&["client_account", "zone", "count", "accelerators"]);
    let kind = row.parse_name::<id::KindName>("kind");
    let priority = row.parse_number("priority", 0, u32::from(PRIORITY_MAX));
    let urgent = row.parse_yes_or_no("urgent");
    let (Some(kind), Some(priority), Some(urgent)) = (kind, priority, urgent) else {
        return;
    };
    let settings = KindSettings {
        priority: u8::try_from(priority).unwrap_or(PRIORITY_MAX),
        urgent,
    };
    match sheet.kinds.contains_key(&kind) {
        true => row.add_fault("kind", format!("{kind} is named twice")),
        false => {
            sheet.kinds.insert(kind, settings);
        }
    }
}
