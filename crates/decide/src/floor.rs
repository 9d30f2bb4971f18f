//! The floor guard, the last step before a target is ejected.
//!
//! It guarantees that in each box, and for each service, no ejection takes the slots of targets in service
//! (neither draining nor cold nor ejected) below the floor, whatever the source of the ejection. A target that
//! is convicted but not ejected counts as in service: if the conviction was wrong it is healthy capacity, and
//! if it was right, ejecting it takes no healthy capacity away.

/// The state of a target that the guard needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardedTarget {
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target would be in service without an ejection.
    pub in_service: bool,
    /// Rank of the requested ejection, if one is requested.
    pub ejection: Option<EjectionRank>,
}

/// The order in which ejections are granted, lowest first. It depends only on data that all boxes with the
/// same updates have, so these boxes eject the same targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EjectionRank {
    /// Source of the ejection: 0 for a manual override, 1 for an outlier detector, 2 for this box alone.
    pub source: u8,
    /// Time of the finding, on the clock of its source.
    pub stamp: u64,
    /// Key of the target, as the tie breaker.
    pub key: u64,
}

/// Returns the number of slots that must stay in service, `floor` being a share from 0 to 1.
pub fn floor_slots(total_slots: u32, floor: f64) -> u32 {
    // The subtrahend absorbs the rounding error of the product, so that 0.6 of 15 is 9 and not 10.
    (f64::from(total_slots) * floor - 1e-7).ceil().max(0.0) as u32
}

/// Returns for each of `targets`, in the same order, whether it is ejected, such that at least `floor` slots
/// stay in service.
pub fn guard_floor(targets: &[GuardedTarget], floor: u32) -> Vec<bool> {
    let mut ejected = vec![false; targets.len()];
    let serving = targets.iter().filter(|target| target.in_service);
    let mut in_service: u32 = serving.map(|target| target.slots).sum();
    let mut requested: Vec<usize> = (0..targets.len()).collect();
    requested.retain(|&index| targets[index].ejection.is_some());
    requested.sort_by_key(|&index| targets[index].ejection);
    for index in requested {
        let target = &targets[index];
        if !target.in_service {
            // The target provides no capacity, so ejecting it takes none away.
            ejected[index] = in_service >= floor;
            continue;
        }
        let Some(remaining) = in_service.checked_sub(target.slots) else {
            continue;
        };
        if remaining >= floor {
            in_service = remaining;
            ejected[index] = true;
        }
    }
    ejected
}
