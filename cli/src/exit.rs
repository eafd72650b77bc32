//! Exit codes. docs/command-line.md lists them for users.

use std::process::ExitCode;

use camphorbeam_model::verdict;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The command succeeded.
    Success = 0,
    /// The entry host refused the call; nothing has run or changed. But a drain may have begun or
    /// ended all the same if the response of the platform or of the scheduler was lost. Of `check`:
    /// the configuration has an error.
    Refused = 1,
    /// The command line, the settings or a file that they name is invalid, or the process failed to
    /// start.
    Usage = 2,
    /// The outcome of the call is unknown: the request may have run, or the change may be in force.
    MayHaveRun = 3,
    /// The entry host can't be reached.
    Unreachable = 4,
    /// The request has run, but the call failed; for example, its answer can't be read.
    Ran = 5,
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}

impl From<verdict::Verdict> for Code {
    fn from(verdict: verdict::Verdict) -> Self {
        match verdict {
            verdict::Verdict::NotRun => Self::Refused,
            verdict::Verdict::MayHaveRun => Self::MayHaveRun,
            verdict::Verdict::Ran => Self::Ran,
        }
    }
}
