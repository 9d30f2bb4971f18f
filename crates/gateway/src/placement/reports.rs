//! Log lines and metrics of the placement plans.

use wingbridge_decide::placement::{PlacementChange, ServiceReport};

/// Logs that a plan has started, has ended, or sends more than a tenth more or less away.
pub(crate) fn log_change(change: &PlacementChange) {
    let event = match (change.before > 0.0, change.now > 0.0) {
        (false, true) => "placement-started",
        (true, false) => "placement-ended",
        _ => "placement-changed",
    };
    let destination = change.destination.as_deref().unwrap_or_default();
    log::info!(
        service:% = change.service, share:% = format!("{:.2}", change.now),
        before:% = format!("{:.2}", change.before), destination,
        demand:% = format!("{:.1}", change.own.demand),
        capacity:% = format!("{:.1}", change.own.capacity), boxes = change.own.boxes;
        "{event}"
    );
}

/// Updates the metrics of the plans.
pub(crate) fn record_reports(reports: Vec<ServiceReport>) {
    for ServiceReport { service, leaving, utilizations, placed } in reports {
        let service = service.to_string();
        metrics::gauge!("wingbridge_placement_share", "service" => service.clone()).set(leaving);
        for (data_centre, utilization) in utilizations {
            let labels = [("service", service.clone()), ("data_centre", data_centre.to_string())];
            metrics::gauge!("wingbridge_data_centre_utilization", &labels).set(utilization);
        }
        for (data_centre, count) in placed {
            let labels = [("service", service.clone()), ("data_centre", data_centre.to_string())];
            metrics::counter!("wingbridge_requests_placed", &labels).increment(count);
        }
    }
}
