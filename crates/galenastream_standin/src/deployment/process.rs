//! A process of a deployment.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use anyhow::Context;
use rustix::process::{Pid, Signal, kill_process};

use crate::wait_until;

/// How long a process may take to end after SIGTERM.
const TERMINATE_TIMEOUT: Duration = Duration::from_secs(20);

/// A process of a deployment. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    stdout: PathBuf,
    stderr: PathBuf,
}

impl Process {
    /// Starts a program. Its standard output and error are appended to `NAME.out` and `NAME.err` in
    /// `folder`.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[&str],
        folder: &Path,
    ) -> anyhow::Result<Self> {
        let stdout = folder.join(format!("{name}.out"));
        let stderr = folder.join(format!("{name}.err"));
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(File::options().create(true).append(true).open(&stdout)?)
            .stderr(File::options().create(true).append(true).open(&stderr)?)
            .spawn()
            .with_context(|| {
                format!(
                    "cannot start {}; build it with `cargo build --package galenastream_node`",
                    program.display()
                )
            })?;
        Ok(Self { name: name.to_owned(), child, stdout, stderr })
    }

    /// Returns the name under which the process was started.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reads the standard output so far; for a node, this is its log.
    pub fn read_stdout(&self) -> anyhow::Result<String> {
        std::fs::read_to_string(&self.stdout)
            .context("cannot read the standard output of the process")
    }

    /// Reads the standard error so far.
    pub fn read_stderr(&self) -> anyhow::Result<String> {
        std::fs::read_to_string(&self.stderr)
            .context("cannot read the standard error of the process")
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the exit status of a process that has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns the most memory that the process has used so far, in megabytes. Returns `None` if it
    /// has ended.
    pub fn peak_memory_mb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"))?;
        let kib: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(kib * 1_024 / 1_000_000)
    }

    /// Sends SIGTERM and returns immediately.
    pub fn request_stop(&self) -> anyhow::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills the process with SIGKILL, as abruptly as the loss of its VM would end it.
    pub fn kill(mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Suspends the process with SIGSTOP until [`Process::resume`].
    pub fn suspend(&self) -> anyhow::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) -> anyhow::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Sends SIGTERM and waits for the end of the process. Kills the process and fails if it does
    /// not end in time.
    pub async fn terminate(mut self) -> anyhow::Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        let name = self.name.clone();
        wait_until(&format!("{name} to end"), TERMINATE_TIMEOUT, async || !self.is_running())
            .await?;
        Ok(self.child.wait()?)
    }

    fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.context("the process has no id")?;
        kill_process(pid, signal).with_context(|| format!("cannot send a signal to {}", self.name))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored: the process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
