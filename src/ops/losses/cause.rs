//! Why a request wasn't served completely and in time.

use serde::Serialize;

use super::round_trip_ms;
use crate::ops::explain::Line;

/// Expected response time from which a leaf that didn't answer counts as one that was known to
/// be slow, in milliseconds.
const SLOW_MS: i64 = 80;

/// Cause of a loss, as far as the lines about a request show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// A shard had no leaf that could take a part in time.
    NoLeaf,
    /// The leafs that could take a part were in use or paused.
    LeafsBusy,
    /// The leafs that could take a part had reached the rate limits that they state.
    RateLimit,
    /// The request is in quarantine, because it crashes leafs.
    Quarantine,
    /// A leaf was slow, as was expected when it was chosen.
    SlowLeaf,
    /// A leaf was slower than expected when it was chosen.
    LeafSlowerThanExpected,
    /// A leaf could not be reached, or accepted no further connection.
    Unreached,
    /// A leaf failed, or rejected the part.
    LeafFailed,
    /// The request waited for free leafs.
    Admission,
    /// Another node had the request most of the time before it passed it on.
    OtherNode,
    /// The request and its answer took the time on their way.
    Transport,
    /// The route allowed no further attempt.
    Attempts,
    /// The budget of extra sends was exhausted.
    Budget,
    /// Most parts were late, so the node itself was behind.
    NodeBusy,
    /// The request may have run and must not run twice.
    MayHaveRun,
    /// The node had lost its links to the leafs that got the request.
    LinksLost,
    /// The answer of another node, which served the request, was lost.
    AnswerLost,
    /// The caller had less time left than any leaf lately took.
    Deadline,
    /// The node had just started.
    NodeStarting,
    /// The request had no key of an organisation, which its route needs.
    NoKey,
    /// No organisation has the request's key.
    UnknownKey,
    /// The organisation of the caller had used up its quota.
    OverQuota,
    /// The request was not acceptable.
    Rejected,
    /// The lines don't show it.
    Unknown,
}

impl Cause {
    /// Returns the name that is printed.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Cause::NoLeaf => "no leaf",
            Cause::LeafsBusy => "leafs busy",
            Cause::RateLimit => "rate limit",
            Cause::Quarantine => "quarantine",
            Cause::SlowLeaf => "slow leaf",
            Cause::LeafSlowerThanExpected => "leaf slower than expected",
            Cause::Unreached => "leaf not reached",
            Cause::LeafFailed => "leaf failed",
            Cause::Admission => "admission",
            Cause::OtherNode => "other node",
            Cause::Transport => "way",
            Cause::Attempts => "attempts",
            Cause::Budget => "budget",
            Cause::NodeBusy => "node busy",
            Cause::MayHaveRun => "may have run",
            Cause::LinksLost => "links to leafs lost",
            Cause::AnswerLost => "answer of another node lost",
            Cause::Deadline => "deadline too short",
            Cause::NodeStarting => "node starting",
            Cause::NoKey => "no key",
            Cause::UnknownKey => "unknown key",
            Cause::OverQuota => "over quota",
            Cause::Rejected => "not acceptable",
            Cause::Unknown => "unknown",
        }
    }

    /// Returns the cause of a refusal or failure from the lines about its parts.
    pub(super) fn of_failure(steps: &[Line]) -> Cause {
        let given_up = steps.iter().rev().find(|step| step.event == "given_up");
        match given_up.map(|step| step.text("why")) {
            Some(why) => Cause::from_obstacle(why),
            None => Cause::of_slowest(steps),
        }
    }

    /// Returns the cause of a late answer.
    pub(super) fn of_lateness(steps: &[Line], answer: &Line) -> Cause {
        let (took, objective) = (answer.number("took_ms"), answer.number("objective_ms"));
        if took <= objective {
            let was_elsewhere = answer.number("elapsed_ms") > round_trip_ms(answer);
            return if was_elsewhere { Cause::OtherNode } else { Cause::Transport };
        }
        if answer.number("waited_ms") * 2 > took {
            return Cause::Admission;
        }
        Cause::of_slowest(steps)
    }

    /// Returns the cause why a shard is missing from an answer. `leafs` are those that its part
    /// was sent to; the lines about it may have been left out.
    pub(super) fn of_missing_part(steps: &[Line], service: &str, leafs: &str) -> Cause {
        let own: Vec<&Line> = steps.iter().filter(|step| step.text("service") == service).collect();
        if own.is_empty() {
            return if leafs.is_empty() { Cause::NoLeaf } else { Cause::LeafSlowerThanExpected };
        }
        let obstacle =
            own.iter().rev().find(|step| matches!(step.event.as_str(), "given_up" | "not_resent"));
        if let Some(step) = obstacle
            && step.event == "given_up"
        {
            return Cause::from_obstacle(step.text("why"));
        }
        let responses = own.iter().rev().filter(|step| step.event == "response");
        match responses.map(|step| step.text("result")).next() {
            Some("unsent") => Cause::Unreached,
            Some("failure" | "not_run" | "unknown") => Cause::LeafFailed,
            _ => Cause::of_send(own.iter().rev().find(|step| step.event == "send").copied(), None),
        }
    }

    /// Returns why the part that was answered last took so long.
    fn of_slowest(steps: &[Line]) -> Cause {
        if steps.iter().any(|step| step.text("why") == "node_busy") {
            return Cause::NodeBusy;
        }
        let is_success =
            |step: &&Line| step.event == "response" && step.text("result") == "success";
        let last = steps.iter().filter(is_success).max_by_key(|step| step.number("at_ms"));
        let Some(last) = last else { return Cause::Unknown };
        let send = steps.iter().find(|step| {
            step.event == "send"
                && step.text("service") == last.text("service")
                && step.text("leaf") == last.text("leaf")
        });
        Cause::of_send(send, Some(last))
    }

    /// Compares what was expected of a leaf with when it answered, if it did.
    fn of_send(send: Option<&Line>, response: Option<&Line>) -> Cause {
        let Some(send) = send else { return Cause::Unknown };
        let expected = send.number("expected_ms");
        let took = response.map(|response| response.number("at_ms") - send.number("at_ms"));
        match took {
            Some(took) if took <= 2 * expected => Cause::SlowLeaf,
            Some(_) => Cause::LeafSlowerThanExpected,
            None if expected >= SLOW_MS => Cause::SlowLeaf,
            None => Cause::LeafSlowerThanExpected,
        }
    }

    fn from_obstacle(why: &str) -> Cause {
        match why {
            "no_leaf" => Cause::NoLeaf,
            "leafs_busy" => Cause::LeafsBusy,
            "rate_limit" => Cause::RateLimit,
            "quarantine" => Cause::Quarantine,
            "attempts" => Cause::Attempts,
            "budget" => Cause::Budget,
            "node_busy" => Cause::NodeBusy,
            "may_have_run" => Cause::MayHaveRun,
            "lost" => Cause::LinksLost,
            "deadline" => Cause::Deadline,
            _ => Cause::Unknown,
        }
    }
}
