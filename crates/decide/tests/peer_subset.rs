//! The peers to which a box sends full reports.

use std::time::Duration;

use wingbridge_decide::steer::ledger::{RetryBounds, RetryCounts};
use wingbridge_decide::steer::mechanism::MechanismSet;
use wingbridge_decide::steer::peer_subset::{PEER_SUBSET_SIZE, peer_subset, reporting_boxes};
use wingbridge_decide::steer::{RetryUse, SteerCore, SteerSetup};
use wingbridge_decide::{Name, TimePoint};

struct FleetCase {
    boxes: usize,
    /// Number of peers that get full reports from each box.
    full_reports: usize,
}

const FLEETS: &[FleetCase] = &[
    FleetCase { boxes: 1, full_reports: 0 },
    FleetCase { boxes: 36, full_reports: 35 },
    FleetCase { boxes: 89, full_reports: PEER_SUBSET_SIZE },
    FleetCase { boxes: 300, full_reports: PEER_SUBSET_SIZE },
];

fn names(boxes: usize) -> Vec<Name> {
    (0..boxes).map(|number| Name::from(format!("box-{number}").as_str())).collect()
}

/// Returns the peers in `all` to which the box `own` sends full reports.
fn full_report_peers(own: &Name, all: &[Name]) -> Vec<Name> {
    let others: Vec<Name> = all.iter().filter(|name| *name != own).cloned().collect();
    peer_subset(own, &others, |name| name).into_iter().cloned().collect()
}

/// With full reports to every peer, the data that a box sends and receives grew with the number of boxes in
/// its data centre. With 443 boxes in five data centres, most days exceeded the bound on processor time.
#[test]
fn full_reports_do_not_grow_with_the_number_of_boxes() {
    for case in FLEETS {
        let all = names(case.boxes);
        let mut received = vec![0; case.boxes];
        for own in &all {
            let peers = full_report_peers(own, &all);
            assert_eq!(peers.len(), case.full_reports, "{} boxes", case.boxes);
            for name in peers {
                received[all.iter().position(|known| *known == name).expect("unknown box")] += 1;
            }
        }
        let (min, max) = (received.iter().min(), received.iter().max());
        let min = min.copied().unwrap_or_default() as f64;
        let max = max.copied().unwrap_or_default() as f64;
        assert!(min >= case.full_reports as f64 * 0.4, "{} boxes: {min}", case.boxes);
        assert!(max <= case.full_reports as f64 * 1.7, "{} boxes: {max}", case.boxes);
    }
}

#[test]
fn peers_stay_the_same_when_another_box_leaves() {
    let all = names(89);
    let before = full_report_peers(&all[0], &all);
    let fewer: Vec<Name> = all.iter().filter(|name| **name != before[0]).cloned().collect();
    let after = full_report_peers(&all[0], &fewer);
    let kept = after.iter().filter(|name| before.contains(name)).count();
    assert_eq!(kept, before.len() - 1);
}

/// A box counts the retries of the boxes whose full reports it receives, so that all of these together have a share of
/// the slack in proportion to their number, also if a single box needs all of it.
#[test]
fn retry_slack_is_proportional_to_reporting_boxes() {
    let window = Duration::from_secs(10);
    let now = TimePoint::default() + window;
    let new_core = || {
        let mut core = SteerCore::new(SteerSetup {
            data_centre: "near".into(),
            cross_cost: 0.012,
            retries: RetryBounds { share: 0.2, slack: 630.0, window },
            seed: 7,
            mechanisms: MechanismSet::default(),
        });
        core.set_boxes(89, 443);
        // The service is known to the box.
        core.merge_retry_counts(now, 99, "orders", RetryCounts::default());
        core
    };
    let mut core = new_core();
    let mut lenders: Vec<SteerCore> = (1..reporting_boxes(89)).map(|_| new_core()).collect();
    let peers: Vec<u64> = (0..lenders.len() as u64).collect();
    let mut spent = 0;
    for _ in 0..1000 {
        spent += usize::from(core.spend_retry(now, "orders", RetryUse::Repeat));
        for (peer, request) in core.due_credit_requests(now, &peers).requests {
            let grant = lenders[peer as usize].lend_credit(now, &request);
            core.record_credit(now, &grant);
        }
    }
    let share = 630.0 * reporting_boxes(89) as f64 / 443.0;
    assert!(spent as f64 <= share, "{spent} retries of a share of {share}");
    assert!(spent as f64 >= share * 0.8, "{spent} retries of a share of {share}");
}
