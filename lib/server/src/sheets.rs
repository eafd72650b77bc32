//! Applies a new sheet, polls for the newest version, and tracks whether the loaded version is
//! confirmed to be the newest.
//!
//! The newest version is the highest that was committed to the platform. The loaded version is the
//! one in the memory of this host, by which it works.
//!
//! The row `sheet/versions/N` holds version N and never changes; `sheet/current` names the newest
//! version. The row version of `sheet/current` equals the sheet version, so that applying a sheet
//! is a compare-and-set against the version that the operator has read.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_model::{id, sheet, verdict};
use camphorbeam_platform::{commit_retry, committer, keys, table};
use camphorbeam_scheduler::{dependencies, lease};

/// Interval between two polls for the newest version.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long a version counts as confirmed after the start of the poll that confirmed it.
///
/// A new sheet must be in force on every host within 4 s, so older confirmations don't count. The
/// limit is 0.5 s shorter, which is meant to cover the duration of one poll. A poll of a slow
/// platform can take longer: it reads up to two rows in turn, each with the platform timeout.
pub const CONFIRMATION_TTL: Duration = Duration::from_millis(3_500);

/// Time limit for committing a sheet, including retries while the outcome is unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// The value of the row `sheet/current`, which names the newest version.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
struct CurrentRow {
    version: id::SheetVersion,
    token: Arc<str>,
}

/// The value of a row `sheet/versions/N`.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
struct VersionRow {
    document: sheet::SheetDocument,
    token: Arc<str>,
}

/// Holds the newest sheet that this host has seen. Its version never decreases.
pub struct SheetStore {
    table: Arc<dyn table::Table>,
    clock: clock::Clock,
    write_tokens: Arc<dyn lease::WriteTokenSource>,
    host: id::HostId,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    loaded: Option<LoadedSheet>,
    confirmed_at: Option<clock::Monotonic>,
}

struct LoadedSheet {
    document: sheet::SheetDocument,
    sheet: Arc<sheet::Sheet>,
}

impl SheetStore {
    /// Returns a store without a sheet.
    pub fn new(
        table: Arc<dyn table::Table>,
        clock: clock::Clock,
        write_tokens: Arc<dyn lease::WriteTokenSource>,
        host: id::HostId,
    ) -> Self {
        Self {
            table,
            clock,
            write_tokens,
            host,
            state: Mutex::new(State::default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version of the loaded sheet, or zero if none is loaded.
    pub fn version(&self) -> id::SheetVersion {
        let state = self.lock();
        let loaded = state.loaded.as_ref();
        loaded.map_or(id::SheetVersion(0), |loaded| loaded.document.version)
    }

    /// Returns the loaded sheet as it was accepted, with its text.
    pub fn document(&self) -> Option<sheet::SheetDocument> {
        self.lock()
            .loaded
            .as_ref()
            .map(|loaded| loaded.document.clone())
    }

    /// Returns whether a poll that began within [`CONFIRMATION_TTL`] found no version newer than
    /// the one then loaded. A newer sheet that was loaded since then counts as confirmed too.
    pub fn is_confirmed(&self) -> bool {
        let confirmed_at = self.lock().confirmed_at;
        let now = self.clock.now();
        confirmed_at.is_some_and(|at| now.since(at) < CONFIRMATION_TTL)
    }

    /// Loads an accepted sheet, unless the same or a newer version is loaded.
    pub fn install_if_newer(&self, document: sheet::SheetDocument) {
        let Ok(parsed) = sheet::Sheet::parse(&document.csv) else {
            let sheet_version = document.version.0;
            spdlog::error!("an accepted sheet can't be read", kv: { sheet_version });
            return;
        };
        let mut state = self.lock();
        let loaded_version = state.loaded.as_ref().map(|loaded| loaded.document.version);
        if loaded_version.is_none_or(|loaded| loaded < document.version) {
            spdlog::info!("sheet is in force", kv: { sheet_version = document.version.0 });
            state.loaded = Some(LoadedSheet {
                document,
                sheet: Arc::new(parsed),
            });
        }
    }

    /// Polls for the newest version forever.
    pub async fn follow(&self) {
        loop {
            let started_at = self.clock.now();
            if self.refresh().await.is_ok() {
                self.lock().confirmed_at = Some(started_at);
            }
            self.clock.sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads which version is the newest, and loads it if it is newer than the loaded one.
    ///
    /// # Errors
    ///
    /// Fails if a row can't be read from the platform, or if the row of the newest version is
    /// missing or can't be parsed.
    pub async fn refresh(&self) -> Result<(), table::PlatformError> {
        let key: Arc<str> = Arc::from(keys::CURRENT_SHEET);
        let rows = self.table.read(std::slice::from_ref(&key)).await?;
        let newest = rows.first().map_or(0, |row| row.version);
        if newest > self.version().0 {
            self.fetch(id::SheetVersion(newest)).await?;
        }
        Ok(())
    }

    async fn fetch(&self, version: id::SheetVersion) -> Result<(), table::PlatformError> {
        let rows = self.table.read(&[keys::sheet(version)]).await?;
        let document = rows
            .first()
            .and_then(|row| serde_json::from_value::<VersionRow>(row.value.clone()).ok());
        match document {
            Some(row) => {
                self.install_if_newer(row.document);
                Ok(())
            }
            None => Err(table::PlatformError::Rejected {
                reason: format!("sheet {version} is named but can't be read"),
            }),
        }
    }

    /// Commits `csv` as the version that follows `replaced_version`, and loads it.
    ///
    /// # Errors
    ///
    /// Refuses an invalid sheet, one whose `replaced_version` is not the newest version, and one
    /// whose commit did not succeed or has an unknown outcome. The verdict is `MayHaveRun` only if
    /// the outcome is unknown.
    pub async fn apply(
        &self,
        csv: &str,
        replaced_version: id::SheetVersion,
    ) -> Result<sheet::SheetDocument, verdict::Refusal> {
        sheet::Sheet::parse(csv).map_err(|error| invalid_sheet(&error))?;
        let document = sheet::SheetDocument {
            version: replaced_version.next(),
            accepted_at_unix_ms: self.clock.unix_ms(),
            accepted_by: self.host.clone(),
            csv: Arc::from(csv),
        };
        let token = self.write_tokens.next();
        let version_key = keys::sheet(document.version);
        let transaction = transaction(&document, replaced_version, &version_key, &token);
        let is_ours = |row: &table::Row| committer::carries_token(row, &token);
        let outcome = commit_retry::commit(
            &*self.table,
            &self.clock,
            COMMIT_TIMEOUT,
            &transaction,
            &version_key,
            &is_ours,
        )
        .await;
        match outcome {
            commit_retry::Outcome::Committed => {
                self.install_if_newer(document.clone());
                Ok(document)
            }
            commit_retry::Outcome::Conflict { .. } => Err(self.conflict(replaced_version).await),
            commit_retry::Outcome::Unresolved {
                may_be_applied,
                reason,
            } => Err(not_committed(may_be_applied, &reason)),
        }
    }

    async fn conflict(&self, replaced_version: id::SheetVersion) -> verdict::Refusal {
        // If the refresh fails, the message names the newest version that this host knows.
        let _ = self.refresh().await;
        let newest = self.version();
        verdict::Refusal::new(
            verdict::RefusalCode::Conflict,
            format!(
                "the sheet was to replace version {replaced_version}, but version {newest} is \
                 newest"
            ),
            "read the newest with `camphorbeam sheet show`, merge, and apply against its version",
        )
    }
}

fn transaction(
    document: &sheet::SheetDocument,
    replaced_version: id::SheetVersion,
    version_key: &Arc<str>,
    token: &Arc<str>,
) -> table::Transaction {
    let current: Arc<str> = Arc::from(keys::CURRENT_SHEET);
    let current_row = CurrentRow {
        version: document.version,
        token: Arc::clone(token),
    };
    let version_row = VersionRow {
        document: document.clone(),
        token: Arc::clone(token),
    };
    let mut transaction = table::Transaction::default();
    transaction.require(&current, replaced_version.0);
    transaction.require(version_key, 0);
    transaction.put(&current, serde_json::json!(current_row));
    transaction.put(version_key, serde_json::json!(version_row));
    transaction
}

fn invalid_sheet(error: &sheet::SheetError) -> verdict::Refusal {
    verdict::Refusal::new(
        verdict::RefusalCode::Invalid,
        error.to_string(),
        "mend the named lines and apply the sheet again; nothing of it is in force",
    )
}

fn not_committed(may_be_applied: bool, reason: &str) -> verdict::Refusal {
    let (verdict, message) = match may_be_applied {
        true => (
            verdict::Verdict::MayHaveRun,
            "the sheet may have been accepted",
        ),
        false => (verdict::Verdict::NotRun, "the sheet was not accepted"),
    };
    verdict::Refusal::new(
        verdict::RefusalCode::Unavailable,
        format!("{message}: {reason}"),
        "look with `camphorbeam sheet show` before applying it again",
    )
    .with_verdict(verdict)
    .with_retry_after_ms(clock::as_ms(COMMIT_TIMEOUT))
}

impl dependencies::SheetSource for SheetStore {
    fn sheet(&self) -> Option<dependencies::CurrentSheet> {
        let is_confirmed = self.is_confirmed();
        let state = self.lock();
        let loaded = state.loaded.as_ref()?;
        Some(dependencies::CurrentSheet {
            version: loaded.document.version,
            sheet: Arc::clone(&loaded.sheet),
            is_confirmed,
        })
    }
}
