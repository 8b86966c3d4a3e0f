//! Where the built programs are.

use std::path::PathBuf;

use anyhow::Context;

/// Where the programs are that were built with the one that runs.
#[derive(Debug, Clone)]
pub struct Programs {
    folder: PathBuf,
}

impl Programs {
    /// Finds the programs next to the running example or test.
    pub fn next_to_current() -> anyhow::Result<Self> {
        let current = std::env::current_exe().context("cannot find the running program")?;
        let folder = current.parent().and_then(|it| it.parent());
        let folder = folder.context("the running program is not in cargo's target folder")?;
        Ok(Self { folder: folder.to_owned() })
    }

    /// `galenastreamd`.
    pub fn node(&self) -> PathBuf {
        self.folder.join("galenastreamd")
    }

    /// `galenastreamctl`.
    pub fn ctl(&self) -> PathBuf {
        self.folder.join("galenastreamctl")
    }

    /// The stand-in of the platform.
    pub fn platform(&self) -> PathBuf {
        self.folder.join("examples").join("platform")
    }

    /// The stand-in of a target.
    pub fn target(&self) -> PathBuf {
        self.folder.join("examples").join("target")
    }
}
