//! A small deployment on loopback: a store, targets, and real `galenastreamd` processes.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use galenastream_standin::{
    PlatformTargetStandin, Process, RouteFields, RowStoreStandin, SettingsFields, config_document,
    settings_document, wait_until,
};
use serde_json::Value;

use crate::caller::{Answer, Caller};

const HEARTBEAT_MS: u64 = 200;
const START_LIMIT: Duration = Duration::from_secs(20);

/// Each deployment has a network of its own, so that ports never clash.
static NEXT_NETWORK: AtomicU16 = AtomicU16::new(0);

/// A VM: its target and the node beside it.
pub struct Vm {
    pub ip: IpAddr,
    pub service: &'static str,
    pub target: PlatformTargetStandin,
    node: Option<Process>,
    settings: PathBuf,
}

pub struct Deployment {
    pub store: RowStoreStandin,
    pub vms: Vec<Vm>,
    folder: PathBuf,
}

/// The config: `carts` holds keys, `stock` does not. Orders may run only once.
pub fn config(version: u32) -> Value {
    config_with_shelf(version, "/stock/")
}

/// The config with another path to `stock`.
pub fn config_with_shelf(version: u32, shelf: &str) -> Value {
    let route = |prefix, is_idempotent, service| RouteFields { prefix, is_idempotent, service };
    let routes = [
        route("/carts/", true, "carts"),
        route(shelf, true, "stock"),
        route("/orders/", false, "stock"),
    ];
    config_document(version, "shop.example", &[("carts", true), ("stock", false)], &routes)
}

impl Deployment {
    /// Starts one VM for each service and waits until all of them serve.
    pub async fn start(name: &str, services: &[&'static str]) -> Self {
        let folder =
            std::env::temp_dir().join(format!("galenastream-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let network = new_network();
        let store = RowStoreStandin::start((network(1), 0).into()).await.unwrap();
        store.put("op", "config", config(1).to_string().as_bytes());
        let mut vms = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let ip = network(10 + u8::try_from(index).unwrap());
            vms.push(Vm::start(index, ip, service, &store, &folder).await);
        }
        let deployment = Self { store, vms, folder };
        deployment.wait_until_ready().await;
        deployment
    }

    async fn wait_until_ready(&self) {
        for vm in &self.vms {
            let what = format!("{} to be ready", vm.ip);
            wait_until(&what, START_LIMIT, async || vm.ready().await == Some(200)).await.unwrap();
        }
        let keys = || -> usize { self.vms.iter().map(|it| it.target.key_count()).sum() };
        if self.vms.iter().any(|it| it.service == "carts") {
            wait_until("all keys to be held", START_LIMIT, async || keys() == 65_536)
                .await
                .unwrap();
        }
        for vm in self.vms.iter().filter(|_| self.vms.iter().any(|it| it.service == "stock")) {
            let what = format!("{} to reach a target", vm.ip);
            let is_served = async || {
                let answer = vm.caller().await.get("/stock/probe", "probe", None).await;
                answer.is_some_and(|it| it.status == 200)
            };
            wait_until(&what, START_LIMIT, is_served).await.unwrap();
        }
    }

    /// Ends it all and removes its files.
    pub fn close(self) {
        for vm in self.vms {
            vm.target.close();
        }
        self.store.close();
        // The folder is a temporary one; whoever reads a failure needs it until here.
        let _ = std::fs::remove_dir_all(self.folder);
    }
}

impl Vm {
    async fn start(
        index: usize,
        ip: IpAddr,
        service: &'static str,
        store: &RowStoreStandin,
        folder: &Path,
    ) -> Self {
        let control = SocketAddr::new(ip, 8_005);
        let interval = Duration::from_millis(HEARTBEAT_MS);
        let address = SocketAddr::new(ip, 8_001);
        let id = format!("t-{index}");
        let target =
            PlatformTargetStandin::start(&id, service, address, control, interval).await.unwrap();
        let settings = folder.join(format!("vm-{index}.toml"));
        let document = settings_document(SettingsFields {
            node: &format!("vm-{index}"),
            ip,
            service,
            heartbeat_ms: HEARTBEAT_MS,
            store: store.address(),
        });
        std::fs::write(&settings, document).unwrap();
        let mut vm = Self { ip, service, target, node: None, settings };
        vm.start_node(index, folder);
        vm
    }

    fn start_node(&mut self, index: usize, folder: &Path) {
        let program = Path::new(env!("CARGO_BIN_EXE_galenastreamd"));
        let settings = self.settings.to_str().unwrap();
        let arguments = ["platform", "--settings", settings];
        let node = Process::start(&format!("node-{index}"), program, &arguments, folder).unwrap();
        self.node = Some(node);
    }

    /// The status of the health check, if there is an answer.
    pub async fn ready(&self) -> Option<u16> {
        let mut caller = Caller::connect(SocketAddr::new(self.ip, 8_004)).await?;
        Some(caller.get("/galenastream/ready", "ready", None).await?.status)
    }

    /// A connection of a caller on this VM.
    pub async fn caller(&self) -> Caller {
        let address = SocketAddr::new(self.ip, 8_003);
        Caller::connect(address).await.expect("the node takes callers")
    }

    /// The page of metrics.
    pub async fn metrics(&self) -> Answer {
        let mut caller = Caller::connect(SocketAddr::new(self.ip, 9_464)).await.unwrap();
        caller.get("/metrics", "metrics", None).await.unwrap()
    }

    /// The log of the node.
    pub fn log(&self) -> Vec<Value> {
        let output = self.node.as_ref().map(|it| it.output().unwrap()).unwrap_or_default();
        output.lines().filter_map(|it| serde_json::from_str(it).ok()).collect()
    }

    /// Asks the node to stop and waits until it has.
    pub async fn stop_node(&mut self) -> std::process::ExitStatus {
        self.node.take().unwrap().terminate().await.unwrap()
    }

    /// Kills the node.
    pub fn kill_node(&mut self) {
        self.node.take().unwrap().kill().unwrap();
    }
}

fn new_network() -> impl Fn(u8) -> IpAddr {
    let number = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
    let [process, _] = std::process::id().to_le_bytes()[..2] else { unreachable!() };
    let third = u8::try_from(number % 256).unwrap();
    move |host| IpAddr::V4(Ipv4Addr::new(127, process.max(1), third, host))
}
