//! Plays a day over several seeds and writes a report.
//!
//! Run it by `tools/experiment.sh DAY.toml`, which also builds the program that it starts.

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
            println!("{violations} breaches; see the report");
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
        .about("Plays a day with real nodes on loopback, over several seeds, and writes a report")
        .arg(
            Arg::new("day")
                .value_name("DAY")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The day, in TOML; examples/days has some"),
        )
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The program of the nodes, galenastreamd"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .default_value("3")
                .value_parser(value_parser!(u64).range(1..=1_000))
                .help("How many seeds, from 1 on"),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("FOLDER")
                .default_value("target/experiment")
                .value_parser(value_parser!(PathBuf))
                .help("Where the report goes"),
        )
}

/// Returns how many breaches there were.
async fn run(matches: &ArgMatches) -> anyhow::Result<usize> {
    let scenario = ScenarioPlan::load(path(matches, "day")?)?;
    let (program, report) = (path(matches, "program")?, path(matches, "report")?);
    let seeds = *matches.get_one::<u64>("seeds").context("clap gives the seeds")?;
    let mut runs = Vec::new();
    for seed in 1..=seeds {
        let run = run_scenario(&scenario, program, seed).await?;
        println!(
            "{} seed {seed}: {} breaches\n{}",
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
    path.map(PathBuf::as_path).with_context(|| format!("clap gives {name}"))
}
