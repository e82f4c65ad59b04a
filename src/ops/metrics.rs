//! Parses a node's metrics in the Prometheus text format and compares two scrapes.

use std::collections::BTreeMap;

/// Metrics of a node at one time, by metric name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scrape {
    samples: BTreeMap<String, Vec<Sample>>,
}

/// One value with its labels.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    labels: Vec<(String, String)>,
    /// The value.
    pub value: f64,
}

impl Sample {
    /// Returns the value of a label, or an empty string if the sample lacks it.
    #[must_use]
    pub fn label(&self, name: &str) -> &str {
        let label = self.labels.iter().find(|(other, _)| other == name);
        label.map_or("", |(_, value)| value.as_str())
    }
}

impl Scrape {
    /// Parses the text format. Comments and malformed lines are skipped.
    ///
    /// ```
    /// use jacinthfall::ops::metrics::Scrape;
    /// let scrape = Scrape::parse("# TYPE a counter\na{route=\"r\"} 2\na{route=\"s\"} 3\n");
    /// assert_eq!(scrape.sum("a", &[("route", "r")]), 2.0);
    /// assert_eq!(scrape.sum("a", &[]), 5.0);
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Scrape {
        let mut scrape = Scrape::default();
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            if let Some((name, sample)) = parse_sample(line) {
                scrape.samples.entry(name.to_owned()).or_default().push(sample);
            }
        }
        scrape
    }

    /// Returns all samples of a metric.
    #[must_use]
    pub fn samples(&self, name: &str) -> &[Sample] {
        self.samples.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the sum of a metric's samples that have all the given labels.
    #[must_use]
    pub fn sum(&self, name: &str, labels: &[(&str, &str)]) -> f64 {
        let samples = self.samples(name).iter();
        let matching =
            samples.filter(|s| labels.iter().all(|(name, value)| s.label(name) == *value));
        // The sum of an empty iterator of `f64` is -0.0.
        matching.map(|sample| sample.value).sum::<f64>() + 0.0
    }

    /// Returns the distinct values of a label, sorted.
    #[must_use]
    pub fn values(&self, name: &str, label: &str) -> Vec<&str> {
        let mut values: Vec<&str> = self.samples(name).iter().map(|s| s.label(label)).collect();
        values.sort_unstable();
        values.dedup();
        values
    }

    /// Adds the samples of another node.
    pub fn add(&mut self, other: &Scrape) {
        for (name, samples) in &other.samples {
            self.samples.entry(name.clone()).or_default().extend(samples.iter().cloned());
        }
    }

    /// Returns the upper bound of the histogram bucket that holds the quantile `share` of the
    /// observations since `before`, in seconds; `None` without observations.
    #[must_use]
    pub fn quantile(
        &self,
        before: &Scrape,
        histogram: &str,
        labels: &[(&str, &str)],
        share: f64,
    ) -> Option<f64> {
        let name = format!("{histogram}_bucket");
        let count = |bound: &str| {
            let mut labels = labels.to_vec();
            labels.push(("le", bound));
            self.sum(&name, &labels) - before.sum(&name, &labels)
        };
        let total = count("+Inf");
        if total <= 0.0 {
            return None;
        }
        let mut bounds: Vec<(f64, &str)> = self
            .values(&name, "le")
            .into_iter()
            .filter_map(|bound| Some((bound.parse().ok()?, bound)))
            .collect();
        bounds.sort_by(|a, b| a.0.total_cmp(&b.0));
        bounds.into_iter().find(|(_, bound)| count(bound) >= share * total).map(|(at, _)| at)
    }
}

/// Parses one line into the metric's name and the sample.
fn parse_sample(line: &str) -> Option<(&str, Sample)> {
    let (key, value) = line.rsplit_once(' ')?;
    let value = value.parse().ok()?;
    let Some((name, labels)) = key.split_once('{') else {
        return Some((key, Sample { labels: Vec::new(), value }));
    };
    let labels = labels.strip_suffix('}')?;
    let labels = labels.split("\",").filter_map(|label| {
        let (name, value) = label.split_once("=\"")?;
        Some((name.to_owned(), value.trim_end_matches('"').to_owned()))
    });
    Some((name, Sample { labels: labels.collect(), value }))
}
