//! Injects the faults of a scenario into a deployment.

use std::time::Duration;

use galenastream_utils::FastMap;
use tokio::time::Instant;

use super::{ScenarioFault, ScenarioFaultKind, ScenarioPlan};
use crate::{
    DeploymentPlan, HostSet, LinkFault, LocalDeployment, LocalVm, MEMORY_LIMIT_MB, Process,
    StoreFault, TargetAnnouncement, TargetAnswerFault, Violation,
};

/// The time between two looks at the processes.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Injects the faults of a scenario and watches the processes. Faults may overlap: of those that
/// affect the same part of the deployment, the one that started last is in effect.
pub(super) struct FaultInjector<'a> {
    scenario: &'a ScenarioPlan,
    deployment: &'a mut LocalDeployment,
    /// The faults in effect, in the order of their starts.
    active: Vec<&'a ScenarioFault>,
    /// Nodes that were told to stop, by their VM.
    stopping: FastMap<usize, Process>,
    config_changes: u32,
    /// For each VM whose nodes used more memory than they may, since when and how much.
    excesses: FastMap<usize, (Duration, u64)>,
    began_at: Instant,
    violations: Vec<Violation>,
}

/// The start or the end of a fault.
struct FaultStep<'a> {
    at: Duration,
    fault: &'a ScenarioFault,
    is_start: bool,
}

impl<'a> FaultInjector<'a> {
    pub(super) fn new(scenario: &'a ScenarioPlan, deployment: &'a mut LocalDeployment) -> Self {
        Self {
            scenario,
            deployment,
            active: Vec::new(),
            stopping: FastMap::default(),
            config_changes: 0,
            excesses: FastMap::default(),
            began_at: Instant::now(),
            violations: Vec::new(),
        }
    }

    /// Injects the faults until the end of the traffic. Returns violations by processes.
    pub(super) async fn run(mut self) -> anyhow::Result<Vec<Violation>> {
        let mut steps = Vec::new();
        for fault in &self.scenario.faults {
            steps.push(FaultStep { at: fault.at, fault, is_start: true });
            steps.push(FaultStep { at: fault.at + fault.length, fault, is_start: false });
        }
        steps.sort_by_key(|it| it.at);
        self.began_at = Instant::now();
        for step in steps {
            self.watch_until(step.at).await?;
            self.apply(&step).await?;
        }
        self.watch_until(self.scenario.length).await?;
        for (index, (at, peak_mb)) in self.excesses {
            let node = self.deployment.vms[index].name.clone();
            let limit_mb = MEMORY_LIMIT_MB;
            self.violations.push(Violation::MemoryExceeded { node, at, peak_mb, limit_mb });
        }
        Ok(self.violations)
    }

    async fn watch_until(&mut self, at: Duration) -> anyhow::Result<()> {
        let until = self.began_at + at;
        loop {
            self.watch()?;
            let next = until.min(Instant::now() + WATCH_INTERVAL);
            self.deployment.run_for(next.saturating_duration_since(Instant::now())).await?;
            if next == until {
                return Ok(());
            }
        }
    }

    /// Looks for nodes that ended by themselves and starts them again, and measures memory.
    fn watch(&mut self) -> anyhow::Result<()> {
        for (index, vm) in self.deployment.vms.iter_mut().enumerate() {
            let running = vm.node().into_iter().chain(self.stopping.get(&index));
            let peak_mb = running.filter_map(Process::peak_memory_mb).max().unwrap_or(0);
            if peak_mb > MEMORY_LIMIT_MB {
                let at = self.began_at.elapsed();
                let excess = self.excesses.entry(index).or_insert((at, peak_mb));
                excess.1 = excess.1.max(peak_mb);
            }
            let Some(status) = vm.take_ended_node() else {
                continue;
            };
            let (node, status) = (vm.name.clone(), status.to_string());
            self.violations.push(Violation::NodeEnded { node, status });
            vm.start_node()?;
        }
        Ok(())
    }

    async fn apply(&mut self, step: &FaultStep<'a>) -> anyhow::Result<()> {
        let fault = step.fault;
        log::info!(
            "{:?} {} at {:?}",
            fault,
            if step.is_start { "starts" } else { "ends" },
            step.at
        );
        match step.is_start {
            true => self.active.push(fault),
            false => self.active.retain(|it| !std::ptr::eq(*it, fault)),
        }
        match fault.kind {
            ScenarioFaultKind::NodeKilled
            | ScenarioFaultKind::NodeStopped
            | ScenarioFaultKind::NodeSuspended => self.apply_to_node(step),
            ScenarioFaultKind::NodeCut => self.apply_cuts(),
            ScenarioFaultKind::TargetStopped if step.is_start => {
                self.vm(fault).stop_target_listening();
                Ok(())
            }
            ScenarioFaultKind::TargetReplaced if !step.is_start => Ok(()),
            ScenarioFaultKind::TargetStopped | ScenarioFaultKind::TargetReplaced => {
                self.vm(fault).replace_target().await?;
                self.apply_to_target(fault);
                Ok(())
            }
            ScenarioFaultKind::ConfigChanged if step.is_start => {
                self.config_changes += 1;
                let (count, version) = (self.config_changes, self.config_changes + 1);
                let limits = self.scenario.limits(count);
                let config = DeploymentPlan::grown_shop_config(version, count, limits);
                self.deployment.store.put("op", "config", config.to_string().as_bytes());
                Ok(())
            }
            ScenarioFaultKind::StoreRestored => {
                match step.is_start {
                    true => self.deployment.store.make_copy(),
                    false => self.deployment.store.restore(),
                }
                Ok(())
            }
            _ if fault.store_fault().is_some() => {
                let latest = self.latest(ScenarioFault::store_fault);
                self.deployment.store.set_fault(latest.unwrap_or(StoreFault::None));
                Ok(())
            }
            _ => match fault.link_fault() {
                Some((link, _)) => {
                    let latest = self.latest(|it| {
                        it.link_fault().filter(|of| it.vm == fault.vm && of.0 == link)
                    });
                    let latest = latest.map_or(LinkFault::None, |it| it.1);
                    self.vm(fault).set_link_fault(link, latest)
                }
                None => {
                    self.apply_to_target(fault);
                    Ok(())
                }
            },
        }
    }

    fn apply_cuts(&self) -> anyhow::Result<()> {
        let cuts = self.active.iter().filter(|it| it.kind == ScenarioFaultKind::NodeCut);
        let hosts =
            cuts.fold(HostSet::NONE, |hosts, it| hosts.with(self.deployment.vms[it.vm].host()));
        for vm in &self.deployment.vms {
            vm.set_cut_hosts(hosts)?;
        }
        Ok(())
    }

    fn apply_to_node(&mut self, step: &FaultStep<'_>) -> anyhow::Result<()> {
        let index = step.fault.vm;
        let is_active = |kind| self.active.iter().any(|it| it.vm == index && it.kind == kind);
        let is_suspended = is_active(ScenarioFaultKind::NodeSuspended);
        let is_killed = is_active(ScenarioFaultKind::NodeKilled);
        let is_down = is_killed || is_active(ScenarioFaultKind::NodeStopped);
        let vm = &mut self.deployment.vms[index];
        if let Some(node) = vm.node().or(self.stopping.get(&index)) {
            match is_suspended {
                true => node.suspend()?,
                false => node.resume()?,
            }
        }
        if is_down && let Some(node) = vm.take_node() {
            if !is_killed {
                node.request_stop()?;
            }
            self.stopping.insert(index, node);
        }
        // A node that is to stop is killed when it has to start again.
        if (is_killed || !is_down)
            && let Some(mut node) = self.stopping.remove(&index)
        {
            match node.exit_status() {
                Some(status) if !status.success() => self.violations.push(Violation::NodeEnded {
                    node: vm.name.clone(),
                    status: format!("{status} after SIGTERM"),
                }),
                Some(_) => {}
                None => node.kill()?,
            }
        }
        if !is_down && vm.node().is_none() {
            vm.start_node()?;
        }
        Ok(())
    }

    fn apply_to_target(&mut self, fault: &ScenarioFault) {
        let of_vm = |it: &ScenarioFault| it.vm == fault.vm;
        let answer = self.latest(|it| it.answer_fault().filter(|_| of_vm(it)));
        let limit = self.latest(|it| {
            let is_limit = it.kind == ScenarioFaultKind::TargetLimited && of_vm(it);
            is_limit.then(|| TargetAnnouncement::limit(it.limit_per_s))
        });
        let delay = self.latest(|it| it.heartbeat_delay().filter(|_| of_vm(it)));
        let late_calls = self.latest(|it| it.late_call_percent().filter(|_| of_vm(it)));
        let target = &self.vm(fault).target;
        target.set_late_calls(late_calls.unwrap_or_default());
        target.set_max_heartbeat_delay(delay.unwrap_or_default());
        target.set_fault(answer.unwrap_or(TargetAnswerFault::None));
        if fault.kind == ScenarioFaultKind::TargetLimited {
            target.announce(limit.unwrap_or_default());
        }
    }

    fn vm(&mut self, fault: &ScenarioFault) -> &mut LocalVm {
        &mut self.deployment.vms[fault.vm]
    }

    /// Returns what `select` returns for the fault that started last.
    fn latest<T>(&self, select: impl Fn(&ScenarioFault) -> Option<T>) -> Option<T> {
        self.active.iter().rev().find_map(|it| select(it))
    }
}
