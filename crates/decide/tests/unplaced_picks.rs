//! Choices without placement, against those of the code before there was any.

mod steering;

use std::time::Duration;

use steering::{ROUTE, SERVICE, at, core_with_seed, request, target};
use wingbridge_decide::TargetKey;
use wingbridge_decide::steer::{LoadReport, PeerSample, PickError, SteerOutcome, SteerRequest};

/// Hash of the choices that the code of commit 75b910f, before placement was added, makes for the calls of the test.
const PICKS_BEFORE: u64 = 16_980_918_701_371_597_965;

/// Guards against a change of any choice or random draw where placement is off: the same calls with the same seed give
/// the choices that they gave before, under light load, queues, refusals and slow targets.
#[test]
fn choices_without_placement_are_as_before() {
    let mut core = core_with_seed(5);
    let ids: Vec<String> = (0..24).map(|number| format!("t{number}")).collect();
    let centre = |number: usize| ["near", "far", "other"][number % 3];
    let listed = ids.iter().enumerate().map(|(number, id)| target(id, centre(number)));
    core.set_targets(at(0), listed.collect());
    core.set_boxes(10, 30);
    let mut hash: u64 = 0;
    let mut open = Vec::new();
    for step in 0..4000_u64 {
        let now = at(1_000 + step * 10);
        core.record_request(now, SERVICE);
        let remaining = Duration::from_millis(900 + step % 7 * 400);
        let asked = SteerRequest { remaining, ..request(step % 3 == 0, &[]) };
        let chosen = match core.pick(now, &asked) {
            Ok(pick) => {
                open.push((step, core.begin(now, pick.key, &ROUTE.into())));
                pick.key.0
            }
            Err(PickError::NoTarget) => 1,
            Err(PickError::BackingOff(_)) => 2,
            Err(PickError::Overloaded) => 3,
            Err(PickError::Saturated) => 4,
        };
        hash = hash.wrapping_mul(31).wrapping_add(chosen);
        // Attempts take 200 to 700 ms; some are refused or fail.
        while open.first().is_some_and(|(began, _)| step >= began + 20 + began % 5 * 10) {
            let (began, handle) = open.remove(0);
            let outcome = match began % 41 {
                0 => SteerOutcome::Shed,
                1 => SteerOutcome::Incomplete,
                _ => SteerOutcome::Good(now.since(handle.started)),
            };
            core.end(now, &handle, &ROUTE.into(), outcome, 700);
            let held = (began % 11) as u32 * u32::from(step % 1000 > 500);
            core.record_load(now, handle.key, LoadReport { held, slots: 3 });
        }
        let key = TargetKey::of(&ids[(step * 7 % 24) as usize]);
        let latency_ratio = Some(if step % 24 < 4 { 3.0 } else { 0.9 });
        let sample = PeerSample {
            good: 1,
            latency_ratio,
            held: Some((step % 6) as u32),
            open: Some((step % 3) as u32),
            ..PeerSample::default()
        };
        core.merge_peer_sample(now, step % 5, key, &sample);
    }
    assert_eq!(hash, PICKS_BEFORE);
}
