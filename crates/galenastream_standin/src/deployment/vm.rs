//! One VM of a deployment: a node and the target beside it.

use std::{
    net::{SocketAddr, SocketAddrV4},
    path::Path,
};

use anyhow::Context;
use http::Method;

use crate::{Caller, CallerRequest, DeploymentFolder, Process, Programs, free_address};

/// What a VM of a deployment is started with.
#[derive(Debug, Clone)]
pub struct VmOptions {
    /// The place.
    pub place: String,
    /// The service of the target.
    pub service: String,
    /// Further arguments of the target stand-in.
    pub target_arguments: Vec<String>,
}

impl VmOptions {
    /// Creates the options of a VM whose target checks grants.
    pub fn new(place: &str, service: &str) -> Self {
        Self {
            place: place.to_owned(),
            service: service.to_owned(),
            target_arguments: vec!["--check-grants".to_owned()],
        }
    }

    /// Sets the arguments of the target stand-in.
    pub fn with_target_arguments(mut self, arguments: &[&str]) -> Self {
        self.target_arguments = arguments.iter().map(|it| (*it).to_owned()).collect();
        self
    }
}

/// One VM of a deployment: a node and the target beside it, as two processes.
#[derive(Debug)]
pub struct Vm {
    /// The name of its processes.
    pub name: String,
    /// Where other nodes reach the node.
    pub vm_address: SocketAddrV4,
    /// Where callers reach the node.
    pub caller_address: SocketAddr,
    /// Where operators reach the node.
    pub admin_address: SocketAddr,
    /// Where the node reaches the target.
    pub target_address: SocketAddr,
    /// The node.
    pub node: Process,
    /// The target.
    pub target: Process,
}

/// Where a deployment's platform is.
#[derive(Debug, Clone, Copy)]
pub struct PlatformAddresses {
    /// The table service.
    pub table_address: SocketAddr,
    /// The object store.
    pub object_address: SocketAddr,
}

impl Vm {
    /// Starts the node and the target of a new VM.
    pub fn start(
        name: &str,
        options: &VmOptions,
        platform: PlatformAddresses,
        programs: &Programs,
        folder: &DeploymentFolder,
    ) -> anyhow::Result<Self> {
        Self::start_at(name, VmAddresses::new()?, options, platform, programs, folder)
    }

    /// Starts the node and the target anew at the addresses of a VM that was killed.
    pub fn restart(
        lost: &LostVm,
        options: &VmOptions,
        platform: PlatformAddresses,
        programs: &Programs,
        folder: &DeploymentFolder,
    ) -> anyhow::Result<Self> {
        Self::start_at(&lost.name, lost.addresses, options, platform, programs, folder)
    }

    fn start_at(
        name: &str,
        addresses: VmAddresses,
        options: &VmOptions,
        platform: PlatformAddresses,
        programs: &Programs,
        folder: &DeploymentFolder,
    ) -> anyhow::Result<Self> {
        let bootstrap = addresses.bootstrap(options, platform);
        let settings = folder.write(&format!("{name}.toml"), &bootstrap)?;
        Ok(Self {
            name: name.to_owned(),
            vm_address: addresses.vm,
            caller_address: addresses.caller.into(),
            admin_address: addresses.admin.into(),
            target_address: addresses.target.into(),
            node: start_node(name, &settings, programs, folder)?,
            target: start_target(name, &addresses, options, programs, folder)?,
        })
    }

    /// Kills both processes at once, as the loss of the VM does.
    pub fn kill(self) -> anyhow::Result<LostVm> {
        let addresses = self.addresses()?;
        self.node.kill()?;
        self.target.kill()?;
        Ok(LostVm { name: self.name, addresses })
    }

    /// Stops the node gracefully, and then kills the target.
    pub async fn stop(self) -> anyhow::Result<LostVm> {
        let addresses = self.addresses()?;
        let status = self.node.terminate().await?;
        anyhow::ensure!(status.success(), "{} ended with {status}", self.name);
        self.target.kill()?;
        Ok(LostVm { name: self.name, addresses })
    }

    /// Freezes both processes.
    pub fn freeze(&self) -> anyhow::Result<()> {
        self.node.freeze()?;
        self.target.freeze()
    }

    /// Lets both processes go on.
    pub fn resume(&self) -> anyhow::Result<()> {
        self.target.resume()?;
        self.node.resume()
    }

    fn addresses(&self) -> anyhow::Result<VmAddresses> {
        Ok(VmAddresses {
            vm: self.vm_address,
            caller: as_v4(self.caller_address)?,
            admin: as_v4(self.admin_address)?,
            target: as_v4(self.target_address)?,
        })
    }

    /// How many slices the node holds; none if it does not answer.
    pub async fn held_slices(&self, caller: &Caller) -> usize {
        let request = CallerRequest::new(Method::GET, "/admin/targets");
        let Ok(answer) = caller.call(self.admin_address, &request).await else {
            return 0;
        };
        let held = answer.json()["local"]["held_slices"].as_u64().unwrap_or_default();
        usize::try_from(held).unwrap_or_default()
    }

    /// Whether the node says that it is ready.
    pub async fn is_ready(&self, caller: &Caller) -> bool {
        let request = CallerRequest::new(Method::GET, "/health/ready");
        match caller.call(self.admin_address, &request).await {
            Ok(answer) => answer.status.is_success(),
            Err(_) => false,
        }
    }
}

/// A VM that was killed.
#[derive(Debug)]
pub struct LostVm {
    /// The name of its processes.
    pub name: String,
    addresses: VmAddresses,
}

impl LostVm {
    /// Where other nodes reached the node.
    pub fn vm_address(&self) -> SocketAddrV4 {
        self.addresses.vm
    }
}

#[derive(Debug, Clone, Copy)]
struct VmAddresses {
    vm: SocketAddrV4,
    caller: SocketAddrV4,
    admin: SocketAddrV4,
    target: SocketAddrV4,
}

impl VmAddresses {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            vm: free_address()?,
            caller: free_address()?,
            admin: free_address()?,
            target: free_address()?,
        })
    }

    fn bootstrap(&self, options: &VmOptions, platform: PlatformAddresses) -> String {
        format!(
            "vm_address = \"{}\"\ncaller_address = \"{}\"\nadmin_address = \"{}\"\n\
             place = \"{}\"\nservice = \"{}\"\n\n[platform]\ntable_address = \"{}\"\n\
             object_address = \"{}\"\n",
            self.vm,
            self.caller,
            self.admin,
            options.place,
            options.service,
            platform.table_address,
            platform.object_address,
        )
    }
}

fn as_v4(address: SocketAddr) -> anyhow::Result<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => None.context("addresses of a deployment are IPv4"),
    }
}

fn start_node(
    name: &str,
    settings: &Path,
    programs: &Programs,
    folder: &DeploymentFolder,
) -> anyhow::Result<Process> {
    let settings = settings.to_string_lossy();
    let name = format!("{name}-node");
    Process::start(&name, &programs.node(), &["--settings", &settings], folder.path())
}

fn start_target(
    name: &str,
    addresses: &VmAddresses,
    options: &VmOptions,
    programs: &Programs,
    folder: &DeploymentFolder,
) -> anyhow::Result<Process> {
    let name = format!("{name}-target");
    let address = addresses.target.to_string();
    let admin = addresses.admin.to_string();
    let mut arguments = vec!["--name", &name, "--address", &address, "--node", &admin];
    arguments.extend(["--service", &options.service]);
    arguments.extend(options.target_arguments.iter().map(String::as_str));
    Process::start(&name, &programs.target(), &arguments, folder.path())
}
