//! Checks between the fields that apply together.

use std::sync::LazyLock;

use crate::{ClassSettings, FieldId, Layers, SettingsErrorKind, parse::document::Document};

/// A lease, a promise or a term lasts at least this many of its renewal intervals.
const MIN_INTERVALS: i64 = 3;

/// The rules between two fields.
static RULES: LazyLock<Vec<Rule>> = LazyLock::new(|| {
    [
        Rule::new("lease_ms", "beat_ms", RuleKind::Intervals),
        Rule::new("promise_ms", "promise_beat_ms", RuleKind::Intervals),
        Rule::new("store_term_ms", "store_timeout_ms", RuleKind::Intervals),
        Rule::new("promise_ms", "lease_ms", RuleKind::Below),
        Rule::new("request_deadline_ms", "max_deadline_ms", RuleKind::AtMost),
        Rule::new("queue_wait_ms", "request_deadline_ms", RuleKind::AtMost),
        Rule::new("default_class", "classes", RuleKind::ClassOf),
    ]
    .into_iter()
    .flatten()
    .collect()
});

/// A rule between two fields.
#[derive(Debug, Clone, Copy)]
struct Rule {
    first: FieldId,
    second: FieldId,
    kind: RuleKind,
}

/// What the first field of a rule must be.
#[derive(Debug, Clone, Copy)]
enum RuleKind {
    /// Several times the second one.
    Intervals,
    /// Less than the second one.
    Below,
    /// No more than the second one.
    AtMost,
    /// The name of one of the classes in the second one.
    ClassOf,
}

impl Rule {
    fn new(first: &str, second: &str, kind: RuleKind) -> Option<Self> {
        Some(Self { first: FieldId::find(first)?, second: FieldId::find(second)?, kind })
    }

    /// Why the rule is broken, `None` if it holds.
    fn check(self, layers: &Layers<'_>) -> Option<SettingsErrorKind> {
        match self.kind {
            RuleKind::Intervals => self.check_intervals(layers),
            RuleKind::Below => self.check_limit(layers, false),
            RuleKind::AtMost => self.check_limit(layers, true),
            RuleKind::ClassOf => self.check_class(layers),
        }
    }

    fn check_intervals(self, layers: &Layers<'_>) -> Option<SettingsErrorKind> {
        let duration_ms = layers.number(self.first);
        let interval_ms = layers.number(self.second);
        if duration_ms >= interval_ms * MIN_INTERVALS {
            return None;
        }
        Some(SettingsErrorKind::TooFewIntervals {
            duration: self.first.name(),
            duration_ms,
            interval: self.second.name(),
            interval_ms,
            factor: MIN_INTERVALS,
        })
    }

    fn check_limit(self, layers: &Layers<'_>, equal_allowed: bool) -> Option<SettingsErrorKind> {
        let upper_value = layers.number(self.first);
        let limit_value = layers.number(self.second);
        if upper_value < limit_value || (equal_allowed && upper_value == limit_value) {
            return None;
        }
        Some(SettingsErrorKind::AboveOther {
            upper: self.first.name(),
            upper_value,
            limit: self.second.name(),
            limit_value,
            equal_allowed,
        })
    }

    fn check_class(self, layers: &Layers<'_>) -> Option<SettingsErrorKind> {
        let (default_class, _) = layers.find(self.first);
        let (classes, _) = layers.find(self.second);
        let classes: Vec<ClassSettings> = classes.try_into().unwrap_or_default();
        let classes: Vec<String> = classes.into_iter().map(|class| class.name).collect();
        if classes.iter().any(|class| Some(class.as_str()) == default_class.as_str()) {
            return None;
        }
        Some(SettingsErrorKind::UnknownClass { classes })
    }
}

/// Checks the fields that apply together.
///
/// Rules whose fields none of the levels from position `unchecked` on sets were checked before.
pub(crate) fn check(document: &mut Document<'_>, layers: &Layers<'_>, unchecked: usize) {
    for rule in RULES.iter() {
        let fields = [rule.first, rule.second];
        if !layers.sets_any(unchecked, fields) {
            continue;
        }
        if fields.iter().any(|&field| layers.is_refused(field)) {
            continue;
        }
        if let Some(kind) = rule.check(layers) {
            refuse(document, layers, *rule, kind);
        }
    }
}

/// Refuses the one of two fields that is set at the lower level, which is the later decision.
fn refuse(document: &mut Document<'_>, layers: &Layers<'_>, rule: Rule, kind: SettingsErrorKind) {
    let (first_value, first) = layers.find(rule.first);
    let (second_value, second) = layers.find(rule.second);
    let (field, value, origin) = if second.path.level() > first.path.level() {
        (rule.second, second_value, second)
    } else {
        (rule.first, first_value, first)
    };
    let path = format!("{}.{}", origin.path, field.name());
    document.push(origin.line, &path, Some(value.to_string()), kind);
}
