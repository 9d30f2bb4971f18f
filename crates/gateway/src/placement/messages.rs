//! Conversion between the messages about the load of services and the figures of the core.

use std::time::Duration;

use wingbridge_decide::placement::{CapacitySum, DataCentreLoad, ServiceDemand};
use wingbridge_decide::steer::SteerCore;
use wingbridge_decide::{Name, TimePoint};
use wingbridge_wire::overload::ServiceLoad;

/// Maximum length of the name of a service or a data centre in a row.
const MAX_NAME_BYTES: usize = 200;
const MILLI: f64 = 1000.0;

/// The sender of rows.
#[derive(Debug, Clone, Copy)]
pub struct RowSender<'a> {
    /// Data centre of the sender.
    pub data_centre: &'a str,
    /// Incarnation of the sender.
    pub incarnation: u64,
}

/// What was done with received rows.
#[derive(Debug, Default)]
pub struct MergedRows {
    /// Sums that are to be passed on to the other boxes of the data centre.
    pub relayed: Vec<ServiceLoad>,
    /// Rows of the sender as a single box, which carry its told returns.
    pub peer_rows: Vec<ServiceLoad>,
    /// Service and reason of the first row that was dropped because it is impossible.
    pub dropped: Option<(String, &'static str)>,
}

/// Returns the rows of this box: its demand for each service whose load calls for placement, and for each service in
/// `returns` the numbers of callers that were told to return, by 100 ms.
pub fn own_rows(
    core: &mut SteerCore,
    now: TimePoint,
    returns: &[(Name, Vec<u32>)],
) -> Vec<ServiceLoad> {
    let mut rows: Vec<ServiceLoad> = core.service_demands(now).iter().map(own_row).collect();
    for (service, counts) in returns {
        let known = rows.iter().position(|row| row.service == **service);
        let index = known.unwrap_or_else(|| {
            rows.push(ServiceLoad { service: service.to_string(), ..ServiceLoad::default() });
            rows.len() - 1
        });
        rows[index].returns = counts.clone();
    }
    rows
}

/// Returns the sums of the own data centre for the boxes of the others.
pub fn data_centre_rows(core: &mut SteerCore, now: TimePoint) -> Vec<ServiceLoad> {
    let loads = core.data_centre_loads(now).into_iter();
    let row = |(service, load): (Name, DataCentreLoad)| ServiceLoad {
        service: service.to_string(),
        data_centre: load.data_centre.to_string(),
        demand_milli: to_milli(load.sum.demand),
        open: load.sum.open,
        capacity_milli: to_milli(load.sum.capacity),
        boxes: load.sum.boxes,
        age_ms: age_ms(now, load.taken_at),
        returns: Vec::new(),
    };
    loads.map(row).collect()
}

/// Merges rows that a box sent to this one, in the data centre `own`.
pub fn merge_rows(
    core: &mut SteerCore,
    now: TimePoint,
    own: &str,
    sender: RowSender<'_>,
    rows: Vec<ServiceLoad>,
) -> MergedRows {
    let mut merged = MergedRows::default();
    let is_peer = sender.data_centre == own;
    for row in rows {
        let result = if row.service.len() > MAX_NAME_BYTES || row.data_centre.len() > MAX_NAME_BYTES
        {
            Err("a name is too long")
        } else if row.data_centre.is_empty() {
            // The figures of single boxes are of use only within their data centre.
            let result = if is_peer { merge_peer_row(core, now, sender, &row) } else { Ok(()) };
            if is_peer && result.is_ok() {
                merged.peer_rows.push(row.clone());
            }
            result
        } else if row.data_centre == own || (!is_peer && row.data_centre != sender.data_centre) {
            Err("a sum of another data centre than the sender's")
        } else {
            let result = merge_sum(core, now, &row);
            if !is_peer && result.is_ok() {
                merged.relayed.push(row.clone());
            }
            result
        };
        if let Err(reason) = result {
            merged.dropped.get_or_insert((shortened(&row.service), reason));
        }
    }
    merged
}

fn merge_peer_row(
    core: &mut SteerCore,
    now: TimePoint,
    sender: RowSender<'_>,
    row: &ServiceLoad,
) -> Result<(), &'static str> {
    let demand = from_milli(row.demand_milli);
    let row = ServiceDemand { service: row.service.as_str().into(), demand, open: row.open };
    let is_possible = core.merge_service_demand(now, sender.incarnation, &row);
    if is_possible { Ok(()) } else { Err("impossible demand") }
}

fn merge_sum(core: &mut SteerCore, now: TimePoint, row: &ServiceLoad) -> Result<(), &'static str> {
    let sum = CapacitySum {
        demand: from_milli(row.demand_milli),
        open: row.open,
        capacity: from_milli(row.capacity_milli),
        boxes: row.boxes,
    };
    let taken_at = now.before(Duration::from_millis(u64::from(row.age_ms)));
    let load = DataCentreLoad { data_centre: row.data_centre.as_str().into(), sum, taken_at };
    let is_possible = core.merge_data_centre_load(now, &row.service, load);
    if is_possible { Ok(()) } else { Err("impossible sum") }
}

fn own_row(demand: &ServiceDemand) -> ServiceLoad {
    ServiceLoad {
        service: demand.service.to_string(),
        demand_milli: to_milli(demand.demand),
        open: demand.open,
        ..ServiceLoad::default()
    }
}

fn to_milli(rate: f64) -> u64 {
    (rate * MILLI).round() as u64
}

fn from_milli(rate: u64) -> f64 {
    rate as f64 / MILLI
}

fn age_ms(now: TimePoint, taken_at: TimePoint) -> u32 {
    u32::try_from(now.since(taken_at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the beginning of a name, for a log line.
fn shortened(name: &str) -> String {
    name.chars().take(40).collect()
}
