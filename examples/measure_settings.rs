//! Measures how long a node takes to read a version of the settings and to look settings up.
//!
//! Run it by `cargo run --release --example measure_settings`.

use std::{
    fmt::Write,
    hint::black_box,
    time::{Duration, Instant},
};

use galenastream::{
    ownership::{PlaceId, ServiceId},
    settings::SettingsTree,
};

/// How many places a region has.
const PLACES_PER_REGION: usize = 8;
/// How often each tree is read; the shortest time counts.
const READS: usize = 5;
const LOOK_UPS: u32 = 1_000_000;

/// How large a tree is. Each service overrides a field in each place and each key range.
#[derive(Clone, Copy)]
struct TreeSize {
    services: usize,
    places: usize,
    key_ranges: usize,
}

fn main() {
    println!(
        "{:>9}{:>8}{:>12}{:>12}{:>12}{:>16}{:>14}",
        "services", "places", "key ranges", "bytes", "read ms", "first look-up", "look-up ns"
    );
    let sizes = [(3, 4, 2), (10, 8, 5), (50, 16, 10), (100, 32, 20), (250, 32, 20)];
    for (services, places, key_ranges) in sizes {
        print_row(TreeSize { services, places, key_ranges });
    }
}

fn print_row(size: TreeSize) {
    let toml = write_tree(size);
    let (tree, read) = measure_read(&toml);
    let first = measure_first_look_up(&tree);
    println!(
        "{:>9}{:>8}{:>12}{:>12}{:>12.2}{:>13} us{:>14}",
        size.services,
        size.places,
        size.key_ranges,
        toml.len(),
        read.as_secs_f64() * 1_000.0,
        first.as_micros(),
        measure_look_up(&tree, size).as_nanos(),
    );
}

fn write_tree(size: TreeSize) -> String {
    let mut toml = String::from("[defaults]\n");
    for place in 0..size.places {
        let region = place / PLACES_PER_REGION;
        let _ = writeln!(toml, "[places.p{place}]\nregion = \"r{region}\"");
    }
    for service in 0..size.services {
        let path = format!("services.s{service}");
        let _ = writeln!(toml, "[{path}]\nslots = {}", service + 1);
        for place in 0..size.places {
            let _ = writeln!(toml, "[{path}.places.p{place}]\nqueue_limit = {}", place + 1);
        }
        for range in 0..size.key_ranges {
            let _ = writeln!(toml, "[{path}.key_ranges.r{range}]\nkey_prefix = \"k{range}/\"");
            let _ = writeln!(toml, "retry_after_ms = {}", range + 1);
        }
    }
    toml
}

fn measure_read(toml: &str) -> (SettingsTree, Duration) {
    let read = || SettingsTree::parse("tree.toml", toml).expect("the tree is valid");
    let mut shortest = Duration::MAX;
    for _ in 0..READS {
        let started = Instant::now();
        black_box(read());
        shortest = shortest.min(started.elapsed());
    }
    (read(), shortest)
}

fn measure_first_look_up(tree: &SettingsTree) -> Duration {
    let started = Instant::now();
    black_box(tree.effective(ServiceId::from_name("s0"), PlaceId::from_name("p0"), b"k0/a"));
    started.elapsed()
}

fn measure_look_up(tree: &SettingsTree, size: TreeSize) -> Duration {
    let service = ServiceId::from_name("s1");
    let place = PlaceId::from_name("p1");
    let keys: Vec<String> = (0..=size.key_ranges).map(|range| format!("k{range}/key")).collect();
    let started = Instant::now();
    for index in 0..LOOK_UPS as usize {
        let key = &keys[index % keys.len()];
        black_box(tree.effective(service, place, black_box(key.as_bytes())));
    }
    started.elapsed() / LOOK_UPS
}
