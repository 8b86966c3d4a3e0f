//! A folder for the files of a deployment, and free ports for its processes.

use std::{
    net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket},
    ops::Range,
    path::{Path, PathBuf},
};

use anyhow::{Context, bail};
use rand::RngExt;

/// The ports that the processes of deployments use.
const PORTS: Range<u16> = 10_000..32_000;

/// How often a free port is looked for before giving up.
const PORT_TRIES: u32 = 100;

/// A folder for the files of a deployment. It is removed by [`DeploymentFolder::close`].
#[derive(Debug)]
pub struct DeploymentFolder {
    path: PathBuf,
}

impl DeploymentFolder {
    /// Creates a new folder below the system's folder for temporary files.
    pub fn new(name: &str) -> anyhow::Result<Self> {
        let unique = format!("galenastream-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&path).with_context(|| format!("cannot create {path:?}"))?;
        Ok(Self { path })
    }

    /// The folder's path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file into the folder.
    pub fn write(&self, name: &str, text: &str) -> anyhow::Result<PathBuf> {
        let path = self.path.join(name);
        std::fs::write(&path, text).with_context(|| format!("cannot write {path:?}"))?;
        Ok(path)
    }

    /// Removes the folder and what is in it.
    pub fn close(self) -> anyhow::Result<()> {
        std::fs::remove_dir_all(&self.path)
            .with_context(|| format!("cannot remove {:?}", self.path))
    }
}

/// Finds a loopback address whose port is free for both TCP and UDP.
///
/// The port lies below those that the system gives to outgoing connections, one of which could
/// otherwise take it before the process that it is meant for.
pub fn free_address() -> anyhow::Result<SocketAddrV4> {
    for _ in 0..PORT_TRIES {
        let port = rand::rng().random_range(PORTS);
        let is_free = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok()
            && UdpSocket::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
        if is_free {
            return Ok(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
        }
    }
    bail!("found no port that is free for both TCP and UDP; end processes that hold many ports")
}
