//! Finds in the logs of entry hosts why jobs missed their objectives, and what work was lost.
//!
//! [`log_line`] decodes the lines, [`timeline`] collects them by job, [`attribution`] divides the
//! time of each late job among causes, and [`report`] adds up. Nothing here does any I/O.

pub mod attribution;
pub mod log_line;
pub mod report;
pub mod timeline;
