//! Weighted distribution of the requests of a route among services.
//!
//! Load pattern: a route receives a few hundred requests within a short time. These already have to
//! be distributed as the weights say, so the choice is deterministic instead of random.

/// Distributes requests in proportion to weights by smooth weighted round-robin: each request goes
/// to the service that is furthest below its share.
#[derive(Debug, Clone, Default)]
pub struct WeightedSplit {
    credits: Vec<f64>,
}

impl WeightedSplit {
    /// Creates a split without earlier requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the index of the weight that the next request goes to; `None` without weights above
    /// 0.
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
