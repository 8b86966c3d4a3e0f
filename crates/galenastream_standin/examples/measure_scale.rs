//! Measures what control costs real nodes without traffic, by role, on one machine.
//!
//! Run it by `tools/measure-scale.sh VMS`, which also builds the programs that it starts.

use std::{fs, time::Duration};

use anyhow::Context;
use galenastream_standin::{Caller, CallerRequest, LocalDeployment, Process, Vm, VmOptions};
use http::Method;
use rustix::param::clock_ticks_per_second;
use serde_json::Value;
use tokio::time::sleep;

const SERVICE: &str = "catalogue";
const PLACES: [&str; 4] = ["east", "south", "west", "north"];
const SLICES_PER_TARGET: usize = 64;
const MEASURED: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let vms: usize = match std::env::args().nth(1) {
        Some(text) => text.parse().context("VMS is a whole number")?,
        None => 16,
    };
    let options: Vec<VmOptions> = (0..vms)
        .map(|index| {
            VmOptions::new(PLACES[index % PLACES.len()], SERVICE)
                .with_target_arguments(&["--check-grants", "--no-events"])
        })
        .collect();
    let deployment = LocalDeployment::start("scale", &settings(vms), &options).await?;
    let caller = Caller::new()?;
    measure(&deployment, &caller).await?;
    deployment.close()
}

fn settings(vms: usize) -> String {
    let mut text = format!("[defaults]\ninitial_slices = {}\n", vms * SLICES_PER_TARGET);
    for place in PLACES {
        text += &format!("[places.{place}]\n");
    }
    text += &format!("[services.{SERVICE}]\n");
    for place in PLACES {
        text += &format!("[services.{SERVICE}.places.{place}]\n");
    }
    text
}

/// What a node has used since it started.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    cpu: Duration,
    resident_kib: u64,
    sent_bytes: f64,
    received_bytes: f64,
}

async fn measure(deployment: &LocalDeployment, caller: &Caller) -> anyhow::Result<()> {
    let mut before = Vec::new();
    for vm in &deployment.vms {
        before.push(usage(vm, caller).await?);
    }
    sleep(MEASURED).await;
    println!(
        "{:<12}{:>7}{:>14}{:>14}{:>12}{:>14}{:>12}",
        "role", "nodes", "sent B/s", "recv B/s", "core %", "core % max", "RSS KiB max"
    );
    let mut rows = [Row::default(); 3];
    for (vm, before) in deployment.vms.iter().zip(before) {
        let after = usage(vm, caller).await?;
        rows[role(vm, caller).await? as usize].add(before, after);
    }
    for (name, row) in ["coordinator", "witness", "plain"].into_iter().zip(rows) {
        row.print(name);
    }
    Ok(())
}

/// The sum of what the nodes of one role used.
#[derive(Debug, Clone, Copy, Default)]
struct Row {
    nodes: u32,
    cpu: Duration,
    most_cpu: Duration,
    most_resident_kib: u64,
    sent_bytes: f64,
    received_bytes: f64,
}

impl Row {
    fn add(&mut self, before: Usage, after: Usage) {
        let cpu = after.cpu.saturating_sub(before.cpu);
        self.nodes += 1;
        self.cpu += cpu;
        self.most_cpu = self.most_cpu.max(cpu);
        self.most_resident_kib = self.most_resident_kib.max(after.resident_kib);
        self.sent_bytes += after.sent_bytes - before.sent_bytes;
        self.received_bytes += after.received_bytes - before.received_bytes;
    }

    fn print(&self, name: &str) {
        if self.nodes == 0 {
            return;
        }
        let each_second = |sum: f64| sum / f64::from(self.nodes) / MEASURED.as_secs_f64();
        println!(
            "{name:<12}{:>7}{:>14.0}{:>14.0}{:>12.2}{:>14.2}{:>12}",
            self.nodes,
            each_second(self.sent_bytes),
            each_second(self.received_bytes),
            each_second(self.cpu.as_secs_f64()) * 100.0,
            self.most_cpu.as_secs_f64() / MEASURED.as_secs_f64() * 100.0,
            self.most_resident_kib,
        );
    }
}

#[derive(Debug, Clone, Copy)]
enum Role {
    Coordinator,
    Witness,
    Plain,
}

async fn role(vm: &Vm, caller: &Caller) -> anyhow::Result<Role> {
    let answer = caller.call(vm.admin_address, &get("/admin/cells")).await?;
    let cell = &answer.json()["cells"][0];
    if cell["is_coordinator"] == Value::Bool(true) {
        return Ok(Role::Coordinator);
    }
    let own = vm.vm_address.to_string();
    let witnesses = cell["witnesses"].as_array().cloned().unwrap_or_default();
    let is_witness = witnesses.iter().any(|it| it["vm"] == own.as_str());
    Ok(if is_witness { Role::Witness } else { Role::Plain })
}

async fn usage(vm: &Vm, caller: &Caller) -> anyhow::Result<Usage> {
    let metrics = caller.call(vm.admin_address, &get("/metrics")).await?;
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    let bytes = |direction: &str| {
        let name = format!("galenastream_control_bytes_total{{direction=\"{direction}\"}} ");
        let line = metrics.lines().find_map(|line| line.strip_prefix(&name));
        line.and_then(|value| value.parse().ok()).unwrap_or_default()
    };
    Ok(Usage {
        cpu: cpu_time(&vm.node)?,
        resident_kib: resident_kib(&vm.node)?,
        sent_bytes: bytes("sent"),
        received_bytes: bytes("received"),
    })
}

fn get(path: &str) -> CallerRequest {
    CallerRequest::new(Method::GET, path).with_deadline_ms(5_000)
}

fn cpu_time(process: &Process) -> anyhow::Result<Duration> {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id()))?;
    // The name in parentheses may hold spaces; the fields behind it do not.
    let (_, fields) = stat.rsplit_once(')').context("unexpected /proc/PID/stat")?;
    let ticks: u64 = fields.split_whitespace().skip(11).take(2).flat_map(str::parse::<u64>).sum();
    Ok(Duration::from_secs_f64(ticks as f64 / clock_ticks_per_second() as f64))
}

fn resident_kib(process: &Process) -> anyhow::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|it| it.split_whitespace().next()).context("no VmRSS")?;
    Ok(number.parse()?)
}
