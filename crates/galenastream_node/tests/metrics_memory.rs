//! Tests of the memory of the metrics, in a process of their own.

use std::time::{Duration, Instant};

use galenastream_node::{maintain_recorder, metrics_recorder, metrics_recorder_with_idle_time};
use metrics::{counter, histogram, with_local_recorder};

const WORKS: &str = "the recorder works";

/// Samples between two upkeeps, and the number of upkeeps. Together, the samples take 50 MB.
const SAMPLES: usize = 50_000;
const UPKEEPS: u32 = 60;

/// Routes that are requested once, and how many of them are new between two upkeeps. Together, they
/// take 30 MB.
const ROUTES: usize = 20_000;
const NEW_ROUTES: usize = 500;

/// By how much the memory may grow in each test.
const MAX_GROWTH_KB: u64 = 10_000;

/// How long idle metrics may take to be removed.
const TIMEOUT: Duration = Duration::from_secs(10);

fn memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect(WORKS);
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).expect(WORKS);
    line.trim().trim_end_matches(" kB").parse().expect(WORKS)
}

/// Guards against samples of request times that are kept until somebody reads the metrics, and against
/// metrics of routes that are gone. One test, since both measure the memory of the process.
#[test]
fn metrics_that_nobody_reads_do_not_fill_the_memory() {
    let recorder = metrics_recorder().expect(WORKS).build_recorder();
    let handle = recorder.handle();
    let before_kb = memory_kb();
    with_local_recorder(&recorder, || {
        for upkeep in 1..=UPKEEPS {
            for _ in 0..SAMPLES {
                histogram!("seconds", "route" => "r").record(0.01);
            }
            maintain_recorder(&handle, upkeep);
        }
    });
    let growth_kb = memory_kb().saturating_sub(before_kb);
    assert!(growth_kb < MAX_GROWTH_KB, "{growth_kb} kB for samples");
    let count = format!("seconds_count{{route=\"r\"}} {}", SAMPLES * UPKEEPS as usize);
    assert!(handle.render().contains(&count), "no sample is lost: {}", handle.render());

    let idle_time = Duration::from_millis(1);
    let recorder = metrics_recorder_with_idle_time(idle_time).expect(WORKS).build_recorder();
    let handle = recorder.handle();
    let before_kb = memory_kb();
    with_local_recorder(&recorder, || {
        for first in (0..ROUTES).step_by(NEW_ROUTES) {
            for route in first..first + NEW_ROUTES {
                let route = format!("route-{route}");
                counter!("requests", "route" => route.clone()).increment(1);
                histogram!("seconds", "route" => route).record(0.01);
            }
            // A removal sees a metric first, and later that it has not changed.
            let began_at = Instant::now();
            while handle.render().contains("route-") {
                assert!(began_at.elapsed() < TIMEOUT, "idle metrics are removed");
                maintain_recorder(&handle, 0);
            }
        }
    });
    let growth_kb = memory_kb().saturating_sub(before_kb);
    assert!(growth_kb < MAX_GROWTH_KB, "{growth_kb} kB for routes");
}
