//! Who is told of all that a box sees.

use std::time::Duration;

use wingbridge_decide::steer::ledger::RetryBounds;
use wingbridge_decide::steer::mechanism::MechanismSet;
use wingbridge_decide::steer::peer_subset::{PEER_SUBSET_SIZE, peer_subset, reporting_boxes};
use wingbridge_decide::steer::{RetryUse, SteerCore, SteerSetup};
use wingbridge_decide::{Name, TimePoint};

struct FleetCase {
    boxes: usize,
    told: usize,
}

const FLEETS: &[FleetCase] = &[
    FleetCase { boxes: 1, told: 0 },
    FleetCase { boxes: 36, told: 35 },
    FleetCase { boxes: 89, told: PEER_SUBSET_SIZE },
    FleetCase { boxes: 300, told: PEER_SUBSET_SIZE },
];

fn names(boxes: usize) -> Vec<Name> {
    (0..boxes).map(|number| Name::from(format!("box-{number}").as_str())).collect()
}

/// Whom a box tells, of all others.
fn told_by(own: &Name, all: &[Name]) -> Vec<Name> {
    let others: Vec<Name> = all.iter().filter(|name| *name != own).cloned().collect();
    peer_subset(own, &others, |name| name).into_iter().cloned().collect()
}

/// What each box sends and takes in grew with the boxes of its data centre: at 443 boxes in five
/// of them most days took more processor time than they may.
#[test]
fn what_a_box_sends_does_not_grow_with_the_boxes() {
    for case in FLEETS {
        let all = names(case.boxes);
        let mut heard = vec![0; case.boxes];
        for own in &all {
            let told = told_by(own, &all);
            assert_eq!(told.len(), case.told, "{} boxes", case.boxes);
            for name in told {
                heard[all.iter().position(|known| *known == name).expect("a box")] += 1;
            }
        }
        let (least, most) = (heard.iter().min(), heard.iter().max());
        let least = least.copied().unwrap_or_default() as f64;
        let most = most.copied().unwrap_or_default() as f64;
        assert!(least >= case.told as f64 * 0.4, "{} boxes: {least}", case.boxes);
        assert!(most <= case.told as f64 * 1.7, "{} boxes: {most}", case.boxes);
    }
}

#[test]
fn listeners_stay_when_others_come_and_go() {
    let all = names(89);
    let before = told_by(&all[0], &all);
    let fewer: Vec<Name> = all.iter().filter(|name| **name != before[0]).cloned().collect();
    let after = told_by(&all[0], &fewer);
    let kept = after.iter().filter(|name| before.contains(name)).count();
    assert_eq!(kept, before.len() - 1);
}

/// A box counts what those tell that tell it all, so its part of the slack is theirs.
#[test]
fn the_slack_of_retries_goes_by_the_boxes_that_are_heard() {
    let window = Duration::from_secs(10);
    let mut core = SteerCore::new(SteerSetup {
        data_centre: "near".into(),
        cross_cost: 0.012,
        retries: RetryBounds { share: 0.2, slack: 630.0, window },
        seed: 7,
        mechanisms: MechanismSet::default(),
    });
    core.set_boxes(89, 443);
    let now = TimePoint::default() + window;
    let spent = (0..1000).filter(|_| core.spend_retry(now, "orders", RetryUse::Repeat)).count();
    let part = 630.0 * reporting_boxes(89) as f64 / 443.0;
    assert!(spent as f64 <= part, "{spent} of {part}");
    assert!(spent as f64 >= part * 0.8, "{spent} of {part}");
}
