//! Manual overrides: configuration like any other, one key for each service.

use wingbridge_config::{OVERRIDES_PREFIX, overrides_text, parse_overrides};
use wingbridge_decide::{ManualOverride, OverrideKind};
use wingbridge_store::StoredValue;

use crate::changes::{ChangeReport, Changer};

/// Sets the override of one target or, with `None`, removes it.
///
/// # Errors
/// The store does not answer, or another change of the overrides came first.
pub async fn set_override(
    changer: &Changer,
    service: &str,
    target: &str,
    kind: Option<OverrideKind>,
) -> eyre::Result<ChangeReport> {
    let key = format!("{OVERRIDES_PREFIX}{service}");
    let record = changer.store.read_key(&key).await?;
    let revision = record.as_ref().map_or(0, |record| record.revision);
    let value = record.map(|record| StoredValue::from_json(&record.value)).transpose()?;
    let held = value.filter(|value| !value.current.deleted);
    let mut overrides = match held {
        Some(value) => parse_overrides(&value.current.text)?,
        None => Vec::new(),
    };
    overrides.retain(|known| *known.target != *target);
    if let Some(kind) = kind {
        overrides.push(ManualOverride { target: target.into(), kind });
    }
    changer.change(&key, Some(overrides_text(&overrides)), Some(revision)).await
}
