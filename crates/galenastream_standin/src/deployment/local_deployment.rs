//! The platform, and VMs of one service.

use std::{net::SocketAddr, process::Command, time::Duration};

use anyhow::{Context, ensure};
use http::Method;

use crate::{
    Caller, CallerRequest, DeploymentFolder, PlatformAddresses, PlatformStandin, Programs, Vm,
    VmOptions, wait_until,
};

/// How long a deployment may take to be ready.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Keys that must be served before a deployment counts as ready.
const PROBE_KEYS: u32 = 200;

/// The platform in this process, and VMs of one service as processes of their own.
#[derive(Debug)]
pub struct LocalDeployment {
    /// The platform.
    pub platform: PlatformStandin,
    /// The VMs.
    pub vms: Vec<Vm>,
    service: String,
    folder: DeploymentFolder,
}

impl LocalDeployment {
    /// Starts the platform with a tree of settings, and the VMs. Waits until keys are served.
    pub async fn start(name: &str, settings: &str, vms: &[VmOptions]) -> anyhow::Result<Self> {
        let service = vms.first().context("a deployment has at least one VM")?.service.clone();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::start(any, any).await?;
        let addresses = PlatformAddresses {
            table_address: platform.table_address(),
            object_address: platform.object_address(),
        };
        let programs = Programs::next_to_current()?;
        let folder = DeploymentFolder::new(name)?;
        apply_settings(&programs, addresses, settings, &folder).await?;
        let mut deployment = Self { platform, vms: Vec::new(), service, folder };
        for (index, options) in vms.iter().enumerate() {
            let name = format!("vm-{index}");
            let vm = Vm::start(&name, options, addresses, &programs, &deployment.folder)?;
            deployment.vms.push(vm);
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Where callers enter.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|it| it.caller_address).collect()
    }

    /// Where the targets listen.
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|it| it.target_address).collect()
    }

    /// Ends all processes and removes their files.
    pub fn close(self) -> anyhow::Result<()> {
        drop(self.vms);
        self.platform.close();
        self.folder.close()
    }

    async fn wait_until_ready(&self) -> anyhow::Result<()> {
        let caller = Caller::new()?;
        for vm in &self.vms {
            let name = format!("{} to be ready", vm.name);
            wait_until(&name, START_LIMIT, async || vm.is_ready(&caller).await).await?;
        }
        for number in 0..PROBE_KEYS {
            let entry = &self.vms[number as usize % self.vms.len()];
            let key = format!("probe-{number}");
            let name = format!("{key} to be served through {}", entry.name);
            let served = async || self.is_served(&caller, entry.caller_address, &key).await;
            wait_until(&name, START_LIMIT, served).await?;
        }
        let spread = async || self.is_spread(&caller).await;
        wait_until("the slices to be spread over the VMs", START_LIMIT, spread).await
    }

    /// Whether no VM holds more than twice as many slices as another.
    async fn is_spread(&self, caller: &Caller) -> bool {
        let mut counts = Vec::new();
        for vm in &self.vms {
            counts.push(vm.held_slices(caller).await);
        }
        let fewest = counts.iter().min().copied().unwrap_or(0);
        let most = counts.iter().max().copied().unwrap_or(0);
        most <= 2 * fewest
    }

    async fn is_served(&self, caller: &Caller, entry: SocketAddr, key: &str) -> bool {
        let path = format!("/{}/frames", self.service);
        let request = CallerRequest::new(Method::GET, path).with_key(key);
        caller.call(entry, &request).await.is_ok_and(|it| it.outcome() == "ran")
    }
}

async fn apply_settings(
    programs: &Programs,
    addresses: PlatformAddresses,
    settings: &str,
    folder: &DeploymentFolder,
) -> anyhow::Result<()> {
    let file = folder.write("settings.toml", settings)?;
    let mut command = Command::new(programs.ctl());
    command
        .args(["settings", "apply"])
        .arg(file)
        .args(["--table-address", &addresses.table_address.to_string()])
        .args(["--object-address", &addresses.object_address.to_string()]);
    // The platform answers from this runtime, so no thread of it may wait for the command.
    let output = tokio::task::spawn_blocking(move || command.output())
        .await?
        .context("cannot run galenastreamctl; build it with `cargo build --workspace`")?;
    ensure!(output.status.success(), "galenastreamctl settings apply: {output:?}");
    Ok(())
}
