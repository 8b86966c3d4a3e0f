//! The plan of a scenario, as its file describes it.

use std::{path::Path, time::Duration};

use anyhow::{Context, ensure};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use super::{ScenarioFault, ScenarioFaultKind};
use crate::{
    Burst, CrashPlan, LoadClass, LoadKind, LoadPlan, TargetCapacity, TargetConduct, VmPlan,
};

/// The plan of a scenario: a deployment, its traffic and the faults to inject.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioPlan {
    /// The name in reports.
    pub name: String,
    /// The duration of the traffic.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "length_ms")]
    pub length: Duration,
    /// How long from the start of the traffic requests are left out of the totals.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "warm_up_ms")]
    pub warm_up: Duration,
    /// The average rate outside of bursts, in requests per second.
    pub rate_per_s: f64,
    /// The exponent of the Zipf distribution of keys; zero makes all keys equally likely.
    #[serde(default)]
    pub zipf_exponent: f64,
    /// The time between two shifts of the hottest keys; zero for no shifts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "shift_interval_ms", default)]
    pub shift_interval: Duration,
    /// The VMs, each with a target and a node beside it.
    pub vms: Vec<ScenarioVm>,
    /// The classes of requests.
    pub traffic: Vec<ScenarioTraffic>,
    /// Periods with a different rate.
    #[serde(default)]
    pub bursts: Vec<ScenarioBurst>,
    /// The faults to inject.
    #[serde(default)]
    pub faults: Vec<ScenarioFault>,
}

/// A VM of a scenario. Targets of the service `carts` hold keys, those of `stock` do not.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioVm {
    /// The service of the target.
    pub service: String,
    /// The data centre of the VM.
    pub data_centre: String,
    /// How many requests the target processes concurrently.
    pub slots: u32,
    /// How long the target processes a request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "service_time_ms")]
    pub service_time: Duration,
    /// What the target does that its protocol allows.
    #[serde(default)]
    pub conduct: TargetConduct,
    /// How the target crashes under requests that crash their targets, and starts again.
    #[serde(default)]
    pub crash: CrashPlan,
}

/// A class of requests.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioTraffic {
    /// The name in reports.
    pub name: String,
    /// The path, under `/carts/`, `/stock/`, `/orders/`, or `/added-N/` after the Nth change of the
    /// config.
    pub path: String,
    /// The share of all requests. The shares of all classes add up to 100.
    pub share_percent: f64,
    /// The time that a request may take, from its intended start.
    pub deadline_ms: u64,
    /// The size of the bodies of the requests.
    #[serde(default)]
    pub body_bytes: usize,
    /// When the requests begin, from the start of the traffic. Requests of the first class take
    /// their place before.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "from_ms", default)]
    pub from: Duration,
}

/// A period with a different rate.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioBurst {
    /// The start of the period, from the start of the traffic.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "at_ms")]
    pub at: Duration,
    /// The duration of the period.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "for_ms")]
    pub length: Duration,
    /// The factor by which the usual rate is multiplied.
    pub factor: f64,
}

impl ScenarioPlan {
    /// Reads and parses a scenario file.
    pub fn load(file: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("cannot read {}; check the path", file.display()))?;
        Self::parse(&text).with_context(|| format!("{} is not a valid scenario", file.display()))
    }

    /// Parses the text of a scenario file. Fails if a fault names a VM that does not exist, or if the
    /// path of a class is under no known prefix.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let scenario: Self = toml::from_str(text)?;
        for fault in &scenario.faults {
            ensure!(
                fault.vm < scenario.vms.len(),
                "a fault names VM {}, which does not exist; VMs are numbered from 0",
                fault.vm
            );
        }
        for class in &scenario.traffic {
            let prefixes = ["/carts/", "/stock/", "/orders/", "/added-"];
            let is_known = prefixes.iter().any(|it| class.path.starts_with(it));
            ensure!(
                is_known,
                "the path {} is not under /carts/, /stock/, /orders/ or /added-N/",
                class.path
            );
        }
        Ok(scenario)
    }

    /// Returns the VMs to start.
    pub fn vm_plans(&self) -> Vec<VmPlan> {
        let plan = |vm: &ScenarioVm| {
            let capacity = TargetCapacity { slots: vm.slots, service_time: vm.service_time };
            VmPlan::new(&vm.service)
                .with_data_centre(&vm.data_centre)
                .with_capacity(capacity)
                .with_conduct(vm.conduct)
                .with_crash(vm.crash)
        };
        self.vms.iter().map(plan).collect()
    }

    /// Returns whether faults of links need proxies.
    pub(super) fn has_proxies(&self) -> bool {
        let is_of_links =
            |it: &ScenarioFault| it.kind == ScenarioFaultKind::NodeCut || it.link_fault().is_some();
        self.faults.iter().any(is_of_links)
    }

    /// Returns the load to generate. Requests enter at the nodes at `entries`.
    pub fn load_plan(&self, entries: Vec<std::net::SocketAddr>, seed: u64) -> LoadPlan {
        let burst =
            |it: &ScenarioBurst| Burst { from: it.at, until: it.at + it.length, factor: it.factor };
        LoadPlan {
            bursts: self.bursts.iter().map(burst).collect(),
            zipf_exponent: self.zipf_exponent,
            shift_interval: self.shift_interval,
            seed,
            ..LoadPlan::new(entries, self.rate_per_s)
        }
        .with_duration(self.length, self.warm_up)
        .with_classes(self.traffic.iter().map(to_load_class).collect())
    }
}

fn to_load_class(traffic: &ScenarioTraffic) -> LoadClass {
    let kind = match traffic.path.starts_with("/orders/") {
        true => LoadKind::Write,
        false => LoadKind::Read,
    };
    let class = LoadClass::new(&traffic.name, &traffic.path, kind, traffic.share_percent)
        .with_deadline_ms(traffic.deadline_ms)
        .with_body_bytes(traffic.body_bytes)
        .with_start(traffic.from);
    match traffic.path.starts_with("/carts/") {
        true => class.with_key(),
        false => class,
    }
}
