//! Several engines with a fake store and a fake leaf, in virtual time.
//!
//! Each event passed to an engine and each action of an engine is a step. A fault
//! is injected at a step. It takes effect there, or it is armed and takes effect
//! at the next call that it applies to.

mod fault;
mod history;
pub mod store;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jacinthfall_claim::{Action, Engine, Event, Now, Settings};
use jacinthfall_core::coverage::Coverage;
use jacinthfall_core::id::{Incarnation, Request, Token, Version};
use jacinthfall_core::query::{Answer, Outcome, Row};
use jacinthfall_core::refusal::{Cause, Ran, Refusal};
use jacinthfall_core::time::{Time, Wall};

pub use fault::Fault;
pub use history::{Ask, History, Tally};
use store::{Op, Store};

pub const START: Wall = Wall(1_700_000_000_000);
pub const DEADLINE: Duration = Duration::from_millis(500);
pub const WINDOW: Duration = Duration::from_secs(60);
pub const SKEW: Duration = Duration::from_secs(2);
const NETWORK_DELAY: Duration = Duration::from_micros(2_500);
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
const LATE_REPLY_DELAY: Duration = Duration::from_millis(900);
const OUTAGE_LENGTH: Duration = Duration::from_millis(1_500);
const RESTART_DELAY: Duration = Duration::from_millis(200);

struct Node {
    engine: Option<Engine>,
    generation: u64,
    clock_offset: Duration,
    frozen_until: Option<Time>,
    wake: Option<Time>,
}

/// Something to be done at a point in virtual time.
#[derive(Clone, Debug)]
enum Task {
    Ask { node: usize, request: Request, issued: Wall },
    Event { node: usize, generation: u64, event: Event },
    Wake { node: usize, generation: u64, at: Time },
    CarryOut { node: usize, generation: u64, actions: VecDeque<Action> },
    Store { node: usize, generation: u64, call: u64, op: Op, fault: Option<Fault> },
    Leaf { node: usize, generation: u64, token: Token, expires: Wall, fault: Option<Fault> },
    Restart { node: usize },
}

/// The simulated system: nodes, store and leaf.
pub struct World {
    pub time: Time,
    pub history: History,
    nodes: Vec<Node>,
    settings: Settings,
    queue: BTreeMap<(Time, u64), Task>,
    sequence: u64,
    store: Store,
    outage_until: Time,
    armed_faults: Vec<Fault>,
    /// Whether a leaf never replied, so that a run never ends.
    has_silent_leaf: bool,
    plan: Vec<(usize, Fault)>,
    /// Steps so far.
    pub steps: usize,
    /// Number of faults that took effect.
    pub faults_injected: usize,
}

pub fn settings() -> Settings {
    Settings { buckets: 1, window: WINDOW, skew: SKEW, ..Settings::default() }
}

pub fn outcome(request: &str) -> Outcome {
    let coverage = Coverage { total: 1, answered: 1, missed: Vec::new() };
    let rows = vec![Row { key: request.into(), value: "issued".into() }];
    Outcome::Answered(Answer { version: Version(1), rows, coverage })
}

fn refusal(cause: Cause, ran: Ran) -> Outcome {
    let message = "ask again".to_owned();
    Outcome::Refused(Refusal { cause, ran, retry_after: None, message })
}

impl World {
    /// Opens three nodes whose wall clocks differ by up to the skew. Each fault of
    /// `plan` is injected at its step.
    pub fn open(plan: Vec<(usize, Fault)>) -> World {
        let mut world = World {
            time: Time(0),
            history: History::default(),
            nodes: Vec::new(),
            settings: settings(),
            queue: BTreeMap::new(),
            sequence: 0,
            store: Store::default(),
            outage_until: Time(0),
            armed_faults: Vec::new(),
            has_silent_leaf: false,
            plan,
            steps: 0,
            faults_injected: 0,
        };
        for clock_offset in [SKEW, Duration::ZERO, SKEW / 2] {
            let node =
                Node { engine: None, generation: 0, clock_offset, frozen_until: None, wake: None };
            world.nodes.push(node);
            world.restart(world.nodes.len() - 1);
        }
        world
    }

    /// Schedules an ask.
    pub fn ask(&mut self, at: Time, node: usize, request: &str, issued: Wall) {
        let request = request.into();
        self.push(at, Task::Ask { node, request, issued });
    }

    /// Returns the wall clock time of the callers and the leaf.
    pub fn wall(&self) -> Wall {
        START + self.time.since(Time(0))
    }

    /// Injects a fault now. Kills and freezes affect `node`; additional asks go to
    /// the node after it.
    pub fn inject(&mut self, node: usize, fault: Fault) {
        let other = (node + 1) % self.nodes.len();
        match fault {
            Fault::Kill => {
                self.nodes[node].engine = None;
                self.nodes[node].frozen_until = None;
                self.nodes[node].generation += 1;
                self.history.kill(node);
                self.push(self.time + RESTART_DELAY, Task::Restart { node });
            }
            Fault::Freeze => self.freeze(node, DEADLINE * 2),
            Fault::FreezePastSkew => self.freeze(node, SKEW * 3),
            Fault::FreezePastWindow => self.freeze(node, WINDOW + SKEW * 6),
            Fault::Outage => self.outage_until = self.time + OUTAGE_LENGTH,
            Fault::Duplicate => self.ask(self.time, other, "x", START),
            Fault::OtherClaim => {
                let request = format!("other-{}", self.sequence);
                self.ask(self.time, other, &request, self.wall());
            }
            Fault::RateLimit => self.armed_faults.extend([fault; 3]),
            _ => self.armed_faults.push(fault),
        }
        self.faults_injected += usize::from(!self.armed_faults.contains(&fault));
    }

    /// Cancels the planned faults and disarms the armed ones. Outages and frozen
    /// nodes end by themselves.
    pub fn stop_faults(&mut self) {
        self.plan.clear();
        self.armed_faults.clear();
    }

    /// Processes all tasks that are due up to `end`.
    pub fn run_until(&mut self, end: Time) {
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((time, _), task) = entry.remove_entry();
            self.time = self.time.max(time);
            self.process(task);
        }
        self.time = end;
    }

    fn push(&mut self, at: Time, task: Task) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), task);
    }

    fn freeze(&mut self, node: usize, length: Duration) {
        let until = self.time + length;
        let node = &mut self.nodes[node];
        node.frozen_until = Some(node.frozen_until.map_or(until, |before| before.max(until)));
    }

    fn restart(&mut self, node: usize) {
        let started = self.nodes[node].generation;
        let origin = Incarnation { node: format!("kbely-{node}").into(), started };
        self.nodes[node].engine = Some(Engine::open(origin, self.settings.clone()));
    }

    fn now(&self, node: usize) -> Now {
        let monotonic_offset = Duration::from_secs(100 + node as u64);
        Now {
            time: self.time + monotonic_offset,
            wall: self.wall() + self.nodes[node].clock_offset,
        }
    }

    /// Returns when a frozen node resumes, if `task` must wait for that.
    fn resume_time(&mut self, task: &Task) -> Option<Time> {
        let (Task::Ask { node, .. }
        | Task::Event { node, .. }
        | Task::Wake { node, .. }
        | Task::CarryOut { node, .. }) = task
        else {
            return None;
        };
        let until = self.nodes[*node].frozen_until?;
        if until > self.time {
            return Some(until);
        }
        self.nodes[*node].frozen_until = None;
        None
    }

    fn process(&mut self, task: Task) {
        if let Some(until) = self.resume_time(&task) {
            return self.push(until, task);
        }
        match task {
            Task::Ask { node, request, issued } => self.deliver_ask(node, request, issued),
            Task::Event { node, generation, event } => self.deliver(node, generation, event),
            Task::Wake { node, generation, at } => {
                if self.nodes[node].wake == Some(at) {
                    self.nodes[node].wake = None;
                    self.deliver(node, generation, Event::Wake);
                }
            }
            Task::CarryOut { node, generation, actions } => {
                self.carry_out_all(node, generation, actions);
            }
            Task::Store { node, generation, call, op, fault } => {
                self.call_store(node, generation, call, op, fault);
            }
            Task::Leaf { node, generation, token, expires, fault } => {
                self.call_leaf(node, generation, token, expires, fault);
            }
            Task::Restart { node } => self.restart(node),
        }
    }

    fn deliver_ask(&mut self, node: usize, request: Request, issued: Wall) {
        if self.nodes[node].engine.is_none() {
            return;
        }
        let ask = Ask::new(node, request.clone(), issued, self.time);
        let token = self.history.ask(ask);
        let deadline = self.now(node).time + DEADLINE;
        let event = Event::Ask { token, request, digest: 1, issued, deadline };
        self.deliver(node, self.nodes[node].generation, event);
    }

    /// Counts a step and injects the faults planned for it.
    fn step(&mut self, node: usize) {
        let step = self.steps;
        self.steps += 1;
        for (_, fault) in self.plan.clone().into_iter().filter(|(at, _)| *at == step) {
            self.inject(node, fault);
        }
    }

    fn deliver(&mut self, node: usize, generation: u64, event: Event) {
        if self.nodes[node].generation != generation {
            return;
        }
        self.step(node);
        let task = Task::Event { node, generation, event };
        if let Some(until) = self.resume_time(&task) {
            return self.push(until, task);
        }
        let Task::Event { event, .. } = task else { unreachable!() };
        let now = self.now(node);
        let Some(engine) = &mut self.nodes[node].engine else { return };
        let actions = engine.handle(now, event);
        self.carry_out_all(node, generation, actions.into());
    }

    fn carry_out_all(&mut self, node: usize, generation: u64, mut actions: VecDeque<Action>) {
        while let Some(action) = actions.pop_front() {
            if self.nodes[node].generation != generation {
                return;
            }
            self.step(node);
            actions.push_front(action);
            let task = Task::CarryOut { node, generation, actions };
            if let Some(until) = self.resume_time(&task) {
                return self.push(until, task);
            }
            let Task::CarryOut { actions: rest, .. } = task else { unreachable!() };
            actions = rest;
            if self.nodes[node].generation != generation {
                return;
            }
            let action = actions.pop_front().expect("the action was put back");
            self.carry_out(node, generation, action);
        }
    }

    fn carry_out(&mut self, node: usize, generation: u64, action: Action) {
        match action {
            Action::Read { call, key } => {
                let fault = self.take_armed(|fault| {
                    matches!(fault, Fault::RateLimit | Fault::ReadLost | Fault::SlowReply)
                });
                let task = Task::Store { node, generation, call, op: Op::Read { key }, fault };
                self.push(self.time + NETWORK_DELAY, task);
            }
            Action::Swap { call, key, expect, value } => {
                let fault = self.take_armed(|fault| {
                    use Fault::{RateLimit, SlowReply, SwapDelayed, SwapLost, SwapReplyLost};
                    matches!(fault, RateLimit | SwapLost | SwapReplyLost | SwapDelayed | SlowReply)
                });
                let delay = if fault == Some(Fault::SwapDelayed) {
                    CALL_TIMEOUT * 2
                } else {
                    NETWORK_DELAY
                };
                if fault == Some(Fault::SwapDelayed) {
                    let event =
                        Event::CallEnded { call, result: jacinthfall_claim::Completion::Unknown };
                    self.push(self.time + CALL_TIMEOUT, Task::Event { node, generation, event });
                }
                let op = Op::Swap { key, expect, value };
                self.push(self.time + delay, Task::Store { node, generation, call, op, fault });
            }
            Action::Dispatch { token, expires } => {
                let fault = self.take_armed(|fault| {
                    use Fault::{LeafBroken, LeafLate, LeafRefuses, LeafSilent, LeafUnsent};
                    matches!(fault, LeafSilent | LeafBroken | LeafLate | LeafRefuses | LeafUnsent)
                });
                let task = Task::Leaf { node, generation, token, expires, fault };
                self.push(self.time + NETWORK_DELAY, task);
            }
            Action::Answer { token, outcome } => self.history.answer(token, outcome, self.time),
            Action::Record(_) => {}
            Action::Wake(at) => {
                let monotonic_offset = self.now(node).time.since(self.time);
                self.nodes[node].wake = Some(at);
                self.push(
                    (at - monotonic_offset).max(self.time),
                    Task::Wake { node, generation, at },
                );
            }
        }
    }

    fn take_armed(&mut self, applies: impl Fn(Fault) -> bool) -> Option<Fault> {
        let index = self.armed_faults.iter().position(|fault| applies(*fault))?;
        let fault = self.armed_faults.remove(index);
        self.faults_injected += usize::from(!self.armed_faults.contains(&fault));
        Some(fault)
    }

    fn call_store(
        &mut self,
        node: usize,
        generation: u64,
        call: u64,
        op: Op,
        fault: Option<Fault>,
    ) {
        use jacinthfall_claim::Completion;
        let refused = self.time < self.outage_until || fault == Some(Fault::RateLimit);
        let result = match fault {
            _ if refused => Completion::Refused,
            Some(Fault::SwapLost | Fault::ReadLost) => Completion::Unknown,
            Some(Fault::SwapReplyLost) => {
                self.store.call(op);
                Completion::Unknown
            }
            Some(Fault::SwapDelayed) => {
                self.store.call(op);
                return;
            }
            _ => self.store.call(op),
        };
        let delay = match fault {
            Some(Fault::SlowReply) => LATE_REPLY_DELAY,
            _ if result == Completion::Unknown => CALL_TIMEOUT,
            _ => NETWORK_DELAY,
        };
        let event = Event::CallEnded { call, result };
        self.push(self.time + delay, Task::Event { node, generation, event });
    }

    fn call_leaf(
        &mut self,
        node: usize,
        generation: u64,
        token: Token,
        expires: Wall,
        fault: Option<Fault>,
    ) {
        let request = self.history.request(token);
        let is_expired = self.wall() >= expires;
        let not_run = refusal(Cause::Overloaded, Ran::NotRun);
        let (dispatched, outcome) = match fault {
            Some(Fault::LeafUnsent) => (false, refusal(Cause::Unavailable, Ran::Unknown)),
            Some(Fault::LeafRefuses) => (true, not_run),
            _ if is_expired => (true, not_run),
            _ => {
                self.history.run(token);
                (true, outcome(&request))
            }
        };
        let delay = if fault == Some(Fault::LeafLate) { LATE_REPLY_DELAY } else { NETWORK_DELAY };
        let outcome = match fault {
            Some(Fault::LeafSilent) => {
                self.has_silent_leaf = true;
                return;
            }
            Some(Fault::LeafBroken) if !is_expired => refusal(Cause::OutcomeUnknown, Ran::Unknown),
            _ => outcome,
        };
        let event = Event::RunEnded { token, dispatched, outcome };
        self.push(self.time + delay, Task::Event { node, generation, event });
    }

    /// Checks that every ask was answered and nothing remains to be written.
    pub fn check_finished(&self) {
        self.history.check_answered();
        let mut engines = self.nodes.iter().filter_map(|node| node.engine.as_ref());
        assert!(self.has_silent_leaf || engines.all(Engine::is_idle), "an engine has work left");
    }
}
