//! Manual overrides of target states. They are part of the configuration, under one key per service.

use wingbridge_config::{OVERRIDES_PREFIX, overrides_text, parse_overrides};
use wingbridge_decide::{ManualOverride, OverrideKind};
use wingbridge_store::StoredValue;

use crate::changes::{ChangeClient, ChangeReport};

/// Sets the manual override of one target, or removes it if `kind` is `None`.
///
/// The overrides of a service share one value, so the change is written only if the store still has the
/// revision that was read.
///
/// # Errors
/// Fails if the store does not answer, the stored overrides can't be read, or another change was written
/// first.
pub async fn set_override(
    client: &ChangeClient,
    service: &str,
    target: &str,
    kind: Option<OverrideKind>,
) -> eyre::Result<ChangeReport> {
    let key = format!("{OVERRIDES_PREFIX}{service}");
    let record = client.store.read_key(&key).await?;
    let revision = record.as_ref().map_or(0, |record| record.revision);
    let value = record.map(|record| StoredValue::from_json(&record.value)).transpose()?;
    let current = value.filter(|value| !value.current.deleted);
    let mut overrides = match current {
        Some(value) => parse_overrides(&value.current.text)?,
        None => Vec::new(),
    };
    overrides.retain(|existing| *existing.target != *target);
    if let Some(kind) = kind {
        overrides.push(ManualOverride { target: target.into(), kind });
    }
    client.change(&key, Some(overrides_text(&overrides)), Some(revision)).await
}
