//! Running averages.

/// A running average: of all values at first, of the last ones later.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunningAverage {
    value: f64,
    count: f64,
    settled: f64,
}

impl RunningAverage {
    /// An average that moves by a part `1 / settled` with each value once it has so many.
    pub(crate) fn new(settled: f64) -> RunningAverage {
        RunningAverage { value: 0.0, count: 0.0, settled }
    }

    pub(crate) fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(self.settled);
        self.value += (value - self.value) / self.count;
    }

    pub(crate) fn get(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}
