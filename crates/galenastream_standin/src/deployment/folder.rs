//! The temporary folder of a deployment.

use std::path::{Path, PathBuf};

use anyhow::Context;

/// A temporary folder for the files of a deployment. It stays on the disk unless
/// [`DeploymentFolder::close`] removes it.
#[derive(Debug)]
pub struct DeploymentFolder {
    path: PathBuf,
}

impl DeploymentFolder {
    /// Creates the folder below the system's folder for temporary files. Its name contains `name`
    /// and the id of this process.
    pub fn new(name: &str) -> anyhow::Result<Self> {
        let unique = format!("galenastream-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&path).with_context(|| format!("cannot create {path:?}"))?;
        Ok(Self { path })
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file into the folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> anyhow::Result<PathBuf> {
        let path = self.path.join(name);
        std::fs::write(&path, text).with_context(|| format!("cannot write {path:?}"))?;
        Ok(path)
    }

    /// Removes the folder with all its files.
    pub fn close(self) -> anyhow::Result<()> {
        std::fs::remove_dir_all(&self.path)
            .with_context(|| format!("cannot remove {:?}", self.path))
    }
}
