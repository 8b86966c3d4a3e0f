//! A small deployment on loopback: a store, targets, and real `galenastreamd` processes.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use galenastream_standin::{PlatformTargetStandin, Process, RowStoreStandin, wait_until};
use serde_json::{Value, json};

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

/// The config: `carts` holds keys, `stock` does not.
pub fn config(version: u32) -> Value {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "name": prefix, "pathPrefix": prefix, "kind": kind, "timeoutMs": 2_000,
            "targetLatencyMs": 900, "priority": 1, "maxAttempts": 2, "service": service,
        })
    };
    json!({
        "version": format!("{version:08x}"),
        "services": [
            { "name": "carts", "maxConnections": 100, "sharded": true },
            { "name": "stock", "maxConnections": 100 },
        ],
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 65_536,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
        },
        "virtualHosts": [{ "host": "shop.example", "paths": [
            route("/carts/", "safe", "carts"),
            route("/stock/", "safe", "stock"),
            route("/orders/", "unsafe", "stock"),
        ] }],
    })
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
        std::fs::write(&settings, settings_text(index, ip, service, store.address())).unwrap();
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

fn settings_text(index: usize, ip: IpAddr, service: &str, store: SocketAddr) -> String {
    format!(
        r#"
node = "vm-{index}"
ip = "{ip}"
zone = "east"
heartbeatMs = {HEARTBEAT_MS}
bounds = ["drainMs=2000", "graceS=6", "maxHoldMs=10000"]
appAddr = "{ip}:8001"
service = "{service}"
[listen]
inbound = "{ip}:8002"
outbound = "{ip}:8003"
ready = "{ip}:8004"
control = "{ip}:8005"
[limits]
memoryMb = 260
maxFds = 4100
[platform]
address = "{store}"
"#
    )
}
