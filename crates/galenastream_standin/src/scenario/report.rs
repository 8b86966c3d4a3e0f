//! The report of an experiment.

use std::{fmt::Write, fs, path::Path};

use anyhow::Context;

use super::{ScenarioPlan, ScenarioRun};
use crate::{LoadOutcome, write_chart};

/// Writes `report.md` and one picture a run into a folder.
pub fn write_report(
    scenario: &ScenarioPlan,
    runs: &[ScenarioRun],
    folder: &Path,
) -> anyhow::Result<()> {
    fs::create_dir_all(folder)
        .with_context(|| format!("cannot create {}; check its permissions", folder.display()))?;
    for run in runs {
        let title = format!("{}, seed {}", scenario.name, run.seed);
        write_chart(&run.summary, &title, &folder.join(picture(scenario, run)))?;
    }
    let file = folder.join("report.md");
    fs::write(&file, to_text(scenario, runs)?)
        .with_context(|| format!("cannot write {}", file.display()))
}

fn picture(scenario: &ScenarioPlan, run: &ScenarioRun) -> String {
    format!("{}-{}.svg", scenario.name, run.seed)
}

fn to_text(scenario: &ScenarioPlan, runs: &[ScenarioRun]) -> anyhow::Result<String> {
    let mut text = String::new();
    writeln!(text, "# {}\n", scenario.name)?;
    writeln!(
        text,
        "{} VMs, {} requests a second for {:?}, {} faults.\n",
        scenario.vms.len(),
        scenario.rate_per_s,
        scenario.length,
        scenario.faults.len()
    )?;
    writeln!(
        text,
        "| seed | requests | ran | failed | not run | unknown | no answer | p50 ms | p99 ms | refused p99 ms | imbalance | breaches |"
    )?;
    writeln!(text, "|---|---|---|---|---|---|---|---|---|---|---|---|")?;
    for run in runs {
        let summary = &run.summary;
        write!(text, "| {} | {}", run.seed, summary.total())?;
        for outcome in [
            LoadOutcome::Ran,
            LoadOutcome::Failed,
            LoadOutcome::NotRun,
            LoadOutcome::Unknown,
            LoadOutcome::NoAnswer,
        ] {
            write!(text, " | {}", summary.count(outcome))?;
        }
        writeln!(
            text,
            " | {:.1} | {:.1} | {:.1} | {:.2} | {} |",
            summary.ran_ms(50.0),
            summary.ran_ms(99.0),
            summary.refused_ms(99.0),
            summary.imbalance(),
            run.violations.len()
        )?;
    }
    for run in runs {
        writeln!(text, "\n## Seed {}\n", run.seed)?;
        writeln!(text, "![seed {}]({})\n", run.seed, picture(scenario, run))?;
        for violation in &run.violations {
            writeln!(text, "- {violation}")?;
        }
        writeln!(text, "```text\n{}```", run.summary)?;
    }
    Ok(text)
}
