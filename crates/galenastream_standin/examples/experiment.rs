//! Runs a scenario with several seeds and writes a report.
//!
//! Run it with `tools/experiment.sh DAY`, which also builds `galenastreamd`. `DAY` is the file of a
//! scenario.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::Context;
use clap::{Arg, ArgMatches, Command, value_parser};
use galenastream_standin::{ScenarioPlan, run_scenario, write_report};

#[tokio::main]
async fn main() -> ExitCode {
    match run(&command().get_matches()).await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(violations) => {
            println!("{violations} violations of invariants; see the report");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("experiment: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("experiment")
        .about(
            "Runs a scenario with real nodes on loopback, with several seeds, and writes a report",
        )
        .arg(
            Arg::new("day")
                .value_name("DAY")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The file of the scenario, in TOML; examples/days has some"),
        )
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The executable of the nodes, galenastreamd"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .default_value("3")
                .value_parser(value_parser!(u64).range(1..=1_000))
                .help("How many runs; their seeds are 1 to N"),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("FOLDER")
                .default_value("target/experiment")
                .value_parser(value_parser!(PathBuf))
                .help("The folder of the report"),
        )
}

/// Runs the scenario with all seeds and returns the number of violations.
async fn run(matches: &ArgMatches) -> anyhow::Result<usize> {
    let scenario = ScenarioPlan::load(path(matches, "day")?)?;
    let (program, report) = (path(matches, "program")?, path(matches, "report")?);
    let seeds = *matches.get_one::<u64>("seeds").context("the number of seeds is missing")?;
    let mut runs = Vec::new();
    for seed in 1..=seeds {
        let run = run_scenario(&scenario, program, seed).await?;
        println!(
            "{} seed {seed}: {} violations of invariants\n{}",
            scenario.name,
            run.violations.len(),
            run.summary
        );
        for violation in &run.violations {
            println!("  {violation}");
        }
        runs.push(run);
    }
    write_report(&scenario, &runs, report)?;
    println!("the report is {}", report.join("report.md").display());
    Ok(runs.iter().map(|it| it.violations.len()).sum())
}

fn path<'a>(matches: &'a ArgMatches, name: &str) -> anyhow::Result<&'a Path> {
    let path = matches.get_one::<PathBuf>(name);
    path.map(PathBuf::as_path).with_context(|| format!("the argument {name} is missing"))
}
