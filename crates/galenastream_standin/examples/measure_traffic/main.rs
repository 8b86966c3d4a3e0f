//! Measures traffic through nodes against baselines in the same run.
//!
//! Run it by `tools/measure-traffic.sh`, which also builds the programs that it starts.

mod faults;
mod overload;
mod path_cost;
mod processor;
mod setting;

use clap::{Arg, ArgAction, Command};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(6);
    let reports = matches.get_flag("reports");
    match matches.subcommand_name() {
        Some("path") => path_cost::measure(seconds).await,
        Some("overload") => overload::measure(seconds, reports).await,
        _ => faults::measure(seconds).await,
    }
}

fn command() -> Command {
    Command::new("measure_traffic")
        .about("Measures traffic through nodes against baselines in the same run")
        .subcommand_required(true)
        .subcommand(Command::new("path").about("What the way through the nodes costs"))
        .subcommand(Command::new("overload").about("Goodput and refusals up to twice the capacity"))
        .subcommand(Command::new("faults").about("One frozen, one slow, one lying target"))
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("S")
                .global(true)
                .value_parser(clap::value_parser!(u64).range(3..=60))
                .default_value("6")
                .help("How long each step lasts; its first second is left out"),
        )
        .arg(
            Arg::new("reports")
                .long("reports")
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Write an SVG picture of each step into the current folder"),
        )
}
