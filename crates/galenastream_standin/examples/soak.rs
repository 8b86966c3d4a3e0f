//! Runs the fault soak: random deployments, traffic and faults, drawn from seeds.
//!
//! Run it with `tools/soak.sh`, which also builds `galenastreamd`.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use futures::{StreamExt, stream};
use galenastream_standin::{LoadOutcome, ScenarioRun, SoakKind, SoakSeed, run_scenario};
use tokio::signal::unix::{SignalKind, signal};

/// How many violations of one kind are printed for a seed.
const MAX_PRINTED: usize = 4;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    // Dropping the run ends the processes that it has started.
    let result = tokio::select! {
        result = run(&matches) => result,
        () = interrupted() => Err(anyhow::anyhow!("interrupted")),
    };
    match result {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            println!("{failed} seeds failed");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Waits for SIGINT or SIGTERM.
async fn interrupted() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        eprintln!("soak: SIGTERM would leave processes running, as its handler cannot be set");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
}

fn command() -> Command {
    let number = |name, default, help| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64).range(1..))
            .help(help)
    };
    Command::new("soak")
        .about("Runs real nodes on loopback under random faults and checks what callers and targets see")
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The executable of the nodes, galenastreamd"),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_name("KIND")
                .default_value("faults")
                .value_parser(["faults", "ownership", "crashes"])
                .help("The kind of the scenarios"),
        )
        .arg(number("first", "1", "The first seed"))
        .arg(number("seeds", "3", "How many seeds to run"))
        .arg(number("max-vms", "12", "The most VMs of a deployment"))
        .arg(number("jobs", "1", "How many seeds run at the same time"))
        .arg(
            Arg::new("regressions")
                .long("regressions")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Runs the seeds of this file instead, as in examples/soak/seeds.toml"),
        )
        .arg(
            Arg::new("print-plan")
                .long("print-plan")
                .action(ArgAction::SetTrue)
                .help("Prints the scenarios and runs none"),
        )
}

/// Runs all seeds and returns how many had violations.
async fn run(matches: &ArgMatches) -> anyhow::Result<usize> {
    let number = |name: &str| {
        matches.get_one::<u64>(name).copied().with_context(|| format!("{name} is missing"))
    };
    let kind = match matches.get_one::<String>("kind").map(String::as_str) {
        Some("ownership") => SoakKind::Ownership,
        Some("crashes") => SoakKind::Crashes,
        _ => SoakKind::Faults,
    };
    let (first, max_vms) = (number("first")?, usize::try_from(number("max-vms")?)?);
    let seeds = match matches.get_one::<PathBuf>("regressions") {
        Some(file) => SoakSeed::load_all(file)?,
        None => {
            (first..first + number("seeds")?).map(|it| SoakSeed::new(kind, it, max_vms)).collect()
        }
    };
    if matches.get_flag("print-plan") {
        for seed in seeds {
            println!("{:#?}", seed.scenario());
        }
        return Ok(0);
    }
    let program: &Path = matches.get_one::<PathBuf>("program").context("the program is missing")?;
    let runs = stream::iter(seeds).map(|seed| async move {
        let scenario = seed.scenario();
        let result = run_scenario(&scenario, program, seed.seed).await;
        (seed, scenario, result)
    });
    let mut runs = runs.buffer_unordered(usize::try_from(number("jobs")?)?);
    let mut failed = 0;
    while let Some((seed, scenario, result)) = runs.next().await {
        let head = format!(
            "{:?} seed {} of up to {} VMs: {} VMs, {} faults",
            seed.kind,
            seed.seed,
            seed.max_vms,
            scenario.vms.len(),
            scenario.faults.len()
        );
        match result {
            Ok(run) => {
                println!(
                    "{head}, {} requests, {} ran, {} denied, {} violations",
                    run.summary.total(),
                    run.summary.count(LoadOutcome::Ran),
                    run.summary.count(LoadOutcome::Denied),
                    run.violations.len()
                );
                print_violations(&run);
                failed += usize::from(!run.violations.is_empty());
            }
            Err(error) => {
                println!("{head}, did not run to its end: {error:#}");
                failed += 1;
            }
        }
    }
    Ok(failed)
}

fn print_violations(run: &ScenarioRun) {
    let mut by_kind: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for violation in &run.violations {
        by_kind.entry(violation.kind()).or_default().push(violation.to_string());
    }
    for (kind, texts) in &by_kind {
        println!("  {kind}: {}", texts.len());
        for text in texts.iter().take(MAX_PRINTED) {
            println!("    {text}");
        }
    }
    if let Some(logs) = &run.logs {
        println!("{}  logs: {}", run.summary, logs.display());
    }
}
