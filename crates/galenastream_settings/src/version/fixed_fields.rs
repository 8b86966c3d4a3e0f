//! Fields on which all nodes of a service must agree at any moment.

use crate::{
    ChangeRule, FieldId, ServiceSettings, SettingsError, SettingsErrorKind, SettingsErrors,
    SettingsTree,
};

/// Refuses a new version that changes what all nodes of a running service must agree on, or
/// removes a running service.
///
/// `stopped` names the services of which the operator says that no node runs.
pub fn check_fixed_fields(
    old: &SettingsTree,
    new: &SettingsTree,
    stopped: &[&str],
) -> Result<(), SettingsErrors> {
    let mut errors = Vec::new();
    for service in new.services() {
        if stopped.contains(&service.name()) {
            continue;
        }
        let Some(old_service) = old.service(service.id()) else {
            continue;
        };
        errors.extend(changed_fixed_fields(old_service, new, service));
    }
    errors.extend(removed_services(old, new, stopped));
    SettingsErrors::check(errors)
}

/// A service that runs on without settings could come back with others than its nodes have.
fn removed_services(
    old: &SettingsTree,
    new: &SettingsTree,
    stopped: &[&str],
) -> Vec<SettingsError> {
    let mut errors = Vec::new();
    for service in old.services() {
        let path = format!("services.{}", service.name);
        if new.service(service.id()).is_some() || stopped.contains(&service.name()) {
            continue;
        }
        if !new.names_removed(&path) {
            continue;
        }
        errors.push(SettingsError {
            source_name: new.source_name.clone(),
            line: None,
            path,
            value: None,
            kind: SettingsErrorKind::RemovedWhileRunning { service: service.name.clone() },
        });
    }
    errors
}

fn changed_fixed_fields(
    old_service: &ServiceSettings,
    new: &SettingsTree,
    service: &ServiceSettings,
) -> Vec<SettingsError> {
    let old_layers = old_service.layers(None, None);
    let layers = service.layers(None, None);
    let mut errors = Vec::new();
    for field in FieldId::all() {
        if field.spec().change_rule != ChangeRule::WhileStopped {
            continue;
        }
        let (old_value, _) = old_layers.find(field);
        let (value, origin) = layers.find(field);
        if value == old_value {
            continue;
        }
        errors.push(SettingsError {
            source_name: new.source_name.clone(),
            line: origin.line,
            path: format!("services.{}.{}", service.name, field.name()),
            value: Some(value.to_string()),
            kind: SettingsErrorKind::FixedWhileRunning {
                field: field.name(),
                service: service.name.clone(),
                old_value: old_value.to_string(),
            },
        });
    }
    errors
}
