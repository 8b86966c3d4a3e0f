//! A deployment of one service: the platform, and VMs with a node and a target each.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use galenastream_node::{CellsDocument, MemberDocument, OwnerDocument};
use galenastream_ownership::SettingsVersion;
use galenastream_platform::{
    ObjectClient, PlatformLimits, SETTINGS_BUCKET, SETTINGS_TABLE, SettingsStore, TableClient,
};
use galenastream_standin::{
    Caller, CallerAnswer, CallerRequest, DeploymentFolder, Judge, LostVm, PlatformAddresses,
    PlatformStandin, Programs, Vm, VmOptions, wait_until,
};
use http::Method;

/// The service of all deployments.
pub const SERVICE: &str = "catalogue";

/// The places of the VMs, in turn.
pub const PLACES: [&str; 3] = ["east", "south", "west"];

/// How long a condition is waited for.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// The settings of a deployment, unless a test brings its own.
pub const SETTINGS: &str = "\
[defaults]
initial_slices = 24
ramp_up_ms = 0
drain_ms = 5000
max_deadline_ms = 30000

[places.east]
[places.south]
[places.west]

[services.catalogue]
[services.catalogue.places.east]
[services.catalogue.places.south]
[services.catalogue.places.west]
";

/// A deployment of one service.
pub struct Cluster {
    pub platform: PlatformStandin,
    pub vms: Vec<Vm>,
    pub caller: Caller,
    options: Vec<VmOptions>,
    addresses: PlatformAddresses,
    programs: Programs,
    folder: DeploymentFolder,
}

impl Cluster {
    /// Starts a deployment and waits until all its nodes are ready and all keys are served.
    pub async fn start(name: &str, vms: usize) -> Self {
        Self::start_with(name, vms, SETTINGS, &["--check-grants"]).await
    }

    /// Starts a deployment with its own settings and arguments of the targets.
    pub async fn start_with(
        name: &str,
        vms: usize,
        settings: &str,
        target_arguments: &[&str],
    ) -> Self {
        let mut cluster = Self::start_platform(name).await;
        cluster.settings_store().publish(SettingsVersion(0), settings).await.unwrap();
        for index in 0..vms {
            let place = PLACES[index % PLACES.len()];
            let options = VmOptions::new(place, SERVICE).with_target_arguments(target_arguments);
            cluster.add_vm(&options);
        }
        cluster.wait_until_ready().await;
        cluster
    }

    /// Starts a platform without settings and without VMs.
    pub async fn start_platform(name: &str) -> Self {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let platform = PlatformStandin::start(any, any).await.unwrap();
        let addresses = PlatformAddresses {
            table_address: platform.table_address(),
            object_address: platform.object_address(),
        };
        Self {
            platform,
            vms: Vec::new(),
            caller: Caller::new().unwrap(),
            options: Vec::new(),
            addresses,
            programs: Programs::next_to_current().unwrap(),
            folder: DeploymentFolder::new(name).unwrap(),
        }
    }

    /// Starts one more VM.
    pub fn add_vm(&mut self, options: &VmOptions) {
        let name = format!("vm-{}", self.options.len());
        let vm = Vm::start(&name, options, self.addresses, &self.programs, &self.folder).unwrap();
        self.vms.push(vm);
        self.options.push(options.clone());
    }

    /// Starts a VM that was killed anew.
    pub fn restart(&mut self, lost: &LostVm) {
        let index: usize = lost.name.trim_start_matches("vm-").parse().unwrap();
        let options = &self.options[index];
        let vm = Vm::restart(lost, options, self.addresses, &self.programs, &self.folder).unwrap();
        self.vms.push(vm);
    }

    /// Waits until all nodes are ready, own slices, and a key is served through each.
    pub async fn wait_until_ready(&self) {
        for vm in &self.vms {
            let name = format!("{} to be ready", vm.name);
            wait_until(&name, WAIT_LIMIT, async || vm.is_ready(&self.caller).await).await.unwrap();
            let name = format!("{} to hold slices", vm.name);
            wait_until(&name, WAIT_LIMIT, async || self.held_slices(vm).await > 0).await.unwrap();
            let entry = vm.caller_address;
            let name = format!("a key to be served through {}", vm.name);
            wait_until(&name, WAIT_LIMIT, async || self.reads(entry, "first").await).await.unwrap();
        }
    }

    /// The settings in the platform.
    pub fn settings_store(&self) -> SettingsStore {
        let table = format!("http://{}", self.addresses.table_address);
        let objects = format!("http://{}", self.addresses.object_address);
        let limits = PlatformLimits::default();
        SettingsStore::new(
            TableClient::new(&table, SETTINGS_TABLE, limits),
            ObjectClient::new(&objects, SETTINGS_BUCKET, limits),
        )
    }

    /// Where callers enter, at all VMs.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.caller_address).collect()
    }

    /// Where callers enter, at all VMs but one.
    pub fn entries_without(&self, index: usize) -> Vec<SocketAddr> {
        let others = self.vms.iter().enumerate().filter(|(other, _)| *other != index);
        others.map(|(_, vm)| vm.caller_address).collect()
    }

    /// Some keys of the VM at a position.
    pub async fn keys_of(&self, index: usize, count: usize) -> Vec<String> {
        let mut keys = Vec::new();
        for number in 0..10_000 {
            if keys.len() == count {
                break;
            }
            let key = format!("key-{number}");
            if self.owner_of(&key).await == index {
                keys.push(key);
            }
        }
        keys
    }

    /// Some keys of the VMs at all positions but one.
    pub async fn keys_without(&self, index: usize, count: usize) -> Vec<String> {
        let mut keys = Vec::new();
        for other in 0..self.vms.len() {
            if other != index {
                keys.extend(self.keys_of(other, count).await);
            }
        }
        keys
    }

    /// Waits until a key is served by any VM through one entry, and returns how long it took.
    pub async fn wait_until_served(&self, entry: SocketAddr, key: &str) -> Duration {
        let began_at = Instant::now();
        let name = format!("{key} to be served through {entry}");
        wait_until(&name, WAIT_LIMIT, async || self.reads(entry, key).await).await.unwrap();
        began_at.elapsed()
    }

    /// Waits until a key is served by another VM than the one that owned it.
    pub async fn wait_until_moved(&self, entry: SocketAddr, key: &str, from: &Vm) {
        let from = from.vm_address.to_string();
        let name = format!("{key} to be served by another VM than {from}");
        wait_until(&name, WAIT_LIMIT, async || match self.read(entry, key).await {
            Some(answer) => {
                answer.outcome() == "ran" && answer.header("galenastream-owner") != from
            }
            None => false,
        })
        .await
        .unwrap();
    }

    /// Reads a key; an answer that does not arrive is `None`.
    pub async fn read(&self, entry: SocketAddr, key: &str) -> Option<CallerAnswer> {
        let request = CallerRequest::new(Method::GET, format!("/{SERVICE}/frames")).with_key(key);
        self.caller.call(entry, &request).await.ok()
    }

    /// Whether a key is answered through a node.
    pub async fn reads(&self, entry: SocketAddr, key: &str) -> bool {
        self.read(entry, key).await.is_some_and(|it| it.outcome() == "ran")
    }

    /// The position of the VM that owns a key, as the nodes say.
    pub async fn owner_of(&self, key: &str) -> usize {
        let mut owner = None;
        wait_until("the key to have an owner", WAIT_LIMIT, async || {
            let document = self.owner_document(&self.vms[0], key).await;
            let address = document.and_then(|it| it.owner);
            owner = self.vms.iter().position(|vm| Some(vm.vm_address) == address);
            owner.is_some()
        })
        .await
        .unwrap();
        owner.unwrap()
    }

    /// A key that the VM at a position owns.
    pub async fn key_of(&self, index: usize) -> String {
        for number in 0..10_000 {
            let key = format!("key-{number}");
            if self.owner_of(&key).await == index {
                return key;
            }
        }
        panic!("no key of {}", self.vms[index].name);
    }

    /// The position of the coordinator's VM, once all nodes agree on it.
    pub async fn coordinator(&self) -> usize {
        let mut coordinator = None;
        wait_until("the nodes to agree on a coordinator", WAIT_LIMIT, async || {
            coordinator = self.agreed_coordinator().await;
            coordinator.is_some()
        })
        .await
        .unwrap();
        coordinator.unwrap()
    }

    async fn agreed_coordinator(&self) -> Option<usize> {
        let mut named = None;
        for vm in &self.vms {
            let cells = self.cells(vm).await?;
            let coordinator = cells.cells.first()?.coordinator?.vm;
            if *named.get_or_insert(coordinator) != coordinator {
                return None;
            }
        }
        self.vms.iter().position(|vm| Some(vm.vm_address) == named)
    }

    /// Waits until the coordinator's witnesses are three VMs that live.
    pub async fn wait_until_witnesses_live(&self) {
        let coordinator = self.coordinator().await;
        wait_until("three live witnesses", WAIT_LIMIT, async || {
            let Some(cells) = self.cells(&self.vms[coordinator]).await else {
                return false;
            };
            let witnesses = &cells.cells[0].witnesses;
            let lives = |it: &MemberDocument| self.vms.iter().any(|vm| vm.vm_address == it.vm);
            witnesses.len() == 3 && witnesses.iter().all(lives)
        })
        .await
        .unwrap();
    }

    /// What a node knows about its cell.
    pub async fn cells(&self, vm: &Vm) -> Option<CellsDocument> {
        let body = self.admin_get(vm, "/admin/cells").await?;
        serde_json::from_slice(&body.body).ok()
    }

    /// Who owns a key, as a node says.
    pub async fn owner_document(&self, vm: &Vm, key: &str) -> Option<OwnerDocument> {
        let path = format!("/admin/owner?service={SERVICE}&key={key}");
        let answer = self.admin_get(vm, &path).await?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// How many slices a node holds.
    pub async fn held_slices(&self, vm: &Vm) -> usize {
        let cells = self.cells(vm).await;
        cells.and_then(|it| it.cells.first().map(|cell| cell.held_slices)).unwrap_or(0)
    }

    /// The text of a node's metrics.
    pub async fn metrics(&self, vm: &Vm) -> String {
        let answer = self.admin_get(vm, "/metrics").await;
        answer.map(|it| String::from_utf8_lossy(&it.body).into_owned()).unwrap_or_default()
    }

    /// Asks a node's admin address.
    pub async fn admin_get(&self, vm: &Vm, path: &str) -> Option<CallerAnswer> {
        self.caller.call(vm.admin_address, &CallerRequest::new(Method::GET, path)).await.ok()
    }

    /// Sends an order to a node's admin address.
    pub async fn admin_post(&self, vm: &Vm, path: &str, body: &str) -> CallerAnswer {
        let request = CallerRequest::new(Method::POST, path).with_body(body.to_owned());
        self.caller.call(vm.admin_address, &request).await.unwrap()
    }

    /// The judge of the logs of all targets so far, those of lost VMs too.
    pub fn judge(&self) -> Judge {
        let mut judge = Judge::new();
        for index in 0..self.options.len() {
            let file = self.folder.path().join(format!("vm-{index}-target.out"));
            judge = judge.with_output(&std::fs::read_to_string(file).unwrap());
        }
        judge
    }

    /// The log of a node.
    pub fn node_log(&self, name: &str) -> String {
        let file = self.folder.path().join(format!("{name}-node.err"));
        std::fs::read_to_string(file).unwrap_or_default()
    }

    /// Ends all processes and removes their files. Keeps the files of a test that failed.
    pub fn close(self) {
        drop(self.vms);
        self.platform.close();
        self.folder.close().unwrap();
    }
}
