//! A day as its file describes it.

use std::{path::Path, time::Duration};

use anyhow::{Context, ensure};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use super::ScenarioFault;
use crate::{Burst, LoadClass, LoadKind, LoadPlan, TargetCapacity, VmPlan};

/// A day: a deployment, its traffic and what goes wrong.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioPlan {
    /// Its name in reports.
    pub name: String,
    /// How long there is traffic.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "length_ms")]
    pub length: Duration,
    /// How much of that is left out of the figures.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "warm_up_ms")]
    pub warm_up: Duration,
    /// Requests a second.
    pub rate_per_s: f64,
    /// The exponent of the Zipf distribution of keys.
    #[serde(default)]
    pub zipf_exponent: f64,
    /// Time between two changes of the hottest keys; zero for none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "shift_interval_ms", default)]
    pub shift_interval: Duration,
    /// The VMs.
    pub vms: Vec<ScenarioVm>,
    /// The classes of requests; their shares add up to 100.
    pub traffic: Vec<ScenarioTraffic>,
    /// Times at which the rate differs.
    #[serde(default)]
    pub bursts: Vec<ScenarioBurst>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<ScenarioFault>,
}

/// A VM of a day: `carts` holds keys, `stock` does not.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioVm {
    /// The service of its target.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that the target works on at once.
    pub slots: u32,
    /// How long it works on a request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "service_time_ms")]
    pub service_time: Duration,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioTraffic {
    /// Its name in reports.
    pub name: String,
    /// The path, under `/carts/`, `/stock/` or `/orders/`.
    pub path: String,
    /// Its share of the requests.
    pub share_percent: f64,
    /// The deadline of its requests.
    pub deadline_ms: u64,
}

/// A time at which the rate differs.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioBurst {
    /// When it begins.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "at_ms")]
    pub at: Duration,
    /// How long it lasts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "for_ms")]
    pub length: Duration,
    /// The multiple of the usual rate.
    pub factor: f64,
}

impl ScenarioPlan {
    /// Reads a file.
    pub fn load(file: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("cannot read {}; check the path", file.display()))?;
        Self::parse(&text).with_context(|| format!("{} is no day", file.display()))
    }

    /// Reads the text of a file.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let scenario: Self = toml::from_str(text)?;
        for fault in &scenario.faults {
            ensure!(fault.vm < scenario.vms.len(), "there is no VM {}; count from 0", fault.vm);
        }
        for class in &scenario.traffic {
            let is_known =
                ["/carts/", "/stock/", "/orders/"].iter().any(|it| class.path.starts_with(it));
            ensure!(is_known, "{} is not under /carts/, /stock/ or /orders/", class.path);
        }
        Ok(scenario)
    }

    /// The VMs to start.
    pub fn vm_plans(&self) -> Vec<VmPlan> {
        let plan = |vm: &ScenarioVm| {
            let capacity = TargetCapacity { slots: vm.slots, service_time: vm.service_time };
            VmPlan::new(&vm.service).with_data_centre(&vm.data_centre).with_capacity(capacity)
        };
        self.vms.iter().map(plan).collect()
    }

    /// The load to make.
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
        .with_classes(self.traffic.iter().map(load_class).collect())
    }
}

fn load_class(traffic: &ScenarioTraffic) -> LoadClass {
    let kind = match traffic.path.starts_with("/orders/") {
        true => LoadKind::Write,
        false => LoadKind::Read,
    };
    let class = LoadClass::new(&traffic.name, &traffic.path, kind, traffic.share_percent)
        .with_deadline_ms(traffic.deadline_ms);
    match traffic.path.starts_with("/carts/") {
        true => class.with_key(),
        false => class,
    }
}
