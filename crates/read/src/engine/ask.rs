//! New requests: early refusal, admission, version pinning and placement of parts.

use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::fate::Report;
use jacinthfall_core::id;
use jacinthfall_core::profile::{Profile, Wait};
use jacinthfall_core::query::{Ask, Outcome, Scope};
use jacinthfall_core::refusal::{Cause, Ran, Refusal};
use jacinthfall_core::time::{Time, Wall};

use super::Engine;
use crate::Action;
use crate::admission::Rejection;
use crate::flight::Kind;
use crate::layout::Layout;
use crate::query::{Params, Query, Serial};
use crate::refusal::{RETRY_AFTER, before_dispatch};
use crate::timer::Timer;

fn rejection_refusal(rejection: Rejection, profile: &Profile) -> Refusal {
    let message = match rejection.cause {
        Cause::CallerLimit => "the caller has reached its share of the limit of profile",
        _ => "the node has reached the limit of profile",
    };
    let message = format!("{message} `{}`; retry later or send fewer requests", profile.name);
    before_dispatch(rejection.cause, Some(rejection.retry_after), message)
}

impl Engine {
    pub(super) fn ask(
        &mut self,
        token: id::Token,
        ask: Arc<Ask>,
        profile: Arc<Profile>,
        deadline: Time,
        expires: Wall,
    ) {
        assert!(!self.tokens.contains_key(&token), "invariant: a token identifies one request");
        self.counters.asks += 1;
        let layout = match self.check_and_pin(&ask, &profile, deadline) {
            Ok(layout) => layout,
            Err(refusal) => return self.refuse_early(token, refusal),
        };
        if let Err(rejection) = self.admission.admit(self.now, &profile, &ask.caller) {
            return self.refuse_early(token, rejection_refusal(rejection, &profile));
        }
        self.next_serial += 1;
        let serial = Serial(self.next_serial);
        let params = Params { serial, token, ask, profile, deadline, expires };
        let query = Query::new(self.now, params, layout);
        self.tokens.insert(token, serial);
        self.start(Box::new(query));
    }

    fn start(&mut self, mut query: Box<Query>) {
        self.timers.set(query.deadline, Timer::Deadline(query.serial));
        if query.profile.wait == Wait::Early {
            let due = query.arrived + query.profile.early_after;
            self.timers.set(due, Timer::Early(query.serial));
        }
        self.place_all(&mut query);
        self.settle(query);
    }

    /// Places every open part; none of them may be placed yet.
    pub(super) fn place_all(&mut self, query: &mut Query) {
        for part in 0..query.parts.len() {
            if query.parts[part].is_open() {
                self.place(query, part, Kind::First);
            }
        }
    }

    /// Refuses a request that cannot succeed, or returns the layout it is pinned to.
    fn check_and_pin(
        &self,
        ask: &Ask,
        profile: &Profile,
        deadline: Time,
    ) -> Result<Arc<Layout>, Refusal> {
        if deadline <= self.now {
            let message = "the deadline has already passed; retry with a later one";
            return Err(before_dispatch(Cause::DeadlineExceeded, Some(Duration::ZERO), message));
        }
        if !profile.idempotent && ask.query.scope == Scope::All {
            let message = "a non-idempotent request must address one shard; set a key";
            return Err(before_dispatch(Cause::BadRequest, None, message));
        }
        let layout = self.pin().filter(|layout| !layout.entries.is_empty());
        layout.ok_or_else(|| {
            let service = &self.service;
            let message =
                format!("this node has no partition map of service `{service}`; retry later");
            before_dispatch(Cause::Unavailable, Some(RETRY_AFTER), message)
        })
    }

    fn refuse_early(&mut self, token: id::Token, refusal: Refusal) {
        assert_eq!(refusal.ran, Ran::NotRun, "invariant: a request without parts did not run");
        self.counters.refused += 1;
        let outcome = Outcome::Refused(refusal);
        self.actions.push(Action::Answer { token, outcome, report: Report::default() });
    }

    /// Cancels the query of a caller that disconnected. A non-idempotent request that
    /// may have run continues, so that its outcome can be recorded.
    pub(super) fn abandon(&mut self, token: id::Token) {
        let Some(&serial) = self.tokens.get(&token) else { return };
        let query = self.take_query(serial).expect("a token in use has a query");
        if !query.profile.idempotent && query.sends > query.not_run {
            self.queries.insert(serial, query);
            return;
        }
        self.cancel_query(query);
    }
}
