//! History of asks, answers and runs. The invariants of at-most-once runs are
//! checked whenever something is added.

use std::collections::BTreeMap;

use jacinthfall_core::id::{Request, Token};
use jacinthfall_core::query::Outcome;
use jacinthfall_core::refusal::Ran;
use jacinthfall_core::time::{Time, Wall};

use super::DEADLINE;

/// An ask and its answer.
pub struct Ask {
    node: usize,
    request: Request,
    issued: Wall,
    time: Time,
    killed: bool,
    order: u64,
    pub answer: Option<Outcome>,
    answer_order: u64,
    answer_time: Time,
}

impl Ask {
    pub fn new(node: usize, request: Request, issued: Wall, time: Time) -> Ask {
        let (killed, answer) = (false, None);
        let (order, answer_order, answer_time) = (0, 0, Time(0));
        Ask { node, request, issued, time, killed, order, answer, answer_order, answer_time }
    }

    fn is_same(&self, other: &Ask) -> bool {
        self.request == other.request && self.issued == other.issued
    }
}

/// All asks, answers and runs, in order.
#[derive(Default)]
pub struct History {
    order: u64,
    asks: BTreeMap<Token, Ask>,
    /// Tokens in the order in which the leaf ran them.
    pub runs: Vec<Token>,
}

impl History {
    fn next_order(&mut self) -> u64 {
        self.order += 1;
        self.order
    }

    pub fn ask(&mut self, ask: Ask) -> Token {
        let order = self.next_order();
        self.asks.insert(Token(order), Ask { order, ..ask });
        Token(order)
    }

    pub fn request(&self, token: Token) -> Request {
        self.asks[&token].request.clone()
    }

    pub fn kill(&mut self, node: usize) {
        for ask in self.asks.values_mut().filter(|a| a.node == node && a.answer.is_none()) {
            ask.killed = true;
        }
    }

    /// Adds a run of an ask's request by the leaf.
    pub fn run(&mut self, token: Token) {
        let ask = &self.asks[&token];
        for other in self.runs.iter().map(|run| &self.asks[run]) {
            assert!(!other.is_same(ask), "{} ran twice", ask.request);
            assert!(
                other.request != ask.request || other.issued < ask.issued,
                "{} ran after a later request with its id",
                ask.request
            );
        }
        for other in self.asks.values().filter(|other| other.is_same(ask)) {
            assert!(
                !is_not_run(other) || other.answer_order < ask.order,
                "{} was reported as not run, then ran for an ask that arrived before that answer",
                ask.request
            );
        }
        self.runs.push(token);
    }

    pub fn answer(&mut self, token: Token, outcome: Outcome, time: Time) {
        let order = self.next_order();
        let ask = self.asks.get_mut(&token).expect("only asks are answered");
        assert!(ask.answer.is_none(), "an ask is answered at most once");
        ask.answer = Some(outcome);
        ask.answer_order = order;
        ask.answer_time = time;
        let ask = &self.asks[&token];
        let ran = self.runs.iter().any(|run| self.asks[run].is_same(ask));
        assert!(!(is_not_run(ask) && ran), "{} ran, then was reported as not run", ask.request);
        if let Some(Outcome::Answered(_)) = ask.answer {
            assert!(ran, "{} was answered without a run", ask.request);
        }
    }

    /// Checks that every ask was answered, except those at killed nodes.
    pub fn check_answered(&self) {
        for ask in self.asks.values().filter(|ask| !ask.killed) {
            assert!(ask.answer.is_some(), "the ask for {} has no answer", ask.request);
        }
    }

    /// Checks that every answer arrived by its deadline.
    pub fn check_in_time(&self) {
        for ask in self.asks.values().filter(|ask| !ask.killed) {
            let took = ask.answer_time.since(ask.time);
            assert!(took <= DEADLINE, "the answer for {} took {took:?}", ask.request);
        }
    }

    /// Returns the answers to the asks with this id and issue time, in order of the
    /// asks.
    pub fn answers(&self, request: &str, issued: Wall) -> Vec<&Outcome> {
        let matches = |ask: &&Ask| &*ask.request == request && ask.issued == issued;
        self.asks.values().filter(matches).filter_map(|ask| ask.answer.as_ref()).collect()
    }

    /// Counts the asks by how they ended.
    pub fn tally(&self) -> Tally {
        let mut tally = Tally { cases: 1, runs: self.runs.len(), ..Tally::ZERO };
        for ask in self.asks.values() {
            tally.asks += 1;
            match &ask.answer {
                None => tally.killed += 1,
                Some(Outcome::Answered(_)) => tally.answered += 1,
                Some(_) if is_not_run(ask) => tally.not_run += 1,
                Some(_) => tally.unknown += 1,
            }
        }
        let was_not_run = |run: &&Token| {
            let ran = &self.asks[*run];
            self.asks.values().any(|ask| ask.is_same(ran) && is_not_run(ask))
        };
        tally.runs_after_not_run = self.runs.iter().filter(was_not_run).count();
        tally
    }

    /// Whether the leaf ran the request with this id and issue time.
    pub fn has_run(&self, request: &str, issued: Wall) -> bool {
        let mut runs = self.runs.iter().map(|run| &self.asks[run]);
        runs.any(|ask| &*ask.request == request && ask.issued == issued)
    }
}

/// Numbers of asks and runs.
#[derive(Clone, Copy, Debug)]
pub struct Tally {
    pub cases: u32,
    pub asks: usize,
    /// Asks without an answer, because their node was killed.
    pub killed: usize,
    pub answered: usize,
    pub not_run: usize,
    pub unknown: usize,
    pub runs: usize,
    /// Runs of requests that were also reported as not run to some ask.
    pub runs_after_not_run: usize,
}

impl Tally {
    pub const ZERO: Tally = Tally {
        cases: 0,
        asks: 0,
        killed: 0,
        answered: 0,
        not_run: 0,
        unknown: 0,
        runs: 0,
        runs_after_not_run: 0,
    };

    pub fn add(&mut self, other: &Tally) {
        self.cases += other.cases;
        self.asks += other.asks;
        self.killed += other.killed;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.runs += other.runs;
        self.runs_after_not_run += other.runs_after_not_run;
    }
}

fn is_not_run(ask: &Ask) -> bool {
    matches!(&ask.answer, Some(Outcome::Refused(refusal)) if refusal.ran == Ran::NotRun)
}
