//! Measures how long the decisions on one request take, and how that grows.
//!
//! Run it by `cargo run --release --example measure_routing`.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use galenastream::{
    ownership::{BootInstant, Epoch, KeyHash, ServiceId, SliceEpoch, SliceId, VmId},
    routing::{
        Admission, AdmissionLimits, Candidate, Class, Deadline, MemberLoads, Route, RouteCache,
        TicketLedger, TicketLimits, TicketResult,
    },
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SERVICE: ServiceId = ServiceId(1);
const SEED: u64 = 1;

fn main() {
    println!("{:<44}{:>12}{:>14}", "decision", "size", "ns each");
    for slices in [100, 1_000, 10_000, 100_000, 1_000_000] {
        print_row("hash a key and find its route (slices)", slices, measure_route(slices));
    }
    for members in [10, 100, 1_000, 10_000] {
        print_row("two random choices (targets)", members, measure_choice(members));
    }
    for waiting in [0, 8, 64] {
        print_row("admit and finish (waiting)", waiting, measure_admission(waiting));
    }
    for tickets in [100, 10_000, 1_000_000] {
        print_row("issue, begin and finish a ticket (kept)", tickets, measure_ticket(tickets));
    }
}

fn print_row(decision: &str, size: usize, each: Duration) {
    println!("{decision:<44}{size:>12}{:>14}", each.as_nanos());
}

fn measure(rounds: u32, mut decide: impl FnMut()) -> Duration {
    for _ in 0..rounds / 10 {
        decide();
    }
    let started = Instant::now();
    for _ in 0..rounds {
        decide();
    }
    started.elapsed() / rounds
}

fn measure_route(slices: usize) -> Duration {
    let mut cache = RouteCache::new();
    let width = u64::MAX / slices as u64;
    for index in 0..slices as u64 {
        let first = index * width;
        let route = Route {
            first: KeyHash(first),
            last: KeyHash(first + (width - 1)),
            epoch: Epoch(1),
            owner: VmId::from_bits(index % 64),
        };
        cache.learn(SERVICE, route);
    }
    let mut rng = StdRng::seed_from_u64(SEED);
    measure(1_000_000, || {
        let key = rng.random::<u64>().to_le_bytes();
        black_box(cache.find(SERVICE, KeyHash::of(&key)));
    })
}

fn measure_choice(members: usize) -> Duration {
    let candidates: Vec<Candidate> =
        (0..members as u64).map(|vm| Candidate { vm: VmId::from_bits(vm), slots: 20 }).collect();
    let mut loads = MemberLoads::new();
    let mut rng = StdRng::seed_from_u64(SEED);
    measure(1_000_000, || {
        let Some(vm) = loads.choose(&candidates, &mut rng) else {
            return;
        };
        loads.begin(vm);
        loads.finish(black_box(vm), 5_000);
    })
}

fn measure_admission(waiting: usize) -> Duration {
    let limits = AdmissionLimits {
        slots: 20,
        queue_limit: 128,
        queue_wait_ms: 60_000,
        retry_after_ms: 100,
        ramp_up_ms: 0,
    };
    let now = BootInstant::new(1);
    let mut admission = Admission::new(limits, now);
    let class = Class::new(0, 1);
    let deadline = Deadline::new(now, 60_000);
    let occupied = if waiting == 0 { 0 } else { limits.slots as usize + waiting };
    for _ in 0..occupied {
        admission.arrive(now, class, deadline);
    }
    measure(1_000_000, || {
        black_box(admission.arrive(now, class, deadline));
        black_box(admission.finish(now, Some(Duration::from_millis(1))));
    })
}

fn measure_ticket(tickets: usize) -> Duration {
    let assignment = SliceEpoch { slice: SliceId(1), epoch: Epoch(1) };
    let limits =
        TicketLimits { tickets_per_slice: tickets, kept_ms: u32::MAX, answer_bytes: usize::MAX };
    let mut ledger = TicketLedger::new(limits);
    let now = BootInstant::new(1);
    for _ in 0..tickets {
        ledger.issue(now, assignment);
    }
    measure(1_000_000, || {
        let ticket = ledger.issue(now, assignment);
        black_box(ledger.begin(now, assignment, ticket));
        ledger.finish(ticket, TicketResult::Ran { answer: 1_u64, size_bytes: 8 });
    })
}
