//! Reads whole partitions of the store in pages.
//!
//! A partition may take many seconds on a narrow link. Its pages are small enough for other calls to
//! get their replies between them, and a page that has arrived is not read again after a failure.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_clock::transfer;
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;

/// Time for which the pages that are on their way may occupy this host's link. Another call waits
/// that long behind them, which has to be well below the silence after which a connection counts as
/// lost.
const LINK_TIME_MAX: Duration = Duration::from_millis(200);

/// Pages that take longer are made smaller: more than the slowest store and [`LINK_TIME_MAX`].
const SLOW_PAGE: Duration = Duration::from_millis(1_000);

/// Pages that take less time may be larger.
const FAST_PAGE: Duration = Duration::from_millis(500);

/// Bytes on their way at first if the bandwidth of the link isn't known.
const UNKNOWN_LINK_BYTES: u64 = 256 * 1024;

/// Most bytes on their way: pages of 1 MB, the largest of the store, of several partitions.
const BYTES_MAX: u64 = 16 * 1024 * 1024;

/// Fewest bytes on their way.
const BYTES_MIN: u64 = 4 * 1024;

/// Number of partitions that are read at the same time at least, unless rows are too large. A store
/// that is slow to reply would otherwise leave the link idle.
const PAGES_AT_ONCE_MIN: u64 = 4;

/// Most rows of a page.
const PAGE_ROWS_MAX: u64 = 500;

/// Bytes that a row is expected to take before any has arrived.
const EXPECTED_ROW_BYTES: u64 = 4 * 1024;

/// Bytes of a row in a reply besides its key and value.
const ROW_OVERHEAD_BYTES: u64 = 96;

/// Bounds how much of the host's link the reads of partitions occupy together.
#[derive(Debug)]
pub struct PageBudget {
    clock: clock::Clock,
    /// Bound of the bytes on their way, from the bandwidth of the link. The time that pages take
    /// doesn't show how long other calls wait behind them.
    bytes_max: u64,
    state: Mutex<BudgetState>,
    /// Notified when a page has ended.
    released: event_listener::Event,
}

#[derive(Debug)]
struct BudgetState {
    /// Bytes that may be on their way.
    bytes: u64,
    /// Bytes of the pages that are on their way, as estimated.
    reserved_bytes: u64,
    pages: u64,
    adjusted_at: Option<clock::Monotonic>,
}

impl PageBudget {
    /// Creates the budget of a host whose link has `link_mbps` Mbit/s, if that is known.
    pub fn new(clock: clock::Clock, link_mbps: Option<f64>) -> Self {
        let link_bytes = link_mbps.filter(|mbps| *mbps > 0.0).map(|mbps| {
            let bytes_per_s = mbps * 1_000_000.0 / 8.0;
            let bytes = bytes_per_s * LINK_TIME_MAX.as_secs_f64();
            (bytes as u64).clamp(BYTES_MIN, BYTES_MAX)
        });
        Self {
            clock,
            bytes_max: link_bytes.unwrap_or(BYTES_MAX),
            state: Mutex::new(BudgetState {
                bytes: link_bytes.unwrap_or(UNKNOWN_LINK_BYTES),
                reserved_bytes: 0,
                pages: 0,
                adjusted_at: None,
            }),
            released: event_listener::Event::new(),
        }
    }

    /// Most bytes that one message may have so that others wait at most [`LINK_TIME_MAX`] behind it.
    pub fn message_max_bytes(&self) -> u64 {
        self.bytes_max
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a page of rows of `row_bytes` may be sent for.
    async fn reserve(&self, row_bytes: u64) -> PageReservation<'_> {
        loop {
            let released = self.released.listen();
            if let Some(rows) = self.lock().reserve_rows(row_bytes) {
                return PageReservation {
                    budget: self,
                    sent_at: self.clock.now(),
                    rows,
                    bytes: rows * row_bytes,
                };
            }
            released.await;
        }
    }

    /// Adapts the size of pages to the time that one took, which was sent at `sent_at`. Pages that
    /// were sent before the last adjustment don't count.
    fn record(&self, sent_at: clock::Monotonic) {
        let now = self.clock.now();
        let took = now.since(sent_at);
        let mut state = self.lock();
        state.bytes = match took {
            _ if state.adjusted_at > Some(sent_at) => return,
            took if took >= SLOW_PAGE => (state.bytes / 2).max(BYTES_MIN),
            took if took < FAST_PAGE => state.bytes.saturating_mul(2).min(self.bytes_max),
            _ => return,
        };
        state.adjusted_at = Some(now);
    }
}

impl BudgetState {
    /// Reserves a page and returns its number of rows; `None` while too much is on its way. Without
    /// any other page, one row is reserved however large it is.
    fn reserve_rows(&mut self, row_bytes: u64) -> Option<u64> {
        let row_bytes = row_bytes.max(1);
        let left = self.bytes.saturating_sub(self.reserved_bytes);
        let share = left.min(self.bytes / PAGES_AT_ONCE_MIN);
        let rows = match share / row_bytes {
            0 if self.pages == 0 || left >= row_bytes => 1,
            0 => return None,
            rows => rows.min(PAGE_ROWS_MAX),
        };
        self.pages += 1;
        self.reserved_bytes += rows * row_bytes;
        Some(rows)
    }
}

/// A page that is on its way, or is about to be sent for.
struct PageReservation<'a> {
    budget: &'a PageBudget,
    sent_at: clock::Monotonic,
    rows: u64,
    bytes: u64,
}

impl Drop for PageReservation<'_> {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.pages -= 1;
        state.reserved_bytes -= self.bytes;
        drop(state);
        self.budget.released.notify(usize::MAX);
    }
}

/// Reads one partition of a table. After a failure it can be continued from the rows that it has.
#[derive(Debug)]
pub struct PartitionReader {
    table: String,
    part: String,
    /// Key from which the next page begins.
    from: String,
    rows: store::Rows,
    pages: u64,
    bytes: u64,
    is_complete: bool,
}

impl PartitionReader {
    /// Creates a reader that has read nothing of the partition `part` of `table`.
    pub fn new(table: &str, part: &str) -> Self {
        Self {
            table: table.to_owned(),
            part: part.to_owned(),
            from: String::new(),
            rows: store::Rows::default(),
            pages: 0,
            bytes: 0,
            is_complete: false,
        }
    }

    /// Whether all rows have been read. Before, a row that is missing may exist.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Number of pages so far.
    pub fn pages(&self) -> u64 {
        self.pages
    }

    /// Bytes that the rows so far take in replies, estimated from their keys and values.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The rows so far, in the order of their keys, with the version of the first page and the time
    /// of the last one. Later pages may be newer than the first, so that a change feed has to be
    /// followed from that version.
    pub fn rows(&self) -> &store::Rows {
        &self.rows
    }

    /// Returns the rows; see [`Self::rows`].
    pub fn into_rows(self) -> store::Rows {
        self.rows
    }

    /// Reads the rest of the partition.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::page`], and keeps the pages that have arrived.
    pub async fn read<S: Store + ?Sized>(
        &mut self,
        store: &S,
        budget: &PageBudget,
    ) -> Result<(), PlatformError> {
        while !self.is_complete {
            self.read_page(store, budget).await?;
        }
        Ok(())
    }

    /// Reads the next page, unless the partition is read.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::page`].
    pub async fn read_page<S: Store + ?Sized>(
        &mut self,
        store: &S,
        budget: &PageBudget,
    ) -> Result<(), PlatformError> {
        if self.is_complete {
            return Ok(());
        }
        let row_bytes = match self.rows.rows.len() as u64 {
            0 => EXPECTED_ROW_BYTES,
            rows => (self.bytes / rows).max(1),
        };
        let reservation = budget.reserve(row_bytes).await;
        let rows_max = usize::try_from(reservation.rows).unwrap_or(usize::MAX);
        let progress = transfer::Progress::default();
        let reading = store.page(&self.table, &self.part, &self.from, rows_max, &progress);
        let page = reading.await?;
        budget.record(reservation.sent_at);
        self.add(page);
        Ok(())
    }

    fn add(&mut self, page: store::Page) {
        let store::Page { rows, has_more } = page;
        if self.pages == 0 {
            self.rows.version = rows.version;
        }
        self.pages += 1;
        self.bytes += rows.rows.iter().map(reply_bytes).sum::<u64>();
        self.rows.store_ms = rows.store_ms;
        // A page without rows has no end from which to continue.
        self.is_complete = !has_more || rows.rows.is_empty();
        if let Some(last) = rows.rows.last() {
            self.from = last.key.next_key();
        }
        self.rows.rows.extend(rows.rows);
    }
}

/// Bytes that a row takes in a reply, in which its value is encoded in base64.
fn reply_bytes(row: &store::Row) -> u64 {
    let value_bytes = row.value.as_ref().map_or(0, String::len) as u64;
    row.key.key.len() as u64 + value_bytes * 4 / 3 + ROW_OVERHEAD_BYTES
}

/// Reads a whole partition.
///
/// # Errors
///
/// Fails like [`Store::page`].
pub async fn read_partition<S: Store + ?Sized>(
    store: &S,
    budget: &PageBudget,
    table: &str,
    part: &str,
) -> Result<store::Rows, PlatformError> {
    let mut reader = PartitionReader::new(table, part);
    reader.read(store, budget).await?;
    Ok(reader.into_rows())
}
