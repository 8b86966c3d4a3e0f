//! The main job on one machine: every key reaches its one owner, a target is lost, its keys are
//! served again.
//!
//! Run it by `tools/demo.sh`, which also builds the program that it starts.

use std::{
    path::PathBuf,
    process::ExitCode,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use galenastream_standin::{CallerAnswer, DeploymentPlan, LocalDeployment, LocalVm, wait_until};

const KEYS: [u16; 6] = [0, 9_000, 20_000, 33_000, 47_000, 65_535];

/// Within what time the keys of a lost target shall be served again, if its VM lives.
const UNAVAILABLE_LIMIT: Duration = Duration::from_secs(5);

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
    step("Start a store, and four VMs with a node and a target each");
    let plan = DeploymentPlan::shop("demo", program()?, &["carts", "carts", "stock", "stock"]);
    let mut deployment = LocalDeployment::start(&plan).await?;
    for vm in &deployment.vms {
        println!(
            "  {} at {} serves; its target holds {} keys",
            vm.name,
            vm.ip,
            vm.target.key_count()
        );
    }
    show_reads(&deployment).await?;
    show_order(&deployment).await?;
    show_loss(&mut deployment).await?;
    deployment.close()
}

async fn show_reads(deployment: &LocalDeployment) -> anyhow::Result<()> {
    step("Read each key through every node: one target answers, wherever the request enters");
    for key in KEYS {
        let mut targets = Vec::new();
        for vm in &deployment.vms {
            let answer = read(vm, key, &format!("read-{key}-{}", vm.name)).await?;
            ensure!(answer.status == 200, "key {key} through {}: {answer:?}", vm.name);
            targets.push(target_of(&answer));
        }
        targets.dedup();
        ensure!(targets.len() == 1, "key {key} was answered by {targets:?}");
        println!("  key {key}: answered by {} through all nodes", targets[0]);
    }
    Ok(())
}

async fn show_order(deployment: &LocalDeployment) -> anyhow::Result<()> {
    step("Place an order that may run only once");
    let mut caller = deployment.vms[0].caller().await?;
    let answer = caller.post("/orders/1", "order-1").await.context("the order got no answer")?;
    ensure!(answer.status == 200, "the order: {answer:?}");
    let runs = deployment.histories().into_iter().flat_map(|it| it.runs);
    let runs = runs.filter(|it| it.request_id == "order-1").count();
    ensure!(runs == 1, "the order ran {runs} times");
    println!("  {}", answer.body);
    Ok(())
}

async fn show_loss(deployment: &mut LocalDeployment) -> anyhow::Result<()> {
    step("Lose the target that holds key 0, and wait until the key is served again");
    let owner = target_of(&read(&deployment.vms[2], 0, "before").await?);
    let index = deployment.vms.iter().position(|vm| vm.target.history().id == owner);
    let index = index.with_context(|| format!("{owner} is none of the targets"))?;
    deployment.vms[index].target.crash();
    let lost_at = Instant::now();
    let caller = &deployment.vms[2];
    let mut number = 0;
    let mut heir = owner.clone();
    wait_until("key 0 to be served again", UNAVAILABLE_LIMIT, async || {
        number += 1;
        let answer = read(caller, 0, &format!("after-{number}")).await;
        answer.is_ok_and(|it| {
            heir = target_of(&it);
            it.status == 200
        })
    })
    .await?;
    ensure!(heir != owner, "the lost target answered");
    println!("  key 0: served by {heir} instead of {owner} after {:?}", lost_at.elapsed());
    Ok(())
}

async fn read(vm: &LocalVm, key: u16, id: &str) -> anyhow::Result<CallerAnswer> {
    let answer = vm.caller().await?.get("/carts/1", id, Some(key)).await;
    answer.with_context(|| format!("{id} got no answer"))
}

fn target_of(answer: &CallerAnswer) -> String {
    answer.body.split(' ').next().unwrap_or_default().to_owned()
}

/// `galenastreamd`, next to this example.
fn program() -> anyhow::Result<PathBuf> {
    let current = std::env::current_exe().context("cannot find the running program")?;
    let folder = current.parent().and_then(|it| it.parent());
    Ok(folder.context("the example is not in cargo's target folder")?.join("galenastreamd"))
}

fn step(title: &str) {
    println!("\n{title}");
}
