//! Orders by hand: configuration like any other, one key for each service.

use wingbridge_config::{HAND_PREFIX, hand_text, parse_hand};
use wingbridge_decide::{HandOrder, HandOrderKind};
use wingbridge_store::StoredValue;

use crate::changes::{ChangeReport, Changer};

/// Sets or, with `None`, takes back the order about one target.
///
/// # Errors
/// The store does not answer, or another order came first.
pub async fn order(
    changer: &Changer,
    service: &str,
    target: &str,
    kind: Option<HandOrderKind>,
) -> eyre::Result<ChangeReport> {
    let key = format!("{HAND_PREFIX}{service}");
    let record = changer.store.read_key(&key).await?;
    let revision = record.as_ref().map_or(0, |record| record.revision);
    let value = record.map(|record| StoredValue::from_json(&record.value)).transpose()?;
    let held = value.filter(|value| !value.current.deleted);
    let mut orders = match held {
        Some(value) => parse_hand(&value.current.text)?,
        None => Vec::new(),
    };
    orders.retain(|order| *order.target != *target);
    if let Some(kind) = kind {
        orders.push(HandOrder { target: target.into(), kind });
    }
    changer.change(&key, Some(hand_text(&orders)), Some(revision)).await
}
