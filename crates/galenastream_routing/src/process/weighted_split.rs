//! Divides the requests of a route among services by weight.
//!
//! Load pattern: a few hundred requests of a route in a short time have to show its weights, so the
//! division must not depend on luck.

/// Divides requests in proportion to weights, each request to the service that is furthest behind.
#[derive(Debug, Clone, Default)]
pub struct WeightedSplit {
    credits: Vec<f64>,
}

impl WeightedSplit {
    /// Creates a division that starts even.
    pub fn new() -> Self {
        Self::default()
    }

    /// The index of the weight whose turn it is; `None` without weights above 0.
    pub fn next(&mut self, weights: &[f64]) -> Option<usize> {
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return None;
        }
        self.credits.resize(weights.len(), 0.0);
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += weight / total;
        }
        let by_credit = |&a: &usize, &b: &usize| self.credits[a].total_cmp(&self.credits[b]);
        let chosen = (0..weights.len()).filter(|&it| weights[it] > 0.0).max_by(by_credit)?;
        self.credits[chosen] -= 1.0;
        Some(chosen)
    }
}
