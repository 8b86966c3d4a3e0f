//! Shows a deployment on loopback: requests for a key reach its only owner through every node, an
//! order runs once, and the keys of a crashed target are served again.
//!
//! Run it with `tools/demo.sh`, which also builds `galenastreamd`.

use std::{
    path::PathBuf,
    process::ExitCode,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use galenastream_standin::{CallerAnswer, DeploymentPlan, LocalDeployment, LocalVm, wait_until};

const KEYS: [u16; 6] = [0, 9_000, 20_000, 33_000, 47_000, 65_535];

/// How long the keys of a crashed target may be unavailable while its VM and node still run.
const UNAVAILABILITY_TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() -> ExitCode {
    let result = tokio::select! {
        result = run() => result,
        _ = tokio::signal::ctrl_c() => Err(anyhow::anyhow!("interrupted")),
    };
    match result {
        Ok(()) => {
            println!("\nEvery step succeeded.");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("\nA step failed: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> anyhow::Result<()> {
    print_step("Start a store, and four VMs with a node and a target each");
    let plan = DeploymentPlan::shop("demo", program()?, &["carts", "carts", "stock", "stock"]);
    let mut deployment = LocalDeployment::start(&plan).await?;
    for vm in &deployment.vms {
        println!(
            "  {} at {} is ready; its target holds {} keys",
            vm.name,
            vm.ip,
            vm.target.key_count()
        );
    }
    show_reads(&deployment).await?;
    show_order(&deployment).await?;
    show_crash(&mut deployment).await?;
    deployment.close()
}

async fn show_reads(deployment: &LocalDeployment) -> anyhow::Result<()> {
    print_step(
        "Read each key through every node: the same target answers, wherever the request enters",
    );
    for key in KEYS {
        let mut targets = read_through_all(deployment, key, "read").await?;
        if let [old, new] = &targets[..] {
            // The planner may move a key between two reads. From then on, all nodes must agree.
            println!("  key {key}: moved from {old} to {new} while it was read");
            let again = read_through_all(deployment, key, "again").await?;
            ensure!(
                again == [new.clone()],
                "key {key} was answered by {targets:?}, then {again:?}"
            );
            targets = again;
        }
        ensure!(targets.len() == 1, "key {key} was answered by {targets:?}");
        println!("  key {key}: answered by {} through all nodes", targets[0]);
    }
    Ok(())
}

/// Reads a key through each node in turn and returns the targets that answered, without
/// repetitions in a row.
async fn read_through_all(
    deployment: &LocalDeployment,
    key: u16,
    name: &str,
) -> anyhow::Result<Vec<String>> {
    let mut targets = Vec::new();
    for vm in &deployment.vms {
        let answer = read(vm, key, &format!("{name}-{key}-{}", vm.name)).await?;
        ensure!(answer.status == 200, "key {key} through {}: {answer:?}", vm.name);
        targets.push(target_of(&answer));
    }
    targets.dedup();
    Ok(targets)
}

async fn show_order(deployment: &LocalDeployment) -> anyhow::Result<()> {
    print_step("Place an order, which may run only once");
    let mut caller = deployment.vms[0].caller().await?;
    let answer = caller.post("/orders/1", "order-1").await.context("the order got no answer")?;
    ensure!(answer.status == 200, "the order: {answer:?}");
    let runs = deployment.histories().into_iter().flat_map(|it| it.runs);
    let runs = runs.filter(|it| it.request_id == "order-1").count();
    ensure!(runs == 1, "the order ran {runs} times");
    println!("  {}", answer.body);
    Ok(())
}

async fn show_crash(deployment: &mut LocalDeployment) -> anyhow::Result<()> {
    print_step("Crash the target that holds key 0, and wait until the key is served again");
    let owner = target_of(&read(&deployment.vms[2], 0, "before").await?);
    let index = deployment.vms.iter().position(|vm| vm.target.history().id == owner);
    let index = index.with_context(|| format!("there is no target {owner}"))?;
    deployment.vms[index].target.crash();
    let crashed_at = Instant::now();
    let caller = &deployment.vms[2];
    let mut number = 0;
    let mut new_owner = owner.clone();
    wait_until("key 0 to be served again", UNAVAILABILITY_TIMEOUT, async || {
        number += 1;
        let answer = read(caller, 0, &format!("after-{number}")).await;
        answer.is_ok_and(|it| {
            new_owner = target_of(&it);
            it.status == 200
        })
    })
    .await?;
    ensure!(new_owner != owner, "the crashed target answered");
    println!("  key 0: served by {new_owner} instead of {owner} after {:?}", crashed_at.elapsed());
    Ok(())
}

async fn read(vm: &LocalVm, key: u16, id: &str) -> anyhow::Result<CallerAnswer> {
    let answer = vm.caller().await?.get("/carts/1", id, Some(key)).await;
    answer.with_context(|| format!("{id} got no answer"))
}

/// Returns the id of the target that ran a request, which is the first word of the answer.
fn target_of(answer: &CallerAnswer) -> String {
    answer.body.split(' ').next().unwrap_or_default().to_owned()
}

/// Returns the path of `galenastreamd`, in the folder above that of this example.
fn program() -> anyhow::Result<PathBuf> {
    let current = std::env::current_exe().context("cannot find the running program")?;
    let folder = current.parent().and_then(|it| it.parent());
    Ok(folder
        .context("the example is not in a target folder of Cargo; run it with tools/demo.sh")?
        .join("galenastreamd"))
}

fn print_step(title: &str) {
    println!("\n{title}");
}
