//! Processes of the test environment: started from the target directory, ended on drop.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Arc;

use anyhow::Context as _;
use rustix::fd::OwnedFd;
use rustix::process::{self, Pid, PidfdFlags, Signal};

/// A started process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    handle: Handle,
    /// File with what it prints.
    pub output: PathBuf,
}

/// Sends signals to one process, and to no other that gets its id after its end.
#[derive(Clone, Debug)]
pub struct Handle {
    process: Arc<OwnedFd>,
}

impl Handle {
    /// Ends the process at once.
    pub fn kill(&self) {
        self.send(Signal::KILL);
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.send(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.send(Signal::CONT);
    }

    /// Asks the process to end.
    pub fn terminate(&self) {
        self.send(Signal::TERM);
    }

    /// Asks the process to read its settings again.
    pub fn reload(&self) {
        self.send(Signal::HUP);
    }

    fn send(&self, signal: Signal) {
        // The process may have ended.
        let _ = process::pidfd_send_signal(&self.process, signal);
    }
}

impl Process {
    /// Starts `command`, with its output in the file `output`.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
    pub fn start(mut command: Command, output: &Path) -> anyhow::Result<Self> {
        let file = File::create(output)?;
        let child = command
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()
            .with_context(|| format!("can't start {:?}", command.get_program()))?;
        let process = process::pidfd_open(Pid::from_child(&child), PidfdFlags::empty())?;
        let handle = Handle {
            process: Arc::new(process),
        };
        Ok(Self {
            child,
            handle,
            output: output.to_owned(),
        })
    }

    /// Sends signals to it.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// What it has printed so far.
    pub fn printed(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The program `name` of this workspace, beside the directory of the test executable.
///
/// # Errors
///
/// Fails if it has not been built.
pub fn program(name: &str) -> anyhow::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let directories = test.ancestors().skip(1).take(2);
    let mut candidates = directories.map(|directory| directory.join(name));
    candidates.find(|path| path.is_file()).with_context(|| {
        format!("{name} is not built beside {test:?} (hint: cargo test --workspace builds it)")
    })
}
