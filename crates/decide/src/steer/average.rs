//! Running averages.

/// A running average: the mean of all values until `window` of them were added, an exponentially
/// weighted mean from then on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunningAverage {
    value: f64,
    count: f64,
    window: f64,
}

impl RunningAverage {
    /// Creates an empty average, in which each value has the weight `1 / window` once `window` values
    /// were added.
    pub(crate) fn new(window: f64) -> RunningAverage {
        RunningAverage { value: 0.0, count: 0.0, window }
    }

    pub(crate) fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(self.window);
        self.value += (value - self.value) / self.count;
    }

    /// Returns the average, or `None` before the first value.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}
