//! Shares of a route's services by weight.

/// The golden ratio's fraction: steps of it fill an interval evenly, however few they are.
const EVEN_STEP: f64 = 0.618_033_988_749_894_9;

/// Chooses among weighted parts so that even few choices come close to the weights.
#[derive(Debug, Clone)]
pub struct WeightedSplit {
    position: f64,
}

impl WeightedSplit {
    /// A split that begins at `start` (0 to 1); boxes begin at different ones.
    pub fn new(start: f64) -> WeightedSplit {
        WeightedSplit { position: start.rem_euclid(1.0) }
    }

    /// The index of the part that is next. Parts without weight are never chosen.
    pub fn next(&mut self, weights: &[u32]) -> Option<usize> {
        let total: f64 = weights.iter().map(|weight| f64::from(*weight)).sum();
        if total <= 0.0 {
            return None;
        }
        self.position = (self.position + EVEN_STEP).fract();
        let mut rest = self.position * total;
        for (index, weight) in weights.iter().enumerate() {
            rest -= f64::from(*weight);
            if rest < 0.0 {
                return Some(index);
            }
        }
        weights.iter().rposition(|weight| *weight > 0)
    }
}
