//! Distributes the requests of a route over services in proportion to weights.

use jacinthfall_core::id;
use jacinthfall_route::snapshot::Share;

/// Selects services by smooth weighted round-robin: over any sequence of requests, each
/// service's share stays close to its weight.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    /// Balance of each service: every request adds its weight, and selecting it subtracts the
    /// total of all weights.
    credits: Vec<f64>,
}

impl Selector {
    /// Returns the service that the next request is sent to.
    ///
    /// ```
    /// use jacinthfall_dispatch::split::Selector;
    /// use jacinthfall_route::snapshot::Share;
    /// let share = |name: &str, weight| Share { service: name.into(), weight };
    /// let shares = [share("a", 3.0), share("b", 1.0)];
    /// let mut selector = Selector::default();
    /// let chosen: Vec<_> = (0..4).filter_map(|_| selector.next(&shares)).collect();
    /// assert_eq!(chosen.iter().filter(|name| &***name == "a").count(), 3);
    /// ```
    pub fn next(&mut self, shares: &[Share]) -> Option<id::Name> {
        if self.credits.len() != shares.len() {
            self.credits = vec![0.0; shares.len()];
        }
        let total: f64 = shares.iter().map(|share| share.weight).sum();
        for (credit, share) in self.credits.iter_mut().zip(shares) {
            *credit += share.weight;
        }
        let weighted = (0..shares.len()).filter(|&n| shares[n].weight > 0.0 || total <= 0.0);
        let chosen = weighted.max_by(|&a, &b| self.credits[a].total_cmp(&self.credits[b]))?;
        self.credits[chosen] -= total;
        Some(shares[chosen].service.clone())
    }
}
