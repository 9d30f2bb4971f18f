//! Which failures a box tells its peers, and when.

use std::time::Duration;

use wingbridge_decide::TimePoint;
use wingbridge_decide::paths::HeldFailures;

/// An event, with its time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum HeldEvent {
    /// A contact of an attempt that began at the first time.
    Contact(u64, u64),
    /// A failure of an attempt that began at the first time.
    Failure(u64, u64),
    /// The paths are judged as lost.
    Lost,
}

use HeldEvent::{Contact, Failure, Lost};

struct HeldCase {
    name: &'static str,
    events: &'static [HeldEvent],
    /// The times at which failures are told, and for how long each was held back.
    told: &'static [(u64, u64)],
}

const CASES: &[HeldCase] = &[
    HeldCase {
        name: "no contact since",
        events: &[Contact(0, 200), Failure(500, 1500)],
        told: &[],
    },
    HeldCase {
        name: "a contact just before",
        events: &[Contact(1000, 1300), Failure(500, 1500)],
        told: &[(1500, 0)],
    },
    HeldCase {
        name: "a contact early in the attempt",
        events: &[Contact(600, 800), Failure(500, 1500), Contact(1550, 1700)],
        told: &[(1700, 200)],
    },
    HeldCase {
        name: "an old connection answers",
        events: &[Failure(500, 1500), Contact(400, 1600), Contact(1700, 1900)],
        told: &[(1900, 400)],
    },
    HeldCase {
        name: "an old connection answered just before",
        events: &[Contact(400, 1400), Failure(500, 1500)],
        told: &[],
    },
    HeldCase {
        name: "several failures",
        events: &[Failure(500, 1500), Failure(700, 1700), Failure(1750, 2750), Contact(1600, 2800)],
        told: &[(2800, 1300), (2800, 1100)],
    },
    HeldCase {
        name: "the paths are lost",
        events: &[Failure(500, 1500), Failure(700, 1700), Lost, Contact(2000, 2100)],
        told: &[],
    },
    HeldCase {
        name: "a contact seconds later",
        events: &[Failure(500, 1500), Contact(6400, 6600)],
        told: &[],
    },
];

fn at(millis: u64) -> TimePoint {
    TimePoint::from_micros(millis * 1000)
}

#[test]
fn failures_are_told_once_a_contact_shows_that_the_paths_are_sound() {
    for case in CASES {
        let mut held = HeldFailures::default();
        let mut told = Vec::new();
        for event in case.events {
            match *event {
                Contact(started, now) => {
                    let released = held.record_contact(at(now), at(started));
                    told.extend(released.into_iter().map(|(time, ())| (now, time)));
                }
                Failure(started, now) => {
                    let offered = held.offer(at(now), at(started), ());
                    told.extend(offered.map(|()| (now, Duration::ZERO)));
                }
                Lost => {
                    held.drop_failures(|()| true);
                }
            }
        }
        let expected: Vec<(u64, Duration)> =
            case.told.iter().map(|(now, time)| (*now, Duration::from_millis(*time))).collect();
        assert_eq!(told, expected, "{}", case.name);
    }
}

#[test]
fn number_of_held_failures_is_bounded() {
    let mut held = HeldFailures::default();
    (0..1000_u64).for_each(|number| assert_eq!(held.offer(at(2), at(1), number), None));
    let told = held.record_contact(at(3), at(2));
    assert_eq!(told.len(), 64);
    assert_eq!(told.last().map(|(_, number)| *number), Some(999), "the oldest were dropped");
}
