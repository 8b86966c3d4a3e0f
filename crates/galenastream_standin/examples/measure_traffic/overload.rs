//! Goodput, latency of what is admitted and of what is refused, up to twice the capacity.

use std::path::PathBuf;

use galenastream_standin::{
    LoadClass, LoadEntry, LoadKind, LoadOutcome, LoadPlan, run_load, write_chart,
};

use crate::setting::{KEYED, even_plan, head, line, start};

const VMS: usize = 3;
const SLOTS: u32 = 6;
const SERVICE_MS: f64 = 10.0;

/// Offered rates as shares of the capacity.
const LOADS_PERCENT: [u32; 6] = [50, 80, 100, 120, 150, 200];

/// Measures goodput at rising loads, through nodes and directly.
pub async fn measure(seconds: u64, reports: bool) -> anyhow::Result<()> {
    let deployment = start("overload", KEYED, VMS, SLOTS, SERVICE_MS).await?;
    let capacity_per_s = VMS as f64 * f64::from(SLOTS) * 1_000.0 / SERVICE_MS;
    println!("capacity at most {capacity_per_s:.0} requests a second");
    println!("{}", head());
    let ways = [
        ("nodes", LoadEntry::Nodes(deployment.entries())),
        ("direct", LoadEntry::Targets(deployment.targets())),
    ];
    for (name, entry) in &ways {
        let mut peak_per_s: f64 = 0.0;
        let mut last_per_s = 0.0;
        for load_percent in LOADS_PERCENT {
            let rate_per_s = capacity_per_s * f64::from(load_percent) / 100.0;
            let plan = plan(entry.clone(), seconds).with_rate_per_s(rate_per_s);
            let summary = run_load(&plan).await?;
            let run = format!("{name}, {load_percent}%");
            println!("{}", line(&run, &summary));
            if load_percent > 100 {
                print!("{summary}");
            }
            if reports {
                let file = PathBuf::from(format!("overload-{name}-{load_percent}.svg"));
                write_chart(&summary, &run, &file)?;
            }
            last_per_s = summary.rate_per_s(LoadOutcome::Ran);
            peak_per_s = peak_per_s.max(last_per_s);
        }
        println!(
            "{name}: goodput at twice the capacity {last_per_s:.0}/s, {:.1}% of the peak",
            100.0 * last_per_s / peak_per_s
        );
    }
    deployment.close()
}

fn plan(entry: LoadEntry, seconds: u64) -> LoadPlan {
    even_plan(entry, KEYED, seconds).with_classes(vec![
        LoadClass::new("reservation", LoadKind::Write, 20.0).with_deadline_ms(1_000),
        LoadClass::new("listing", LoadKind::Read, 80.0).with_deadline_ms(250),
    ])
}
