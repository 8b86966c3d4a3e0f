//! The main job on one machine: a key reaches its one owner, the owner is lost, the key is served
//! again.
//!
//! Run it by `tools/demo.sh`, which also builds the programs that it starts.

use std::{
    path::Path,
    process::{Command, ExitCode},
    time::{Duration, Instant},
};

use anyhow::{Context, bail, ensure};
use galenastream_standin::{
    Caller, CallerAnswer, CallerRequest, DeploymentFolder, PlatformAddresses, Process, Programs,
    Vm, VmOptions, free_address, wait_until,
};
use http::Method;

const SERVICE: &str = "catalogue";
const PLACES: [&str; 3] = ["port-louis-1", "port-louis-2", "port-louis-3"];
const KEYS: [&str; 9] = [
    "frame-1", "frame-2", "frame-3", "frame-4", "frame-5", "frame-6", "frame-7", "frame-8",
    "frame-9",
];

/// How long the deployment may take to be ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Within what time a key shall be served again after the loss of its VM.
const UNAVAILABLE_LIMIT: Duration = Duration::from_secs(1);

/// After what time without an answer the demo gives up waiting.
const GIVE_UP_LIMIT: Duration = Duration::from_secs(20);

#[tokio::main]
async fn main() -> ExitCode {
    let result = tokio::select! {
        result = run() => result,
        _ = tokio::signal::ctrl_c() => Err(anyhow::anyhow!("interrupted")),
    };
    match result {
        Ok(()) => {
            println!("\nEvery step held.");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("\nA step failed: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> anyhow::Result<()> {
    let folder = DeploymentFolder::new("demo")?;
    let result = show(&folder).await;
    if result.is_ok() {
        folder.close()?;
    } else {
        println!("The logs of the processes are in {}", folder.path().display());
    }
    result
}

async fn show(folder: &DeploymentFolder) -> anyhow::Result<()> {
    let demo = Demo::start(folder).await?;
    demo.show_reads().await?;
    demo.show_reservation().await?;
    demo.show_loss().await
}

struct Demo {
    caller: Caller,
    vms: Vec<Vm>,
    programs: Programs,
    _platform: Process,
}

impl Demo {
    async fn start(folder: &DeploymentFolder) -> anyhow::Result<Self> {
        step("Start the platform stand-in, and apply the settings");
        let programs = Programs::next_to_current()?;
        let addresses = PlatformAddresses {
            table_address: free_address()?.into(),
            object_address: free_address()?.into(),
        };
        let platform = start_platform(&programs, addresses, folder).await?;
        apply_settings(&programs, addresses)?;

        step("Start three VMs, each a node and a target, in three places");
        let mut vms = Vec::new();
        for (index, place) in PLACES.iter().enumerate() {
            let options = VmOptions::new(place, SERVICE);
            vms.push(Vm::start(&format!("vm-{index}"), &options, addresses, &programs, folder)?);
        }
        let caller = Caller::new()?;
        for vm in &vms {
            let name = format!("{} to be ready", vm.name);
            wait_until(&name, START_LIMIT, async || vm.is_ready(&caller).await).await?;
            println!("  {} in its place at {} is ready", vm.name, vm.vm_address);
        }
        let demo = Self { caller, vms, programs, _platform: platform };
        wait_until("the slices to be spread over the targets", START_LIMIT, async || {
            demo.is_balanced().await
        })
        .await?;
        println!("  the slices are spread over the targets");
        Ok(demo)
    }

    async fn is_balanced(&self) -> bool {
        let mut held = Vec::new();
        for vm in &self.vms {
            held.push(vm.held_slices(&self.caller).await);
        }
        let least = held.iter().min().copied().unwrap_or_default();
        let most = held.iter().max().copied().unwrap_or_default();
        least > 0 && most - least <= 1
    }

    async fn show_reads(&self) -> anyhow::Result<()> {
        step("Read each key through every node: one target answers, wherever the request enters");
        for key in KEYS {
            let mut targets = Vec::new();
            for vm in &self.vms {
                let answer = self.caller.call(vm.caller_address, &read(key)).await?;
                ensure!(answer.outcome() == "ran", "{key} through {}: {answer:?}", vm.name);
                targets.push(target_of(&answer));
            }
            targets.dedup();
            ensure!(targets.len() == 1, "{key} was answered by {targets:?}");
            println!("  {key}: answered by {} through all three nodes", targets[0]);
        }
        Ok(())
    }

    async fn show_reservation(&self) -> anyhow::Result<()> {
        step("Reserve with a ticket, and ask again with the same ticket through another node");
        let key = KEYS[0];
        let ticket = self.ticket(&self.vms[0], key).await?;
        let reservation = reserve(key).with_ticket(&ticket);
        let first = self.caller.call(self.vms[1].caller_address, &reservation).await?;
        ensure!(first.outcome() == "ran", "the reservation did not run: {first:?}");
        let second = self.caller.call(self.vms[2].caller_address, &reservation).await?;
        ensure!(second.outcome() == "ran", "the repeated reservation: {second:?}");
        ensure!(first.body == second.body, "the ticket ran twice: {first:?} and {second:?}");
        println!("  ticket {ticket}: ran once, and was answered twice with the same answer");
        Ok(())
    }

    async fn show_loss(mut self) -> anyhow::Result<()> {
        step("Kill the VM that owns a key, and wait until the key is served again");
        let key = KEYS[0];
        self.print_owner(&self.vms[0], key)?;
        let answer = self.caller.call(self.vms[0].caller_address, &read(key)).await?;
        let owner = target_of(&answer);
        let ticket = self.ticket(&self.vms[0], key).await?;
        let index = self.vms.iter().position(|vm| vm.target.name() == owner);
        let index = index.with_context(|| format!("{owner} is none of the targets"))?;
        let lost = self.vms.remove(index).kill()?;
        let killed_at = Instant::now();
        println!("  killed {}: its node and its target", lost.name);

        let (answer, unavailable) = self.wait_for(key, killed_at).await?;
        let heir = target_of(&answer);
        println!("  {key}: served again by {heir} after {} ms", unavailable.as_millis());
        ensure!(heir != owner, "the lost target answered");
        ensure!(
            unavailable <= UNAVAILABLE_LIMIT,
            "{key} was unavailable for {unavailable:?}, more than {UNAVAILABLE_LIMIT:?}"
        );
        for key in KEYS {
            let (answer, _) = self.wait_for(key, killed_at).await?;
            println!("  {key}: now answered by {}", target_of(&answer));
        }
        self.print_owner(&self.vms[0], key)?;

        step("Use a ticket of the lost owner: nobody can tell whether it ran, so it is not run");
        let reservation = reserve(key).with_ticket(&ticket);
        let answer = self.caller.call(self.vms[0].caller_address, &reservation).await?;
        ensure!(answer.outcome() == "unknown", "the old ticket: {answer:?}");
        println!("  ticket {ticket}: outcome unknown, told at once");
        Ok(())
    }

    async fn wait_for(
        &self,
        key: &str,
        since: Instant,
    ) -> anyhow::Result<(CallerAnswer, Duration)> {
        let request = read(key);
        while since.elapsed() < GIVE_UP_LIMIT {
            for vm in &self.vms {
                if let Ok(answer) = self.caller.call(vm.caller_address, &request).await
                    && answer.outcome() == "ran"
                {
                    return Ok((answer, since.elapsed()));
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        bail!("{key} was not served again within {GIVE_UP_LIMIT:?}")
    }

    async fn ticket(&self, entry: &Vm, key: &str) -> anyhow::Result<String> {
        let path = format!("/{SERVICE}/galenastream/ticket");
        let request = CallerRequest::new(Method::POST, path).with_key(key);
        let answer = self.caller.call(entry.caller_address, &request).await?;
        let ticket = answer.header("galenastream-ticket");
        ensure!(!ticket.is_empty(), "got no ticket: {answer:?}");
        Ok(ticket.to_owned())
    }

    fn print_owner(&self, vm: &Vm, key: &str) -> anyhow::Result<()> {
        let node = vm.admin_address.to_string();
        let output = Command::new(self.programs.ctl())
            .args(["owner", key, "--service", SERVICE, "--node", &node])
            .output()
            .context("cannot run galenastreamctl")?;
        ensure!(output.status.success(), "galenastreamctl owner: {output:?}");
        for line in String::from_utf8_lossy(&output.stdout).lines() {
            println!("  galenastreamctl owner {key}: {line}");
        }
        Ok(())
    }
}

async fn start_platform(
    programs: &Programs,
    addresses: PlatformAddresses,
    folder: &DeploymentFolder,
) -> anyhow::Result<Process> {
    let table = addresses.table_address.to_string();
    let object = addresses.object_address.to_string();
    let arguments = ["--table-address", &table, "--object-address", &object];
    let platform = Process::start("platform", &programs.platform(), &arguments, folder.path())?;
    wait_until("the platform to listen", START_LIMIT, async || {
        platform.output().is_ok_and(|output| output.contains("listening"))
    })
    .await?;
    Ok(platform)
}

fn apply_settings(programs: &Programs, addresses: PlatformAddresses) -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new(programs.ctl())
        .args(["settings", "apply", "examples/settings/pamplemousses.toml"])
        .args(["--table-address", &addresses.table_address.to_string()])
        .args(["--object-address", &addresses.object_address.to_string()])
        .current_dir(root)
        .output()
        .context("cannot run galenastreamctl")?;
    ensure!(output.status.success(), "galenastreamctl settings apply: {output:?}");
    print!("  {}", String::from_utf8_lossy(&output.stdout));
    Ok(())
}

fn read(key: &str) -> CallerRequest {
    CallerRequest::new(Method::GET, format!("/{SERVICE}/frames")).with_key(key)
}

fn reserve(key: &str) -> CallerRequest {
    CallerRequest::new(Method::POST, format!("/{SERVICE}/reservations")).with_key(key)
}

fn target_of(answer: &CallerAnswer) -> String {
    answer.json()["target"].as_str().unwrap_or("an unnamed target").to_owned()
}

fn step(title: &str) {
    println!("\n{title}");
}
