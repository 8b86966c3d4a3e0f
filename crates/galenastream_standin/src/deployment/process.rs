//! One process of a deployment.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use anyhow::Context;
use rustix::process::{Pid, Signal, kill_process};

use crate::wait_until;

/// How long a process may take to stop after SIGTERM.
const TERMINATE_LIMIT: Duration = Duration::from_secs(20);

/// One process of a deployment. It is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    stdout: PathBuf,
    stderr: PathBuf,
}

impl Process {
    /// Starts a program. Its output goes to files named after it in `folder`.
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

    /// The name under which it was started.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it has written to its standard output.
    pub fn output(&self) -> anyhow::Result<String> {
        std::fs::read_to_string(&self.stdout).context("cannot read the process's output")
    }

    /// What it has written to its standard error: the log of a node.
    pub fn errors(&self) -> anyhow::Result<String> {
        std::fs::read_to_string(&self.stderr).context("cannot read the process's errors")
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills it at once, as a loss of its VM does.
    pub fn kill(mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Freezes it until [`Process::resume`].
    pub fn freeze(&self) -> anyhow::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on.
    pub fn resume(&self) -> anyhow::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to stop, and waits until it has.
    pub async fn terminate(mut self) -> anyhow::Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        let name = self.name.clone();
        wait_until(&format!("{name} to stop"), TERMINATE_LIMIT, async || !self.is_running())
            .await?;
        Ok(self.child.wait()?)
    }

    fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.context("the process has no id")?;
        kill_process(pid, signal).with_context(|| format!("cannot signal {}", self.name))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended by itself; then there is nothing to kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
