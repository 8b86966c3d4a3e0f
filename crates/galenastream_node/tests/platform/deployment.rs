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
        std::fs::create_dir_all(&folder).expect("the stand-ins and the node work");
        let network = new_network();
        let store = RowStoreStandin::start((network(1), 0).into())
            .await
            .expect("the stand-ins and the node work");
        store.put("op", "config", config(1).to_string().as_bytes());
        let mut vms = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let ip = network(10 + u8::try_from(index).expect("the stand-ins and the node work"));
            vms.push(Vm::start(index, ip, service, &store, &folder).await);
        }
        let deployment = Self { store, vms, folder };
        deployment.wait_until_ready().await;
        deployment
    }

    async fn wait_until_ready(&self) {
        for vm in &self.vms {
            let what = format!("{} to be ready", vm.ip);
            wait_until(&what, START_LIMIT, async || vm.ready().await == Some(200))
                .await
                .expect("the stand-ins and the node work");
        }
        let keys = || -> usize { self.vms.iter().map(|it| it.target.key_count()).sum() };
        if self.vms.iter().any(|it| it.service == "carts") {
            wait_until("all keys to be held", START_LIMIT, async || keys() == 65_536)
                .await
                .expect("the stand-ins and the node work");
        }
        for vm in &self.vms {
            let what = format!("{} to know its target", vm.ip);
            wait_until(&what, START_LIMIT, async || {
                vm.log().iter().any(|it| it["kvs"]["event"] == "target_up")
            })
            .await
            .expect("the stand-ins and the node work");
            for service in ["stock", "carts"] {
                if !self.vms.iter().any(|it| it.service == service) {
                    continue;
                }
                let what = format!("{} to reach {service}", vm.ip);
                wait_until(&what, START_LIMIT, async || vm.reaches(service).await)
                    .await
                    .expect("the stand-ins and the node work");
            }
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
        let target = PlatformTargetStandin::start(&id, service, address, control, interval)
            .await
            .expect("the stand-ins and the node work");
        let settings = folder.join(format!("vm-{index}.toml"));
        let document = settings_document(SettingsFields {
            node: &format!("vm-{index}"),
            ip,
            service,
            heartbeat_ms: HEARTBEAT_MS,
            store: store.address(),
        });
        std::fs::write(&settings, document).expect("the stand-ins and the node work");
        let mut vm = Self { ip, service, target, node: None, settings };
        vm.start_node(index, folder);
        vm
    }

    fn start_node(&mut self, index: usize, folder: &Path) {
        let program = Path::new(env!("CARGO_BIN_EXE_galenastreamd"));
        let settings = self.settings.to_str().expect("the stand-ins and the node work");
        let arguments = ["platform", "--settings", settings];
        let node = Process::start(&format!("node-{index}"), program, &arguments, folder)
            .expect("the stand-ins and the node work");
        self.node = Some(node);
    }

    /// Whether a caller on this VM is served by a service, with any key.
    async fn reaches(&self, service: &str) -> bool {
        let mut caller = self.caller().await;
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
        let mut caller = Caller::connect(SocketAddr::new(self.ip, 9_464))
            .await
            .expect("the stand-ins and the node work");
        caller.get("/metrics", "metrics", None).await.expect("the stand-ins and the node work")
    }

    /// The log of the node.
    pub fn log(&self) -> Vec<Value> {
        let output = self
            .node
            .as_ref()
            .map(|it| it.output().expect("the stand-ins and the node work"))
            .unwrap_or_default();
        output.lines().filter_map(|it| serde_json::from_str(it).ok()).collect()
    }

    /// Asks the node to stop and waits until it has.
    pub async fn stop_node(&mut self) -> std::process::ExitStatus {
        self.node
            .take()
            .expect("the stand-ins and the node work")
            .terminate()
            .await
            .expect("the stand-ins and the node work")
    }

    /// Kills the node.
    pub fn kill_node(&mut self) {
        self.node
            .take()
            .expect("the stand-ins and the node work")
            .kill()
            .expect("the stand-ins and the node work");
    }
}

fn new_network() -> impl Fn(u8) -> IpAddr {
    let number = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
    let [process, _] = std::process::id().to_le_bytes()[..2] else { unreachable!() };
    let third = u8::try_from(number % 256).expect("the stand-ins and the node work");
    move |host| IpAddr::V4(Ipv4Addr::new(127, process.max(1), third, host))
}
