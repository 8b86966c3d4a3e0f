//! Complete counts of requests and attempts, logged at intervals.
//!
//! Lines about single requests are dropped under load. These counts are not, so they tell what an
//! overload consists of.

use std::{collections::BTreeMap, fmt, time::Duration};

use galenastream_utils::FastMap;

/// Counts of the requests that entered at this node and of their attempts, by service.
#[derive(Debug, Default)]
pub struct TrafficTally {
    services: FastMap<String, ServiceTally>,
}

#[derive(Debug, Default)]
struct ServiceTally {
    outcomes: Tallies,
    attempts: Tallies,
    unreachable_attempts: Tallies,
}

/// Count and total duration by word.
#[derive(Debug, Default)]
struct Tallies(BTreeMap<&'static str, Tally>);

#[derive(Debug, Default)]
struct Tally {
    count: u32,
    total: Duration,
}

impl TrafficTally {
    /// Counts the end of a request.
    pub fn add_request(&mut self, service: &str, outcome: &'static str, elapsed: Duration) {
        self.service(service).outcomes.add(outcome, elapsed);
    }

    /// Counts the end of an attempt. `is_reachable` tells whether the node was believed to be
    /// reachable when the attempt began.
    pub fn add_attempt(
        &mut self,
        service: &str,
        reason: &'static str,
        is_reachable: bool,
        elapsed: Duration,
    ) {
        let tally = self.service(service);
        match is_reachable {
            true => tally.attempts.add(reason, elapsed),
            false => tally.unreachable_attempts.add(reason, elapsed),
        }
    }

    /// Logs the counts of each service and starts again from zero.
    pub fn log_and_reset(&mut self) {
        for (service, tally) in self.services.drain() {
            log::info!(
                event = "traffic_summary",
                service = service.as_str(),
                outcomes:% = tally.outcomes,
                attempts:% = tally.attempts,
                unreachable_attempts:% = tally.unreachable_attempts;
                ""
            );
        }
    }

    fn service(&mut self, service: &str) -> &mut ServiceTally {
        self.services.entry(service.to_owned()).or_default()
    }
}

impl Tallies {
    fn add(&mut self, word: &'static str, elapsed: Duration) {
        let tally = self.0.entry(word).or_default();
        tally.count += 1;
        tally.total += elapsed;
    }
}

/// Formats the counts as `word=count/total ms`, separated by spaces.
impl fmt::Display for Tallies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (word, tally)) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{word}={}/{}", tally.count, tally.total.as_millis())?;
        }
        Ok(())
    }
}
