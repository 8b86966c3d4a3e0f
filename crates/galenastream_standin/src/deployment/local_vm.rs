//! A VM of a local deployment: its target and the node beside it.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::ExitStatus,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use serde_json::Value;

use super::{
    VmLink,
    vm_links::{VmAddresses, VmLinks},
};
use crate::{
    CallerAnswer, CallerConnection, DeploymentFolder, DeploymentPlan, HostSet, LinkFault,
    PlatformTargetStandin, Process, RawAnswer, RawTarget, ResourceLimits, RowStoreStandin,
    SettingsFields, TargetEnd, TargetHistory, TargetPlan, VmPlan, settings_document, wait_until,
};

/// The port of health checks, as [`settings_document`] assigns it.
const READY_PORT: u16 = 8_004;

/// The port where a node serves its metrics and its status page.
const METRICS_PORT: u16 = 9_464;

/// How long the address of a stopped target may stay in use.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(5);

/// A VM of a local deployment. Dropping it kills the node.
#[derive(Debug)]
pub struct LocalVm {
    /// The name of the VM and of its node.
    pub name: String,
    /// The IP address of the VM.
    pub ip: IpAddr,
    /// The target that runs now.
    pub target: PlatformTargetStandin,
    plan: VmPlan,
    program: PathBuf,
    settings: PathBuf,
    node_starts: u32,
    folder: PathBuf,
    heartbeat_interval: Duration,
    limits: ResourceLimits,
    target_count: u32,
    ended_targets: Vec<TargetHistory>,
    node: Option<Process>,
    addresses: VmAddresses,
    links: Option<VmLinks>,
}

impl LocalVm {
    pub(super) async fn start(
        plan: &DeploymentPlan,
        index: usize,
        ip: IpAddr,
        vm: &VmPlan,
        store: &RowStoreStandin,
        folder: &DeploymentFolder,
    ) -> anyhow::Result<Self> {
        let name = format!("vm-{index}");
        let addresses = VmAddresses::new(ip, store.address(), plan.has_proxies);
        let links = match plan.has_proxies {
            true => Some(VmLinks::start(ip, store.address()).await?),
            false => None,
        };
        let target = PlatformTargetStandin::start(&target_plan(
            plan.heartbeat_interval,
            vm,
            addresses,
            format!("t-{index}"),
        ))
        .await
        .with_context(|| format!("cannot start the target of {name}"))?;
        let settings = folder.path().join(format!("{name}.toml"));
        let mut started = Self {
            name,
            ip,
            target,
            plan: vm.clone(),
            program: plan.program.clone(),
            settings,
            node_starts: 0,
            folder: folder.path().to_owned(),
            heartbeat_interval: plan.heartbeat_interval,
            limits: plan.limits,
            target_count: 1,
            ended_targets: Vec::new(),
            node: None,
            addresses,
            links,
        };
        started.start_node()?;
        Ok(started)
    }

    /// Starts the node, also again after it was stopped or killed.
    pub fn start_node(&mut self) -> anyhow::Result<()> {
        let document = settings_document(SettingsFields {
            node: &self.name,
            ip: self.ip,
            service: &self.plan.service,
            data_centre: &self.plan.data_centre,
            heartbeat_ms: u64::try_from(self.heartbeat_interval.as_millis())?,
            store: self.addresses.store,
            takes_calls: self.plan.conduct.takes_calls,
            is_first_start: self.node_starts == 0,
            limits: self.limits,
        });
        std::fs::write(&self.settings, document)
            .with_context(|| format!("cannot write {:?}", self.settings))?;
        self.node_starts += 1;
        let settings = self.settings.to_str().context(
            "the path of the settings file is not UTF-8; choose another folder for temporary files",
        )?;
        let arguments = ["--settings", settings];
        let node = Process::start(&self.name, &self.program, &arguments, &self.folder)?;
        self.node = Some(node);
        Ok(())
    }

    /// Makes the target stop listening; [`replace_target`](Self::replace_target) ends it.
    pub fn stop_target_listening(&self) {
        self.target.stop_listening();
        if let Some(links) = &self.links {
            links.set_target_refuses(true);
        }
    }

    /// Stops the target abruptly, as a crash does, and starts another one with another id at its
    /// address.
    pub async fn replace_target(&mut self) -> anyhow::Result<()> {
        self.target_count += 1;
        let id = format!("{}-{}", self.name.replace("vm", "t"), self.target_count);
        self.target.crash();
        if let Some(links) = &self.links {
            links.set_target_refuses(false);
        }
        let mut plan = target_plan(self.heartbeat_interval, &self.plan, self.addresses, id);
        // Each start sets the time of day back further.
        let step_back = self.plan.conduct.clock_step_back * (self.target_count - 1);
        let step_back_ms = u64::try_from(step_back.as_millis())?;
        plan.started_unix_ms = plan.started_unix_ms.map(|it| it.saturating_sub(step_back_ms));
        let mut next = None;
        // The address becomes free when the task of the old listener has ended.
        wait_until("the address of the old target to become free", ADDRESS_TIMEOUT, async || {
            next = PlatformTargetStandin::start(&plan).await.ok();
            next.is_some()
        })
        .await?;
        let ended =
            std::mem::replace(&mut self.target, next.context("the new target did not start")?);
        self.ended_targets.push(ended.history());
        Ok(())
    }

    /// Starts another target in the place of one that a request has crashed, once the delay of the
    /// plan is over. Until then, the address refuses connections, also that of a proxy.
    pub async fn restart_crashed_target(&mut self) -> anyhow::Result<()> {
        let Some(end) = self.target.end().filter(|it| it.crashed_by.is_some()) else {
            return Ok(());
        };
        if end.at.elapsed() >= self.plan.crash.restart_delay {
            return self.replace_target().await;
        }
        if let Some(links) = &self.links {
            links.set_target_refuses(true);
        }
        Ok(())
    }

    /// Stops the target abruptly, as a crash does, and starts one at its address that answers with
    /// `answer`.
    pub async fn start_raw_target(&mut self, answer: RawAnswer) -> anyhow::Result<RawTarget> {
        self.target_count += 1;
        let id = format!("{}-{}", self.name.replace("vm", "t"), self.target_count);
        self.target.crash();
        let plan = target_plan(self.heartbeat_interval, &self.plan, self.addresses, id);
        let mut next = None;
        // The address becomes free when the task of the old listener has ended.
        wait_until("the address of the old target to become free", ADDRESS_TIMEOUT, async || {
            next = RawTarget::start(&plan, answer).await.ok();
            next.is_some()
        })
        .await?;
        next.context("the new target did not start")
    }

    /// Returns the histories of all targets of the VM, in the order of their starts.
    pub fn histories(&self) -> Vec<TargetHistory> {
        let mut histories = self.ended_targets.clone();
        histories.push(self.target.history());
        histories
    }

    /// Returns the ends of all targets of the VM that have ended, in their order.
    pub fn ends(&self) -> Vec<TargetEnd> {
        let ended = self.ended_targets.iter().filter_map(|it| it.end.clone());
        ended.chain(self.target.end()).collect()
    }

    /// Returns whether a service answers requests of callers on this VM with status 200. For
    /// `carts`, these are requests for the lowest, a middle and the highest key.
    pub async fn reaches(&self, service: &str) -> bool {
        let Some(mut caller) = CallerConnection::connect(self.callers_address()).await else {
            return false;
        };
        let keys: &[Option<u16>] = match service {
            "carts" => &[Some(0), Some(32_768), Some(65_535)],
            _ => &[None],
        };
        for key in keys.iter().copied() {
            let answer = caller.get(&format!("/{service}/probe"), "probe", key).await;
            if answer.is_none_or(|it| it.status != 200) {
                return false;
            }
        }
        true
    }

    /// Returns the status of the health check of the node, or `None` without an answer.
    pub async fn health_status(&self) -> Option<u16> {
        let address = SocketAddr::new(self.ip, READY_PORT);
        let mut caller = CallerConnection::connect(address).await?;
        Some(caller.get("/galenastream/ready", "ready", None).await?.status)
    }

    /// Returns the address where the node accepts callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Returns the address that the heartbeats of the target name.
    pub const fn target_address(&self) -> SocketAddr {
        self.addresses.advertised_target
    }

    /// Returns the address where the node accepts heartbeats.
    pub const fn control_address(&self) -> SocketAddr {
        self.addresses.control
    }

    /// Opens a connection of a caller on this VM.
    pub async fn caller(&self) -> anyhow::Result<CallerConnection> {
        let caller = CallerConnection::connect(self.callers_address()).await;
        caller.with_context(|| format!("the node of {} does not accept callers", self.name))
    }

    /// Returns the address where the node serves its metrics and its status page.
    pub fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, METRICS_PORT)
    }

    /// Reads the metrics of the node, or returns `None` without an answer.
    pub async fn metrics(&self) -> Option<CallerAnswer> {
        CallerConnection::connect(self.metrics_address())
            .await?
            .get("/metrics", "metrics", None)
            .await
    }

    /// Returns the log lines of all processes of the node so far. Incomplete lines are left out.
    pub fn log(&self) -> Vec<Value> {
        let output = std::fs::read_to_string(self.log_file()).unwrap_or_default();
        output.lines().filter_map(|it| serde_json::from_str(it).ok()).collect()
    }

    /// Returns the path of the log of the node, which is its standard output.
    pub fn log_file(&self) -> PathBuf {
        self.folder.join(format!("{}.out", self.name))
    }

    /// Returns the process of the node, or `None` after it was stopped or killed.
    pub fn node(&self) -> Option<&Process> {
        self.node.as_ref()
    }

    /// Stops the node with SIGTERM and waits for its end.
    pub async fn stop_node(&mut self) -> anyhow::Result<ExitStatus> {
        let node =
            self.node.take().with_context(|| format!("{} has no running node", self.name))?;
        node.terminate().await
    }

    /// Kills the node with SIGKILL.
    pub fn kill_node(&mut self) -> anyhow::Result<()> {
        let node =
            self.node.take().with_context(|| format!("{} has no running node", self.name))?;
        node.kill()
    }

    /// Sets the fault of a link from now on. Fails if the deployment has no proxies.
    pub fn set_link_fault(&self, link: VmLink, fault: LinkFault) -> anyhow::Result<()> {
        let links = self.links.as_ref().context("the deployment has no proxies")?;
        links.proxy(link).set_fault(fault);
        Ok(())
    }

    /// Makes the open connections of a link go silent for good; new ones work. Fails if the deployment
    /// has no proxies.
    pub fn silence_open_connections(&self, link: VmLink) -> anyhow::Result<()> {
        let links = self.links.as_ref().context("the deployment has no proxies")?;
        links.proxy(link).silence_open_connections();
        Ok(())
    }

    /// Returns the last octet of the address of the VM.
    pub fn host(&self) -> u8 {
        match self.ip {
            IpAddr::V4(ip) => ip.octets()[3],
            IpAddr::V6(ip) => ip.octets()[15],
        }
    }

    /// Sets the hosts whose nodes are cut off from all other nodes and from the store. Fails if the
    /// deployment has no proxies.
    pub fn set_cut_hosts(&self, hosts: HostSet) -> anyhow::Result<()> {
        let links = self.links.as_ref().context("the deployment has no proxies")?;
        links.set_cut_hosts(hosts, self.host());
        Ok(())
    }

    /// Returns the status with which the node ended by itself, and forgets its process. Returns
    /// `None` while it runs, and after it was stopped or killed.
    pub fn take_ended_node(&mut self) -> Option<ExitStatus> {
        let status = self.node.as_mut()?.exit_status()?;
        self.node = None;
        Some(status)
    }

    /// Takes the process of the node, for a stop in steps. The node can then be started again.
    pub fn take_node(&mut self) -> Option<Process> {
        self.node.take()
    }

    /// Kills the node and stops the target.
    pub fn close(self) {
        self.target.close();
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(0)
}

fn target_plan(
    heartbeat_interval: Duration,
    vm: &VmPlan,
    addresses: VmAddresses,
    id: String,
) -> TargetPlan {
    TargetPlan {
        id,
        service: vm.service.clone(),
        address: addresses.target,
        advertised_address: addresses.advertised_target,
        control: addresses.control,
        heartbeat_interval,
        capacity: vm.capacity,
        conduct: vm.conduct,
        crash: vm.crash,
        started_unix_ms: vm.conduct.states_start.then(unix_ms),
    }
}
