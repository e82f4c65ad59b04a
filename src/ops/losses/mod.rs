//! `losses`: tells from the logs of any number of nodes where service was lost.
//!
//! [`Losses`] reads the lines one by one and keeps counts only, so that logs of any size can be
//! read. [`cause`](Cause) derives the cause of a loss from the lines about a request, and
//! `render` formats the counts.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::ops::explain::Line;

mod cause;
mod render;

pub use cause::Cause;
pub use render::render;

/// Maximum number of lines about one request that are kept until its answer.
const MAX_STEPS: usize = 64;

/// Number of shards that are listed as missing most often.
const MAX_SHARDS: usize = 5;

/// How a request was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// It was answered after its latency objective.
    Late,
    /// Its answer lacks shards.
    Partial,
    /// It was refused without having run.
    Refused,
    /// It was answered with an error.
    Failed,
}

impl Loss {
    /// Returns the name that is printed.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Loss::Late => "late",
            Loss::Partial => "partial",
            Loss::Refused => "refused",
            Loss::Failed => "failed",
        }
    }
}

/// Number of losses of one kind with one cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Count {
    /// How requests were lost.
    pub loss: Loss,
    /// Why.
    pub cause: Cause,
    /// Number of logged requests.
    pub requests: u64,
}

/// Losses of one route in one stretch of time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Date and start of the stretch, UTC.
    pub from: String,
    /// Name of the route.
    pub route: String,
    /// Requests that nodes counted, also those without a line of their own.
    pub counted: u64,
    /// Requests that nodes counted as lost.
    pub lost: u64,
    /// Lost requests without a line of their own.
    pub without_line: u64,
    /// Logged losses by kind and cause.
    pub causes: Vec<Count>,
    /// Shards that were missing most often, with the number of logged answers.
    pub missing: Vec<(String, u64)>,
}

/// The losses in all logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Rows by time and route.
    pub rows: Vec<Row>,
    /// Number of lines that could not be parsed.
    pub unreadable: u64,
}

/// Counts of one route in one stretch of time.
#[derive(Debug, Default)]
struct Stretch {
    counted: u64,
    lost: u64,
    logged: u64,
    causes: BTreeMap<(Loss, Cause), u64>,
    missing: BTreeMap<String, u64>,
}

/// Lines about the request that a node is writing about.
#[derive(Debug, Default)]
struct Pending {
    id: String,
    steps: Vec<Line>,
}

/// Counts losses while it reads log lines.
#[derive(Debug)]
pub struct Losses {
    /// Length of a stretch, in milliseconds.
    stretch_ms: i64,
    stretches: BTreeMap<(String, i64, String), Stretch>,
    /// Pending lines by node.
    pending: HashMap<String, Pending>,
}

impl Losses {
    /// Creates empty counts with stretches of `stretch_ms` milliseconds.
    #[must_use]
    pub fn open(stretch_ms: i64) -> Losses {
        Losses {
            stretch_ms: stretch_ms.max(1),
            stretches: BTreeMap::new(),
            pending: HashMap::new(),
        }
    }

    /// Adds a line that a node wrote.
    ///
    /// ```
    /// use jacinthfall::ops::explain::Line;
    /// use jacinthfall::ops::losses::{Losses, render};
    /// let mut losses = Losses::open(5_000);
    /// let text = "time=2026-12-03T10:00:03.000Z level=INFO event=traffic route=r whole=8 \
    ///             late=0 partial=1 refused=1 failed=0 abandoned=0";
    /// losses.add("n-1", Line::parse(text).unwrap());
    /// let report = losses.report(0);
    /// assert_eq!((report.rows[0].counted, report.rows[0].lost), (10, 2));
    /// assert!(render(&report).contains("10:00:00"));
    /// ```
    pub fn add(&mut self, node: &str, line: Line) {
        match line.event.as_str() {
            "traffic" => self.add_traffic(&line),
            "answer" => self.add_answer(node, &line),
            "rejected" => self.add_rejection(&line),
            "relayed" if line.text("outcome") == "unknown" => self.add_lost_answer(&line),
            "send" | "response" | "given_up" | "not_resent" => self.add_step(node, line),
            _ => {}
        }
    }

    /// Returns the counts. `unreadable` is the number of lines that could not be parsed.
    #[must_use]
    pub fn report(self, unreadable: u64) -> Report {
        let rows = self.stretches.into_iter().map(|((date, start, route), stretch)| Row {
            from: format!("{date}T{}", clock(start)),
            route,
            counted: stretch.counted,
            lost: stretch.lost,
            without_line: stretch.lost.saturating_sub(stretch.logged),
            causes: counts(stretch.causes),
            missing: most_frequent(stretch.missing),
        });
        Report { rows: rows.collect(), unreadable }
    }

    fn stretch(&mut self, line: &Line, route: &str) -> Option<&mut Stretch> {
        let date = line.time.split_once('T')?.0;
        let millis = line.millis_of_day()?;
        let start = millis - millis % self.stretch_ms;
        Some(self.stretches.entry((date.to_owned(), start, route.to_owned())).or_default())
    }

    fn add_traffic(&mut self, line: &Line) {
        let count = |name: &str| u64::try_from(line.number(name)).unwrap_or_default();
        let lost = count("late") + count("partial") + count("refused") + count("failed");
        let counted = lost + count("whole") + count("abandoned");
        if let Some(stretch) = self.stretch(line, line.text("route")) {
            stretch.counted += counted;
            stretch.lost += lost;
        }
    }

    fn add_step(&mut self, node: &str, line: Line) {
        if !self.pending.contains_key(node) {
            self.pending.insert(node.to_owned(), Pending::default());
        }
        let pending = self.pending.get_mut(node).expect("inserted above");
        if pending.id != line.text("id") {
            line.text("id").clone_into(&mut pending.id);
            pending.steps.clear();
        }
        if pending.steps.len() < MAX_STEPS {
            pending.steps.push(line);
        }
    }

    fn add_answer(&mut self, node: &str, answer: &Line) {
        let pending = self.pending.remove(node).unwrap_or_default();
        let steps = if pending.id == answer.text("id") { pending.steps } else { Vec::new() };
        let Some(loss) = loss(answer) else { return };
        let missing = missing_parts(answer);
        let cause = match loss {
            Loss::Late => Cause::of_lateness(&steps, answer),
            Loss::Partial => {
                let (first, leafs) = missing.first().copied().unwrap_or_default();
                Cause::of_missing_part(&steps, first, leafs)
            }
            Loss::Refused | Loss::Failed => Cause::of_failure(&steps),
        };
        let Some(stretch) = self.stretch(answer, answer.text("route")) else { return };
        stretch.logged += 1;
        *stretch.causes.entry((loss, cause)).or_default() += 1;
        if loss == Loss::Partial {
            for (service, _) in missing {
                *stretch.missing.entry(service.to_owned()).or_default() += 1;
            }
        }
    }

    /// Adds a request whose answer by another node was lost, so that no node counted it.
    fn add_lost_answer(&mut self, line: &Line) {
        if let Some(stretch) = self.stretch(line, line.text("route")) {
            stretch.counted += 1;
            stretch.lost += 1;
            stretch.logged += 1;
            *stretch.causes.entry((Loss::Failed, Cause::AnswerLost)).or_default() += 1;
        }
    }

    fn add_rejection(&mut self, line: &Line) {
        let (loss, cause) = match line.text("reason") {
            "starting" => (Loss::Refused, Cause::NodeStarting),
            "no_key" => (Loss::Failed, Cause::NoKey),
            "unknown_key" => (Loss::Failed, Cause::UnknownKey),
            "over_quota" => (Loss::Refused, Cause::OverQuota),
            _ => (Loss::Failed, Cause::Rejected),
        };
        if let Some(stretch) = self.stretch(line, "-") {
            stretch.counted += 1;
            stretch.lost += 1;
            stretch.logged += 1;
            *stretch.causes.entry((loss, cause)).or_default() += 1;
        }
    }
}

/// Returns how the request of an answer was lost; `None` if it was served completely and in
/// time, or its caller left.
fn loss(answer: &Line) -> Option<Loss> {
    match answer.text("outcome") {
        "refused" => Some(Loss::Refused),
        "failed" | "leaf_failure" => Some(Loss::Failed),
        "merged" if answer.number("detail") > 0 => Some(Loss::Partial),
        "merged" | "success" if is_late(answer) => Some(Loss::Late),
        _ => None,
    }
}

/// Whether an answer reached its caller after the objective of its route, which nodes of earlier
/// releases don't log.
fn is_late(answer: &Line) -> bool {
    let total = answer.number("took_ms") + answer.number("elapsed_ms") + round_trip_ms(answer);
    answer.get("objective_ms").is_some() && total > answer.number("objective_ms")
}

/// Returns the time that the request and its answer took to arrive, as the node estimated it.
fn round_trip_ms(answer: &Line) -> i64 {
    answer.number("transport_ms") - 2 * answer.number("lag_ms")
}

/// Returns the service of each part without an answer, and the leafs that it was sent to.
fn missing_parts(answer: &Line) -> Vec<(&str, &str)> {
    let parts = answer.text("missing").split_whitespace();
    parts.filter_map(|part| part.split_once(':')).collect()
}

fn counts(causes: BTreeMap<(Loss, Cause), u64>) -> Vec<Count> {
    let counts =
        causes.into_iter().map(|((loss, cause), requests)| Count { loss, cause, requests });
    counts.collect()
}

fn most_frequent(missing: BTreeMap<String, u64>) -> Vec<(String, u64)> {
    let mut shards: Vec<(String, u64)> = missing.into_iter().collect();
    shards.sort_by(|(_, a), (_, b)| b.cmp(a));
    shards.truncate(MAX_SHARDS);
    shards
}

/// Formats milliseconds since midnight.
fn clock(millis: i64) -> String {
    let seconds = millis / 1_000;
    format!("{:02}:{:02}:{:02}", seconds / 3_600, seconds / 60 % 60, seconds % 60)
}
