//! How requests were served, by route, since the last lines about that.

use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use jacinthfall_core::id;
use jacinthfall_dispatch::flight::Answer;

use super::Request;

/// Longest response time that is told apart from longer ones, in milliseconds.
const MAX_MILLIS: u64 = 60_000;

/// How well a request was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Grade {
    Whole,
    /// Whole and in time, with sends beyond the first of each part.
    Repeated,
    Late,
    Partial,
    Refused,
    Failed,
    Abandoned,
}

impl Grade {
    pub(super) fn of(request: &Request<'_>, took: Duration, answer: Option<&Answer>) -> Grade {
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

/// Answers of one route.
#[derive(Debug)]
struct Counts {
    grades: HashMap<Grade, u64>,
    extra: u64,
    missing: u64,
    /// Response times of answers, in milliseconds.
    took: Histogram<u32>,
}

impl Counts {
    fn open() -> Counts {
        let took = Histogram::new_with_bounds(1, MAX_MILLIS, 2).expect("the bounds are valid");
        Counts { grades: HashMap::new(), extra: 0, missing: 0, took }
    }

    fn of(&self, grade: Grade) -> u64 {
        self.grades.get(&grade).copied().unwrap_or_default()
    }
}

/// Answers by route.
#[derive(Debug, Default)]
pub(super) struct Traffic(HashMap<id::Name, Counts>);

impl Traffic {
    /// Counts an answer, or a caller that left before there was one.
    pub(super) fn add(
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
        counts.extra += request.tally.extra_sends as u64;
        if matches!(grade, Grade::Whole | Grade::Repeated | Grade::Late | Grade::Partial) {
            let millis = u64::try_from(took.as_millis()).unwrap_or(MAX_MILLIS);
            counts.took.saturating_record(millis);
        }
        if let Some(Answer::Merged { missing, .. }) = answer {
            counts.missing += *missing as u64;
        }
    }

    /// A line for each route.
    pub(super) fn lines(&self, window: Duration) -> impl Iterator<Item = String> {
        self.0.iter().map(move |(route, counts)| {
            format!(
                "event=traffic route={route} window_ms={} whole={} late={} partial={} refused={} \
                 failed={} abandoned={} p50_ms={} p99_ms={} max_ms={} extra={} missing={}",
                window.as_millis(),
                counts.of(Grade::Whole) + counts.of(Grade::Repeated),
                counts.of(Grade::Late),
                counts.of(Grade::Partial),
                counts.of(Grade::Refused),
                counts.of(Grade::Failed),
                counts.of(Grade::Abandoned),
                counts.took.value_at_quantile(0.5),
                counts.took.value_at_quantile(0.99),
                counts.took.max(),
                counts.extra,
                counts.missing
            )
        })
    }
}
