//! Counts the results of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use jacinthfall_core::id;
use jacinthfall_core::refusal::{Cause, Ran};

use crate::api::{Answer, Refusal};
use crate::load::mix::Kind;
use crate::load::report::{Latency, Point, Row};

/// Precision of recorded latencies, in significant decimal digits.
const LATENCY_DIGITS: u8 = 3;

/// Factor by which the share above the quantile shrinks from one point of a curve to the next.
const CURVE_STEP: f64 = 0.9;

/// Counts of one profile or of all profiles.
#[derive(Clone, Debug)]
pub struct Tally {
    sent: u64,
    answered: u64,
    full: u64,
    in_time: u64,
    needed: u64,
    coverage: f64,
    least_coverage: f64,
    refused: BTreeMap<String, u64>,
    failed: u64,
    answers: Histogram<u64>,
    refusals: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Tally {
        let histogram = || Histogram::new(LATENCY_DIGITS).expect("the digits are in bounds");
        Tally {
            sent: 0,
            answered: 0,
            full: 0,
            in_time: 0,
            needed: 0,
            coverage: 0.0,
            least_coverage: 1.0,
            refused: BTreeMap::new(),
            failed: 0,
            answers: histogram(),
            refusals: histogram(),
        }
    }
}

impl Tally {
    /// Counts an answer that came `latency` after the intended start.
    pub fn answer(&mut self, kind: &Kind, answer: &Answer, latency: Duration) {
        let share = answer.coverage.share();
        self.sent += 1;
        self.answered += 1;
        self.full += u64::from(answer.coverage.is_full());
        self.in_time += u64::from(latency <= kind.deadline);
        self.needed += u64::from(answer.coverage.total);
        self.coverage += share;
        self.least_coverage = self.least_coverage.min(share);
        record(&mut self.answers, latency);
    }

    /// Counts a refusal that came `latency` after the intended start.
    pub fn refuse(&mut self, refusal: &Refusal, latency: Duration) {
        self.sent += 1;
        *self.refused.entry(label(refusal.cause, refusal.ran)).or_default() += 1;
        record(&mut self.refusals, latency);
    }

    /// Counts a request without a usable reply.
    pub fn fail(&mut self) {
        self.sent += 1;
        self.failed += 1;
    }

    /// Adds the counts of another tally.
    pub fn add(&mut self, other: &Tally) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.full += other.full;
        self.in_time += other.in_time;
        self.needed += other.needed;
        self.coverage += other.coverage;
        self.least_coverage = self.least_coverage.min(other.least_coverage);
        self.failed += other.failed;
        for (cause, count) in &other.refused {
            *self.refused.entry(cause.clone()).or_default() += count;
        }
        self.answers.add(&other.answers).expect("an auto-resizing histogram accepts any other");
        self.refusals.add(&other.refusals).expect("an auto-resizing histogram accepts any other");
    }

    /// Returns the number of parts that the answers needed.
    #[must_use]
    pub fn needed(&self) -> u64 {
        self.needed
    }

    /// Returns the counts as a row of a report on a run that took `duration`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall::load::tally::Tally;
    /// let mut tally = Tally::default();
    /// tally.fail();
    /// assert_eq!(tally.row("total".into(), Duration::from_secs(1)).failed, 1);
    /// ```
    #[must_use]
    pub fn row(&self, name: id::Name, duration: Duration) -> Row {
        let answered = self.answered.max(1) as f64;
        Row {
            name,
            sent: self.sent,
            answered: self.answered,
            full: self.full,
            goodput: self.in_time as f64 / duration.as_secs_f64(),
            coverage: self.coverage / answered,
            least_coverage: self.least_coverage,
            latency: latency(&self.answers),
            refusal_latency: latency(&self.refusals),
            refused: self.refused.clone(),
            failed: self.failed,
        }
    }
}

/// Returns the label of a kind of refusal, such as `overloaded/not_run`.
fn label(cause: Cause, ran: Ran) -> String {
    let word = |value: Result<serde_json::Value, _>| match value {
        Ok(serde_json::Value::String(word)) => word,
        _ => unreachable!("a cause is written as one word"),
    };
    let ran = word(serde_json::to_value(ran));
    format!("{}/{ran}", word(serde_json::to_value(cause)))
}

fn latency(histogram: &Histogram<u64>) -> Latency {
    let at = |quantile| histogram.value_at_quantile(quantile);
    Latency {
        p50_us: at(0.5),
        p90_us: at(0.9),
        p99_us: at(0.99),
        p999_us: at(0.999),
        max_us: histogram.max(),
        curve: curve(histogram),
    }
}

/// Returns the points of the distribution, which are denser towards the tail.
fn curve(histogram: &Histogram<u64>) -> Vec<Point> {
    let mut points = Vec::new();
    let mut remaining = 1.0;
    while remaining * histogram.len() as f64 >= 1.0 {
        let quantile = 1.0 - remaining;
        points.push(Point { quantile, us: histogram.value_at_quantile(quantile) });
        remaining *= CURVE_STEP;
    }
    points
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.record(micros(latency)).expect("an auto-resizing histogram accepts any value");
}

fn micros(latency: Duration) -> u64 {
    u64::try_from(latency.as_micros()).unwrap_or(u64::MAX)
}
