//! Open asks, dispatched runs, and the actions that the engine returns. Checks
//! that each ask gets exactly one answer and is dispatched at most once.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;

use jacinthfall_core::id;
use jacinthfall_core::query::Outcome;
use jacinthfall_core::time::{Time, Wall};

use crate::Action;

/// An unanswered ask.
#[derive(Debug)]
struct Pending {
    request: id::Request,
    deadline: Time,
}

/// Open asks, dispatched runs, and the actions to return.
#[derive(Debug, Default)]
pub struct Ledger {
    asks: BTreeMap<id::Token, Pending>,
    deadlines: BTreeSet<(Time, id::Token)>,
    running: BTreeMap<id::Token, id::Request>,
    actions: Vec<Action>,
}

impl Ledger {
    /// Registers an ask.
    pub fn register(&mut self, token: id::Token, request: id::Request, deadline: Time) {
        assert!(!self.running.contains_key(&token), "the token of a running request is not reused");
        self.deadlines.insert((deadline, token));
        let before = self.asks.insert(token, Pending { request, deadline });
        assert!(before.is_none(), "the token of an open ask is not reused");
    }

    /// Answers an open ask.
    pub fn answer(&mut self, token: id::Token, outcome: Outcome) {
        let ask = self.asks.remove(&token).expect("every ask gets exactly one answer");
        self.deadlines.remove(&(ask.deadline, token));
        self.actions.push(Action::Answer { token, outcome });
    }

    /// Dispatches a run on behalf of an open ask.
    pub fn dispatch(&mut self, token: id::Token, expires: Wall) {
        let ask = self.asks.get(&token).expect("a run is dispatched for an open ask");
        let before = self.running.insert(token, ask.request.clone());
        assert!(before.is_none(), "an ask is dispatched at most once");
        self.actions.push(Action::Dispatch { token, expires });
    }

    /// Ends a dispatched run and returns its request id, or `None` if there is no
    /// such run.
    pub fn end_run(&mut self, token: id::Token) -> Option<id::Request> {
        self.running.remove(&token)
    }

    /// Returns an open ask whose deadline was reached.
    pub fn first_overdue(&self, now: Time) -> Option<(id::Token, id::Request)> {
        let (deadline, token) = *self.deadlines.first()?;
        (deadline <= now).then(|| (token, self.asks[&token].request.clone()))
    }

    /// Returns the earliest deadline of the open asks.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Adds an action.
    pub fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Returns the actions added since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        mem::take(&mut self.actions)
    }
}
