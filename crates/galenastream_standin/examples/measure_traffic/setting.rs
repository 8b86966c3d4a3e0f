//! The deployment that is measured, and the shape of the figures.

use std::time::Duration;

use galenastream_standin::{
    LoadClass, LoadEntry, LoadKind, LoadOutcome, LoadPlan, LoadSummary, LocalDeployment, VmOptions,
};

/// The service divided by key.
pub const KEYED: &str = "catalogue";

/// The service whose requests any target may take.
pub const UNDIVIDED: &str = "booking";

const PLACES: [&str; 4] = ["east", "south", "west", "north"];

/// Settings as small firms have them: few slots, two classes.
fn settings(slots: u32) -> String {
    let mut text = format!(
        "[defaults]\nslots = {slots}\nconnections = 110\ninitial_slices = 64\n\
         ramp_up_ms = 0\nmax_deadline_ms = 30000\n\
         classes = [\n    {{ name = \"reservation\", priority = 90 }},\n    \
         {{ name = \"listing\", priority = 20 }},\n]\ndefault_class = \"listing\"\n\n"
    );
    for place in PLACES {
        text += &format!("[places.{place}]\n");
    }
    for service in [KEYED, UNDIVIDED] {
        text += &format!("[services.{service}]\ndivided_by_key = {}\n", service == KEYED);
        for place in PLACES {
            text += &format!("[services.{service}.places.{place}]\n");
        }
    }
    text
}

/// Starts VMs of a service whose targets have so many slots and so long a service time.
pub async fn start(
    name: &str,
    service: &str,
    vms: usize,
    slots: u32,
    service_ms: f64,
) -> anyhow::Result<LocalDeployment> {
    let slots_text = slots.to_string();
    let service_ms_text = service_ms.to_string();
    let arguments = [
        "--check-grants",
        "--no-events",
        "--slots",
        &slots_text,
        "--backlog",
        &slots_text,
        "--service-ms",
        &service_ms_text,
    ];
    let mut options = Vec::new();
    for index in 0..vms {
        let place = PLACES[index % PLACES.len()];
        options.push(VmOptions::new(place, service).with_target_arguments(&arguments));
    }
    LocalDeployment::start(name, &settings(slots), &options).await
}

/// Reads of small answers, spread evenly over many keys.
pub fn even_plan(entry: LoadEntry, service: &str, seconds: u64) -> LoadPlan {
    let classes = vec![LoadClass::new("listing", LoadKind::Read, 100.0)];
    LoadPlan { zipf_exponent: 0.0, ..LoadPlan::new(entry, service, 1_000.0) }
        .with_classes(classes)
        .with_duration(Duration::from_secs(seconds), Duration::from_secs(1))
}

/// The heads of the columns of [`line`].
pub fn head() -> String {
    format!(
        "{:<28} {:>9} {:>8} {:>8} {:>8} {:>9} {:>6} {:>8} {:>8} {:>8} {:>11} {:>11}",
        "run",
        "offered/s",
        "ran/s",
        "not run",
        "unknown",
        "no answer",
        "wrong",
        "p50 ms",
        "p99 ms",
        "max ms",
        "refused p50",
        "refused p99"
    )
}

/// The figures of one run in one line.
pub fn line(name: &str, summary: &LoadSummary) -> String {
    let offered_per_s = summary.total() as f64 / summary.measured().as_secs_f64();
    format!(
        "{name:<28} {offered_per_s:>9.0} {:>8.0} {:>8} {:>8} {:>9} {:>6} {:>8.2} {:>8.2} {:>8.2} \
         {:>11.2} {:>11.2}",
        summary.rate_per_s(LoadOutcome::Ran),
        summary.count(LoadOutcome::NotRun),
        summary.count(LoadOutcome::Unknown),
        summary.count(LoadOutcome::NoAnswer),
        summary.count(LoadOutcome::Wrong),
        summary.ran_ms(50.0),
        summary.ran_ms(99.0),
        summary.ran_ms(100.0),
        summary.refused_ms(50.0),
        summary.refused_ms(99.0)
    )
}
