//! The end of a request: its complete or partial answer, its failure or refusal.
//!
//! Answers shards that can't be reached or are late: a query is answered with what there is
//! shortly before its objective passes, and a request that can't succeed any more ends at once.

use http::{HeaderValue, StatusCode};
use jacinthfall_core::time::Time;
use jacinthfall_route::snapshot::Target;

use super::message::{Action, Answer};
use super::retry::{self, Room};
use super::{Context, Flight};
use crate::merge;

impl Flight {
    /// Finishes the request if its answer is known: enough parts are answered, the deadline
    /// has passed, or too few parts can still be answered.
    pub(super) fn finish_if_decided(
        &mut self,
        now: Time,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        if self.finished {
            return;
        }
        let given_up = self.parts.iter().filter(|part| part.is_given_up()).count();
        let answered = self.answered_count();
        let total = self.parts.len();
        let complete = answered + given_up == total && answered >= self.min_answers.max(1);
        let enough = self.is_answerable_early() && now >= self.answer_by;
        let unanswerable = total - given_up < self.min_answers.max(1);
        let answer = if complete || enough {
            self.observe_late(now, context);
            self.success()
        } else if now >= self.deadline {
            self.timeout()
        } else if unanswerable {
            self.failure(now, context)
        } else {
            return;
        };
        self.leave_queues(context.fleet);
        actions.extend(self.finish(answer));
    }

    fn success(&mut self) -> Answer {
        let Target::Gather(gather) = &self.route.target else {
            let reply = self.parts.iter_mut().find_map(|part| part.reply.take());
            return reply.map_or(Answer::Failed(StatusCode::BAD_GATEWAY), Answer::Forward);
        };
        let replies = || self.parts.iter().filter_map(|part| part.reply.as_ref());
        let receipts: Vec<HeaderValue> = replies().filter_map(|r| r.receipt.clone()).collect();
        let body = merge::greatest(replies().map(|reply| &reply.body[..]), gather.top);
        Answer::Merged { missing: self.parts.len() - receipts.len(), receipts, body }
    }

    fn failure(&mut self, now: Time, context: &Context<'_>) -> Answer {
        if !self.parts.iter().any(|part| part.may_have_run || part.has_written_send()) {
            let given_up = self.parts.iter().filter(|part| part.is_given_up());
            let available =
                given_up.filter_map(|part| context.fleet.available_at(now, &part.service)).max();
            let response = context.latency.quantile(0.5);
            let room = available.map_or(Room::Unknown, |at| Room::Expected { at, response });
            let retry_after = retry::delay(now, self.deadline, room, context.jitter);
            return Answer::Refused { retry_after };
        }
        let is_gather = matches!(self.route.target, Target::Gather(_));
        let failure = self.parts.iter_mut().find_map(|part| part.failure.take());
        match failure {
            Some(reply) if !is_gather => Answer::Forward(reply),
            _ => Answer::Failed(StatusCode::BAD_GATEWAY),
        }
    }

    fn timeout(&mut self) -> Answer {
        if self.is_answerable_early() {
            return self.success();
        }
        Answer::Failed(StatusCode::GATEWAY_TIMEOUT)
    }

    pub(super) fn finish(&mut self, answer: Answer) -> Vec<Action> {
        self.finished = true;
        vec![Action::Finish(answer)]
    }
}
