//! Finds the known name that was probably meant.

use crate::FIELDS;

/// Names that are less similar than this are not suggested.
const MIN_SIMILARITY: f64 = 0.75;

/// Units that stand at the end of names of fields, and others that people write.
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

/// The most similar of the known names, if it is similar enough.
///
/// Use it to help whoever mistyped a name.
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

/// The field that `name` would be with another unit.
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
