//! Suggestions for misspelt names.

use crate::FIELDS;

/// The minimum Jaro-Winkler similarity of a suggested name.
const MIN_SIMILARITY: f64 = 0.75;

/// The units in which names of fields end, and others that users may write instead.
const UNITS: &[&str] = &[
    "ms",
    "s",
    "sec",
    "secs",
    "seconds",
    "millis",
    "milliseconds",
    "us",
    "ns",
    "m",
    "min",
    "minutes",
    "h",
    "hours",
    "bytes",
    "b",
    "kb",
    "kib",
    "mb",
    "mib",
    "percent",
    "pct",
    "ratio",
    "share",
];

/// Returns the known name that is most similar to a misspelt one, if it is similar enough.
pub fn suggest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let mut best: Option<(f64, &str)> = None;
    for candidate in known {
        let similarity = strsim::jaro_winkler(name, candidate);
        if similarity < MIN_SIMILARITY {
            continue;
        }
        if best.is_none_or(|(best_similarity, _)| best_similarity < similarity) {
            best = Some((similarity, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// Returns the name of the field that differs from `name` only in its unit.
pub(crate) fn find_field_ignoring_unit(name: &str) -> Option<&'static str> {
    let stem = strip_unit(name);
    for spec in FIELDS {
        let spec_stem = strip_unit(spec.name);
        if spec_stem != spec.name && spec_stem == stem {
            return Some(spec.name);
        }
    }
    None
}

fn strip_unit(name: &str) -> &str {
    match name.rsplit_once('_') {
        Some((stem, unit)) if UNITS.contains(&unit) => stem,
        _ => name,
    }
}
