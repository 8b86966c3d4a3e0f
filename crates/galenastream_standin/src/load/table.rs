//! A summary as a text table.

use std::fmt;

use super::{ClassSummary, LoadOutcome, LoadSummary};

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<12} {:>9} {:>9}", "class", "requests", "ran/s")?;
        for outcome in LoadOutcome::ALL {
            write!(f, " {:>9}", outcome.name())?;
        }
        writeln!(
            f,
            " {:>8} {:>8} {:>8} {:>8} {:>11} {:>11}",
            "p50 ms", "p99 ms", "p99.9 ms", "max ms", "refused p50", "refused p99"
        )?;
        for class in &self.classes {
            write_class(f, class, self.measured().as_secs_f64())?;
        }
        let mut targets: Vec<(&String, &u64)> = self.targets.iter().collect();
        targets.sort();
        for (target, count) in targets {
            writeln!(f, "{target:<12} {count:>9} ran")?;
        }
        Ok(())
    }
}

fn write_class(f: &mut fmt::Formatter<'_>, class: &ClassSummary, measured_s: f64) -> fmt::Result {
    let ran_per_s = class.count(LoadOutcome::Ran) as f64 / measured_s;
    write!(f, "{:<12} {:>9} {ran_per_s:>9.0}", class.name, class.total())?;
    for outcome in LoadOutcome::ALL {
        write!(f, " {:>9}", class.count(outcome))?;
    }
    for percentile in [50.0, 99.0, 99.9, 100.0] {
        write!(f, " {:>8}", format_ms(class.ran_latency_ms(percentile)))?;
    }
    let (p50, p99) = (class.refused_latency_ms(50.0), class.refused_latency_ms(99.0));
    writeln!(f, " {:>11} {:>11}", format_ms(p50), format_ms(p99))
}

/// Formats a latency in milliseconds, or a dash if there were no requests.
fn format_ms(value_ms: f64) -> String {
    if value_ms.is_nan() { "-".to_owned() } else { format!("{value_ms:.2}") }
}
