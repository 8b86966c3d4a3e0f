//! The plan of a local deployment.

use std::{path::PathBuf, time::Duration};

use serde_json::Value;

use crate::{
    CrashPlan, LimitFields, ResourceLimits, RouteFields, TargetCapacity, TargetConduct,
    config_document,
};

/// The plan of a local deployment.
#[derive(Debug, Clone)]
pub struct DeploymentPlan {
    /// The name of the deployment, which is part of the name of its temporary folder.
    pub name: String,
    /// The executable of the nodes, `galenastreamd`.
    pub program: PathBuf,
    /// The config in the store when the nodes start; `None` if it is written later.
    pub config: Option<Value>,
    /// The approximate time between two heartbeats of a target.
    pub heartbeat_interval: Duration,
    /// The VMs, each with a target and a node beside it.
    pub vms: Vec<VmPlan>,
    /// Whether all connections pass through proxies that can inject faults.
    pub has_proxies: bool,
    /// The resource limits of each node.
    pub limits: ResourceLimits,
}

/// The plan of a VM with a target and a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmPlan {
    /// The service of the target.
    pub service: String,
    /// The data centre of the VM.
    pub data_centre: String,
    /// The capacity of the target.
    pub capacity: TargetCapacity,
    /// What the target does that its protocol allows.
    pub conduct: TargetConduct,
    /// How the target crashes under requests that crash their targets, and starts again.
    pub crash: CrashPlan,
}

impl DeploymentPlan {
    /// Creates the plan of an example shop, with one VM for each entry of `services`. Targets of
    /// `carts` hold keys, those of `stock` do not. Requests under `/orders/` go to `stock` and are
    /// not idempotent.
    pub fn shop(name: &str, program: impl Into<PathBuf>, services: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            program: program.into(),
            config: Some(Self::shop_config(1, "/stock/")),
            heartbeat_interval: Duration::from_millis(200),
            vms: services.iter().map(|it| VmPlan::new(it)).collect(),
            has_proxies: false,
            limits: ResourceLimits::default(),
        }
    }

    /// Leaves the config out, so that the nodes start without one.
    pub fn without_config(self) -> Self {
        Self { config: None, ..self }
    }

    /// Sets the resource limits of each node.
    pub fn with_limits(self, limits: ResourceLimits) -> Self {
        Self { limits, ..self }
    }

    /// Sets how long the routes of the config let callers wait, and their target latency.
    pub fn with_route_times(mut self, timeout_ms: u32, target_latency_ms: u32) -> Self {
        let hosts = self.config.as_mut().and_then(|it| it["virtualHosts"].as_array_mut());
        for host in hosts.into_iter().flatten() {
            for route in host["paths"].as_array_mut().into_iter().flatten() {
                route["timeoutMs"] = timeout_ms.into();
                route["targetLatencyMs"] = target_latency_ms.into();
            }
        }
        self
    }

    /// Returns a version of the shop's config. Reads from `stock` have the path prefix
    /// `stock_path`.
    pub fn shop_config(version: u32, stock_path: &str) -> Value {
        Self::limited_shop_config(version, stock_path, LimitFields::default())
    }

    /// Returns a version of the shop's config with these limits on requests of callers.
    pub fn limited_shop_config(version: u32, stock_path: &str, limits: LimitFields) -> Value {
        Self::shop_config_with_routes(version, stock_path, 0, limits)
    }

    /// Returns a version of the shop's config with more routes to `stock`, under `/added-1/` to
    /// `/added-COUNT/`.
    pub fn grown_shop_config(version: u32, added_routes: u32, limits: LimitFields) -> Value {
        Self::shop_config_with_routes(version, "/stock/", added_routes, limits)
    }

    fn shop_config_with_routes(
        version: u32,
        stock_path: &str,
        added_routes: u32,
        limits: LimitFields,
    ) -> Value {
        let added: Vec<String> = (1..=added_routes).map(|it| format!("/added-{it}/")).collect();
        let route = |prefix, is_idempotent, service| RouteFields { prefix, is_idempotent, service };
        let mut routes = vec![
            route("/carts/", true, "carts"),
            route(stock_path, true, "stock"),
            route("/orders/", false, "stock"),
        ];
        routes.extend(added.iter().map(|it| route(it, true, "stock")));
        let services = [("carts", true), ("stock", false)];
        config_document(version, "shop.example", &services, &routes, limits)
    }
}

impl VmPlan {
    /// Creates a VM in the data centre `east` with the default capacity of its target.
    pub fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            data_centre: "east".to_owned(),
            capacity: TargetCapacity::default(),
            conduct: TargetConduct::default(),
            crash: CrashPlan::default(),
        }
    }

    /// Sets the data centre.
    pub fn with_data_centre(self, data_centre: &str) -> Self {
        Self { data_centre: data_centre.to_owned(), ..self }
    }

    /// Sets the capacity of the target.
    pub fn with_capacity(self, capacity: TargetCapacity) -> Self {
        Self { capacity, ..self }
    }

    /// Sets what the target does that its protocol allows.
    pub fn with_conduct(self, conduct: TargetConduct) -> Self {
        Self { conduct, ..self }
    }

    /// Sets how the target crashes and starts again.
    pub fn with_crash(self, crash: CrashPlan) -> Self {
        Self { crash, ..self }
    }
}
