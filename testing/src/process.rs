//! Child processes of the tests. Their programs are found in the target directory.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Arc;

use anyhow::Context as _;
use rustix::fd::OwnedFd;
use rustix::process::{self, Pid, PidfdFlags, Signal};

/// A child process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    handle: Handle,
    /// File that receives standard output and standard error.
    pub output: PathBuf,
}

/// Sends signals to a process. It holds a pidfd, so that no signal reaches another process that
/// reuses the process ID.
#[derive(Clone, Debug)]
pub struct Handle {
    process: Arc<OwnedFd>,
}

impl Handle {
    /// Sends SIGKILL.
    pub fn kill(&self) {
        self.send(Signal::KILL);
    }

    /// Pauses the process (SIGSTOP).
    pub fn pause(&self) {
        self.send(Signal::STOP);
    }

    /// Resumes a paused process (SIGCONT).
    pub fn resume(&self) {
        self.send(Signal::CONT);
    }

    /// Asks the process to shut down (SIGTERM).
    pub fn terminate(&self) {
        self.send(Signal::TERM);
    }

    /// Asks the process to reload its settings (SIGHUP).
    pub fn reload(&self) {
        self.send(Signal::HUP);
    }

    fn send(&self, signal: Signal) {
        // Fails if the process has ended already, which is not an error here.
        let _ = process::pidfd_send_signal(&self.process, signal);
    }
}

impl Process {
    /// Starts `command` and writes its output to the file `output`.
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
            .with_context(|| format!("failed to start {:?}", command.get_program()))?;
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

    /// Returns a handle that sends signals to the process.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the output so far.
    pub fn printed(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of the program `name` of this workspace. It is looked for in the directory of
/// the running executable and in the parent directory.
///
/// # Errors
///
/// Fails if the program has not been built.
pub fn program(name: &str) -> anyhow::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let directories = test.ancestors().skip(1).take(2);
    let mut candidates = directories.map(|directory| directory.join(name));
    candidates.find(|path| path.is_file()).with_context(|| {
        format!("{name} is not built beside {test:?} (hint: cargo test --workspace builds it)")
    })
}
