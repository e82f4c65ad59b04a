//! Counts how requests were served, by route, since the last summary.

use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use jacinthfall_core::id;
use jacinthfall_dispatch::flight::Answer;

use super::Request;

/// Maximum response time that the histogram records, in milliseconds; longer ones are
/// recorded as this one.
const MAX_RESPONSE_MILLIS: u64 = 60_000;

/// How well a request was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Grade {
    /// Complete, in time and without extra sends.
    Whole,
    /// Complete and in time, with sends beyond the first of each part.
    Repeated,
    /// Complete, but later than the latency objective of the route.
    Late,
    /// Without some of the shards.
    Partial,
    /// Refused without having run.
    Refused,
    /// Answered with an error.
    Failed,
    /// The caller disconnected before there was an answer.
    Abandoned,
}

impl Grade {
    pub(super) fn from_answer(
        request: &Request<'_>,
        took: Duration,
        answer: Option<&Answer>,
    ) -> Grade {
        match answer {
            None => Grade::Abandoned,
            Some(Answer::Refused { .. }) => Grade::Refused,
            Some(Answer::Failed(_)) => Grade::Failed,
            Some(Answer::Forward(reply)) if !reply.status.is_success() => Grade::Failed,
            Some(Answer::Merged { missing: 1.., .. }) => Grade::Partial,
            Some(_) if took > request.route.objective => Grade::Late,
            Some(_) if request.tally.extra_sends > 0 => Grade::Repeated,
            Some(_) => Grade::Whole,
        }
    }
}

/// Counts of one route's requests.
#[derive(Debug)]
struct Counts {
    /// Number of requests by grade.
    grades: HashMap<Grade, u64>,
    /// Number of sends beyond the first of each part.
    extra_sends: u64,
    /// Number of shards that answers lack.
    missing_parts: u64,
    /// Response times of successful answers, in milliseconds.
    response_times: Histogram<u32>,
}

impl Counts {
    fn open() -> Counts {
        let response_times =
            Histogram::new_with_bounds(1, MAX_RESPONSE_MILLIS, 2).expect("the bounds are valid");
        Counts { grades: HashMap::new(), extra_sends: 0, missing_parts: 0, response_times }
    }

    fn count(&self, grade: Grade) -> u64 {
        self.grades.get(&grade).copied().unwrap_or_default()
    }
}

/// Counts of requests by route.
#[derive(Debug, Default)]
pub(super) struct Traffic(HashMap<id::Name, Counts>);

impl Traffic {
    /// Counts a request; `answer` is `None` if its caller disconnected before there was one.
    pub(super) fn record(
        &mut self,
        request: &Request<'_>,
        grade: Grade,
        took: Duration,
        answer: Option<&Answer>,
    ) {
        let name = &request.route.name;
        if !self.0.contains_key(name) {
            self.0.insert(name.clone(), Counts::open());
        }
        let counts = self.0.get_mut(name).expect("inserted above");
        *counts.grades.entry(grade).or_default() += 1;
        counts.extra_sends += request.tally.extra_sends as u64;
        if matches!(grade, Grade::Whole | Grade::Repeated | Grade::Late | Grade::Partial) {
            let millis = u64::try_from(took.as_millis()).unwrap_or(MAX_RESPONSE_MILLIS);
            counts.response_times.saturating_record(millis);
        }
        if let Some(Answer::Merged { missing, .. }) = answer {
            counts.missing_parts += *missing as u64;
        }
    }

    /// Formats a summary line for each route.
    pub(super) fn lines(&self, window: Duration) -> impl Iterator<Item = String> {
        self.0.iter().map(move |(route, counts)| {
            format!(
                "event=traffic route={route} window_ms={} whole={} late={} partial={} refused={} \
                 failed={} abandoned={} p50_ms={} p99_ms={} max_ms={} extra={} missing={}",
                window.as_millis(),
                counts.count(Grade::Whole) + counts.count(Grade::Repeated),
                counts.count(Grade::Late),
                counts.count(Grade::Partial),
                counts.count(Grade::Refused),
                counts.count(Grade::Failed),
                counts.count(Grade::Abandoned),
                counts.response_times.value_at_quantile(0.5),
                counts.response_times.value_at_quantile(0.99),
                counts.response_times.max(),
                counts.extra_sends,
                counts.missing_parts
            )
        })
    }
}
