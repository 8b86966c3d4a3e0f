//! What a deployment consists of.

use std::{path::PathBuf, time::Duration};

use serde_json::Value;

use crate::{RouteFields, TargetCapacity, config_document};

/// What a deployment consists of.
#[derive(Debug, Clone)]
pub struct DeploymentPlan {
    /// Names its folder of temporary files.
    pub name: String,
    /// The program of the nodes.
    pub program: PathBuf,
    /// The config that the operator writes first.
    pub config: Value,
    /// About how often a target sends a heartbeat.
    pub heartbeat_interval: Duration,
    /// The VMs, each with a target and a node beside it.
    pub vms: Vec<VmPlan>,
}

/// A VM with a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmPlan {
    /// The service of the target.
    pub service: String,
    /// The data centre.
    pub data_centre: String,
    /// What the target can do at once.
    pub capacity: TargetCapacity,
}

impl DeploymentPlan {
    /// A deployment of one VM for each service: `carts` holds keys, `stock` does not; what is under
    /// `/orders/` goes to `stock` and may run only once.
    pub fn shop(name: &str, program: impl Into<PathBuf>, services: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            program: program.into(),
            config: Self::shop_config(1, "/stock/"),
            heartbeat_interval: Duration::from_millis(200),
            vms: services.iter().map(|it| VmPlan::new(it)).collect(),
        }
    }

    /// A version of the shop's config, with the path of its reads from `stock`.
    pub fn shop_config(version: u32, stock_path: &str) -> Value {
        let route = |prefix, is_idempotent, service| RouteFields { prefix, is_idempotent, service };
        let routes = [
            route("/carts/", true, "carts"),
            route(stock_path, true, "stock"),
            route("/orders/", false, "stock"),
        ];
        config_document(version, "shop.example", &[("carts", true), ("stock", false)], &routes)
    }
}

impl VmPlan {
    /// A VM in the first data centre, whose target answers at once.
    pub fn new(service: &str) -> Self {
        Self {
            service: service.to_owned(),
            data_centre: "east".to_owned(),
            capacity: TargetCapacity::default(),
        }
    }

    /// Sets the data centre.
    pub fn with_data_centre(self, data_centre: &str) -> Self {
        Self { data_centre: data_centre.to_owned(), ..self }
    }

    /// Sets what the target can do at once.
    pub fn with_capacity(self, capacity: TargetCapacity) -> Self {
        Self { capacity, ..self }
    }
}
