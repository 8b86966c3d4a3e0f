//! A deployment on loopback: a store, targets, and real `galenastreamd` processes.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use anyhow::Context;
use tokio::time::sleep;

use super::vm_links::PEER_PORT_REPLACEMENT;
use crate::{
    DeploymentFolder, DeploymentPlan, LocalVm, RowStoreStandin, TargetHistory, VmPlan, wait_until,
};

/// The timeout of each step of the start; several times what a busy machine needs.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The time between two looks for crashed targets.
const RESTART_INTERVAL: Duration = Duration::from_millis(10);

/// The number of keys of a service whose targets hold keys.
const KEY_COUNT: usize = 65_536;

/// The last octet of the address of the store.
const STORE_HOST: u8 = 1;

/// The last octet of the address of the first VM; the other VMs follow it.
const FIRST_VM_HOST: u8 = 10;

/// The number of the next network. Each deployment of this process uses a loopback network of its
/// own, so that all of them can use the same ports.
static NEXT_NETWORK: AtomicU16 = AtomicU16::new(0);

/// A deployment on loopback. Dropping it kills the processes.
#[derive(Debug)]
pub struct LocalDeployment {
    /// The store.
    pub store: RowStoreStandin,
    /// The VMs.
    pub vms: Vec<LocalVm>,
    folder: DeploymentFolder,
}

impl LocalDeployment {
    /// Starts the store, targets and nodes, and waits until callers on every VM reach every
    /// service, or, in a deployment without config, until every node accepts callers. Fails if that
    /// does not happen in time.
    pub async fn start(plan: &DeploymentPlan) -> anyhow::Result<Self> {
        let folder = DeploymentFolder::new(&plan.name)?;
        let network = new_network();
        let store = RowStoreStandin::start((network(STORE_HOST), 0).into()).await?;
        if plan.has_proxies {
            store.replace_in_rows(PEER_PORT_REPLACEMENT);
        }
        if let Some(config) = &plan.config {
            store.put("op", "config", config.to_string().as_bytes());
        }
        let mut vms = Vec::with_capacity(plan.vms.len());
        for (index, vm) in plan.vms.iter().enumerate() {
            let host = FIRST_VM_HOST + u8::try_from(index).context("the plan has too many VMs")?;
            vms.push(LocalVm::start(plan, index, network(host), vm, &store, &folder).await?);
        }
        let deployment = Self { store, vms, folder };
        match plan.config {
            Some(_) => deployment.wait_until_ready(&plan.vms).await?,
            None => deployment.wait_until_accepting().await?,
        }
        Ok(deployment)
    }

    async fn wait_until_accepting(&self) -> anyhow::Result<()> {
        for vm in &self.vms {
            let name = format!("{} to accept callers", vm.ip);
            wait_until(&name, START_TIMEOUT, async || vm.caller().await.is_ok()).await?;
        }
        Ok(())
    }

    async fn wait_until_ready(&self, plan: &[VmPlan]) -> anyhow::Result<()> {
        for vm in &self.vms {
            let name = format!("{} to be ready", vm.ip);
            wait_until(&name, START_TIMEOUT, async || vm.health_status().await == Some(200))
                .await?;
        }
        let sharded_service = "carts";
        if plan.iter().any(|it| it.service == sharded_service) {
            let keys = || -> usize { self.vms.iter().map(|it| it.target.key_count()).sum() };
            wait_until("all keys to be held", START_TIMEOUT, async || keys() == KEY_COUNT).await?;
        }
        for vm in &self.vms {
            let name = format!("{} to know its target", vm.ip);
            wait_until(&name, START_TIMEOUT, async || {
                vm.log().iter().any(|it| it["kvs"]["event"] == "target_up")
            })
            .await?;
            for service in ["stock", sharded_service] {
                if !plan.iter().any(|it| it.service == service) {
                    continue;
                }
                let name = format!("{} to reach {service}", vm.ip);
                wait_until(&name, START_TIMEOUT, async || vm.reaches(service).await).await?;
            }
        }
        Ok(())
    }

    /// Runs the deployment for a period, and starts the targets again that requests crash.
    pub async fn run_for(&mut self, period: Duration) -> anyhow::Result<()> {
        let until = Instant::now() + period;
        while Instant::now() < until {
            self.restart_crashed_targets().await?;
            sleep(RESTART_INTERVAL.min(until.saturating_duration_since(Instant::now()))).await;
        }
        Ok(())
    }

    /// Starts the targets again that requests have crashed and whose delay is over.
    pub async fn restart_crashed_targets(&mut self) -> anyhow::Result<()> {
        for vm in &mut self.vms {
            vm.restart_crashed_target().await?;
        }
        Ok(())
    }

    /// Returns the histories of all targets, also of those that were replaced.
    pub fn histories(&self) -> Vec<TargetHistory> {
        self.vms.iter().flat_map(LocalVm::histories).collect()
    }

    /// Stops the targets and the store, kills the nodes, and removes the temporary folder.
    pub fn close(self) -> anyhow::Result<()> {
        self.close_and_keep_logs().close()
    }

    /// Stops the targets and the store, and kills the nodes. Returns the folder, which holds their
    /// logs.
    pub fn close_and_keep_logs(self) -> DeploymentFolder {
        for vm in self.vms {
            vm.close();
        }
        self.store.close();
        self.folder
    }
}

/// Returns a function from the last octet of an address to the address `127.X.Y.OCTET`. X and Y
/// derive from the id of this process and the number of the network.
fn new_network() -> impl Fn(u8) -> IpAddr {
    let number = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
    let [low_byte, high_byte, ..] = std::process::id().to_le_bytes();
    let third_octet = high_byte.wrapping_mul(16).wrapping_add(number.to_le_bytes()[0]);
    move |host| IpAddr::V4(Ipv4Addr::new(127, low_byte.max(1), third_octet, host))
}
