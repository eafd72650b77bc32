//! Keys of the table rows and names of the objects that camphorbeam stores on the platform.

use std::sync::Arc;

use camphorbeam_model::id;

/// Key prefix of the index of open requests by availability zone. A request is open until it ends.
pub const OPEN_PREFIX: &str = "open/";

/// Key of the row that names the sheet in force.
pub const CURRENT_SHEET: &str = "sheet/current";

/// Returns the key of the record of a request.
pub fn request(request: &id::RequestId) -> Arc<str> {
    Arc::from(format!("request/{request}"))
}

/// Returns the key of the index entry of an open request.
pub fn open_request(zone: &id::ZoneName, request: &id::RequestId) -> Arc<str> {
    Arc::from(format!("{OPEN_PREFIX}{zone}/{request}"))
}

/// Returns the key prefix of the index entries of all open requests in `zone`.
pub fn open_prefix(zone: &id::ZoneName) -> String {
    format!("{OPEN_PREFIX}{zone}/")
}

/// Returns the key of the scheduler lease of an availability zone. Each renewal writes this row.
pub fn lease(zone: &id::ZoneName) -> Arc<str> {
    Arc::from(format!("lease/{zone}"))
}

/// Returns the key of the epoch of an availability zone. The row changes with each acquisition of
/// the scheduler lease, but not with renewals.
pub fn epoch(zone: &id::ZoneName) -> Arc<str> {
    Arc::from(format!("epoch/{zone}"))
}

/// Returns the key of the list of backend servers in an availability zone that operators have
/// drained.
pub fn drained(zone: &id::ZoneName) -> Arc<str> {
    Arc::from(format!("drained/{zone}"))
}

/// Returns the key of one accepted sheet. The row never changes.
pub fn sheet(version: id::SheetVersion) -> Arc<str> {
    Arc::from(format!("sheet/versions/{:010}", version.0))
}

/// Returns the name of the object that holds the answer of one attempt of a request.
///
/// The name includes the digest of the answer, so an object with other content can't replace it.
pub fn answer(request: &id::RequestId, attempt: id::Attempt, digest: &str) -> String {
    format!("answers/{request}/{attempt}/{digest}")
}
