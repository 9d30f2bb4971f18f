//! Distribution of the requests of a route over its services by weight.

/// The fractional part of the golden ratio. Multiples of it modulo 1 fill an interval evenly, also when
/// there are only a few of them.
const GOLDEN_STEP: f64 = 0.618_033_988_749_894_9;

/// A sequence of choices among weighted parts whose frequencies stay close to the weights from the first
/// choices on.
#[derive(Debug, Clone)]
pub struct WeightedSplit {
    position: f64,
}

impl WeightedSplit {
    /// Creates a split that begins at `start` (0 to 1). Boxes use different starts, so that they don't
    /// all choose the same part first.
    pub fn new(start: f64) -> WeightedSplit {
        WeightedSplit { position: start.rem_euclid(1.0) }
    }

    /// Returns the index of the next part, or `None` if all weights are 0. A part of weight 0 is never
    /// chosen.
    pub fn next(&mut self, weights: &[u32]) -> Option<usize> {
        let total: f64 = weights.iter().map(|weight| f64::from(*weight)).sum();
        if total <= 0.0 {
            return None;
        }
        self.position = (self.position + GOLDEN_STEP).fract();
        let mut remaining = self.position * total;
        for (index, weight) in weights.iter().enumerate() {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(index);
            }
        }
        weights.iter().rposition(|weight| *weight > 0)
    }
}
