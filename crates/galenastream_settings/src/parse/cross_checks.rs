//! Checks between the fields that apply together.

use crate::{
    EffectiveSettings, FieldId, Layers, Level, Origin, SettingsErrorKind, parse::document::Document,
};

/// A lease, a promise or a term lasts at least this many of its renewal intervals.
const MIN_INTERVALS: u32 = 3;

/// Checks the fields that apply together, and resolves them.
pub(crate) fn resolve(
    document: &mut Document<'_>,
    layers: &Layers<'_>,
) -> Option<EffectiveSettings> {
    let settings = match layers.resolve() {
        Ok(settings) => settings,
        Err(error) => {
            let message = error.message().to_owned();
            document.push(None, "", None, SettingsErrorKind::Syntax { message });
            return None;
        }
    };
    check_intervals(document, layers, &settings);
    check_limits(document, layers, &settings);
    check_default_class(document, layers, &settings);
    Some(settings)
}

fn check_intervals(document: &mut Document<'_>, layers: &Layers<'_>, settings: &EffectiveSettings) {
    let pairs = [
        ("lease_ms", settings.lease_ms, "beat_ms", settings.beat_ms),
        ("promise_ms", settings.promise_ms, "promise_beat_ms", settings.promise_beat_ms),
        ("store_term_ms", settings.store_term_ms, "store_timeout_ms", settings.store_timeout_ms),
    ];
    for (duration, duration_ms, interval, interval_ms) in pairs {
        if duration_ms >= interval_ms.saturating_mul(MIN_INTERVALS) {
            continue;
        }
        let factor = MIN_INTERVALS;
        let kind = SettingsErrorKind::TooFewIntervals {
            duration,
            duration_ms,
            interval,
            interval_ms,
            factor,
        };
        refuse_pair(document, layers, duration, interval, kind);
    }
}

fn check_limits(document: &mut Document<'_>, layers: &Layers<'_>, settings: &EffectiveSettings) {
    let pairs = [
        ("promise_ms", settings.promise_ms, "lease_ms", settings.lease_ms, false),
        (
            "request_deadline_ms",
            settings.request_deadline_ms,
            "max_deadline_ms",
            settings.max_deadline_ms,
            true,
        ),
        (
            "queue_wait_ms",
            settings.queue_wait_ms,
            "request_deadline_ms",
            settings.request_deadline_ms,
            true,
        ),
    ];
    for (upper, upper_value, limit, limit_value, equal_allowed) in pairs {
        if upper_value < limit_value || (equal_allowed && upper_value == limit_value) {
            continue;
        }
        let kind =
            SettingsErrorKind::AboveOther { upper, upper_value, limit, limit_value, equal_allowed };
        refuse_pair(document, layers, upper, limit, kind);
    }
}

fn check_default_class(
    document: &mut Document<'_>,
    layers: &Layers<'_>,
    settings: &EffectiveSettings,
) {
    if settings.class(&settings.default_class).is_some() {
        return;
    }
    let classes = settings.classes.iter().map(|class| class.name.clone()).collect();
    let kind = SettingsErrorKind::UnknownClass { classes };
    refuse_pair(document, layers, "default_class", "classes", kind);
}

/// Refuses the one of two fields that is set at the lower level, which is the later decision.
fn refuse_pair(
    document: &mut Document<'_>,
    layers: &Layers<'_>,
    first: &str,
    second: &str,
    kind: SettingsErrorKind,
) {
    let mut found: Option<(&str, String, Origin)> = None;
    for name in [first, second] {
        let Some(field) = FieldId::find(name) else {
            continue;
        };
        if layers.is_refused(field) {
            return;
        }
        let (value, origin) = layers.find(field);
        let is_lower = |level: Level| origin.level > level;
        if found.as_ref().is_none_or(|(_, _, other)| is_lower(other.level)) {
            found = Some((field.name(), value.to_string(), origin));
        }
    }
    let Some((name, value, origin)) = found else {
        return;
    };
    document.push(origin.line, &format!("{}.{name}", origin.path), Some(value), kind);
}
