//! The floor guard: the last step before a target is kept out.
//!
//! The reading of the promise that is kept here: in each box, and for each
//! service, the slots of targets that are in service (neither leaving nor cold
//! nor kept out) are not taken below the floor by an ejection, whatever its
//! source. A target that is convicted and not kept out counts as in service: if
//! the conviction was wrong it is healthy capacity, and if it was right, keeping
//! it out takes no healthy capacity away.

/// A target as the guard sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardedTarget {
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it would be in service if it were not kept out.
    pub in_service: bool,
    /// Why it should be kept out, if it should.
    pub ejection: Option<EjectionRank>,
}

/// The order in which ejections are granted; lower first. It is made only of what
/// all boxes with the same news know, so they keep out the same targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EjectionRank {
    /// 0 by hand, 1 by a judge, 2 by this box alone.
    pub source: u8,
    /// When it was found, on the judge's clock.
    pub stamp: u64,
    /// The target's key, to break ties.
    pub key: u64,
}

/// Slots that must stay in service.
pub fn floor_slots(total_slots: u32, floor: f64) -> u32 {
    // A tenth of a millionth below, so that 0.6 of 15 is 9 and not 10.
    (f64::from(total_slots) * floor - 1e-7).ceil().max(0.0) as u32
}

/// Which targets are kept out: for each its yes or no, in the order given.
pub fn guard_floor(targets: &[GuardedTarget], floor: u32) -> Vec<bool> {
    let mut kept_out = vec![false; targets.len()];
    let counted = targets.iter().filter(|target| target.in_service);
    let mut in_service: u32 = counted.map(|target| target.slots).sum();
    let mut wanted: Vec<usize> = (0..targets.len()).collect();
    wanted.retain(|&index| targets[index].ejection.is_some());
    wanted.sort_by_key(|&index| targets[index].ejection);
    for index in wanted {
        let target = &targets[index];
        if !target.in_service {
            // It is no capacity, so keeping it out takes none away.
            kept_out[index] = in_service >= floor;
            continue;
        }
        let Some(rest) = in_service.checked_sub(target.slots) else {
            continue;
        };
        if rest >= floor {
            in_service = rest;
            kept_out[index] = true;
        }
    }
    kept_out
}
