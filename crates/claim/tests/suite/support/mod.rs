//! Several engines with a fake store and a fake leaf, in virtual time.
//!
//! Every event given to an engine and every action of one is a step. Faults
//! strike at a step, or arm there and strike the next call that they fit.

mod check;
mod fault;
pub mod store;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use jacinthfall_claim::{Action, Engine, Event, Now, Settings};
use jacinthfall_core::coverage::Coverage;
use jacinthfall_core::id::{Incarnation, Request, Token, Version};
use jacinthfall_core::query::{Answer, Outcome, Row};
use jacinthfall_core::refusal::{Cause, Ran, Refusal};
use jacinthfall_core::time::{Time, Wall};

pub use check::{Asked, Ledger, Tally};
pub use fault::Fault;
use store::{Op, Store};

pub const START: Wall = Wall(1_700_000_000_000);
pub const DEADLINE: Duration = Duration::from_millis(500);
pub const WINDOW: Duration = Duration::from_secs(60);
pub const SKEW: Duration = Duration::from_secs(2);
const HOP: Duration = Duration::from_micros(2_500);
const LOST: Duration = Duration::from_millis(300);
const LATE: Duration = Duration::from_millis(900);
const OUTAGE: Duration = Duration::from_millis(1_500);
const RESTART: Duration = Duration::from_millis(200);

struct Node {
    engine: Option<Engine>,
    life: u64,
    ahead: Duration,
    frozen_until: Option<Time>,
    wake: Option<Time>,
}

/// Something that happens at a point in time.
#[derive(Clone, Debug)]
enum Due {
    Ask { node: usize, request: Request, issued: Wall },
    Event { node: usize, life: u64, event: Event },
    Wake { node: usize, life: u64, at: Time },
    Act { node: usize, life: u64, actions: VecDeque<Action> },
    Store { node: usize, life: u64, call: u64, op: Op, fault: Option<Fault> },
    Leaf { node: usize, life: u64, token: Token, expires: Wall, fault: Option<Fault> },
    Restart { node: usize },
}

/// The whole system in virtual time.
pub struct World {
    pub time: Time,
    pub ledger: Ledger,
    nodes: Vec<Node>,
    settings: Settings,
    queue: BTreeMap<(Time, u64), Due>,
    sequence: u64,
    store: Store,
    outage_until: Time,
    armed: Vec<Fault>,
    /// Whether a leaf kept silent, so that a run never ends.
    silent: bool,
    plan: Vec<(usize, Fault)>,
    /// Steps so far.
    pub steps: usize,
    /// Faults that struck.
    pub struck: usize,
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
    /// Opens three nodes whose clocks differ by up to the skew.
    pub fn open(plan: Vec<(usize, Fault)>) -> World {
        let mut world = World {
            time: Time(0),
            ledger: Ledger::default(),
            nodes: Vec::new(),
            settings: settings(),
            queue: BTreeMap::new(),
            sequence: 0,
            store: Store::default(),
            outage_until: Time(0),
            armed: Vec::new(),
            silent: false,
            plan,
            steps: 0,
            struck: 0,
        };
        for ahead in [SKEW, Duration::ZERO, SKEW / 2] {
            let node = Node { engine: None, life: 0, ahead, frozen_until: None, wake: None };
            world.nodes.push(node);
            world.restart(world.nodes.len() - 1);
        }
        world
    }

    /// Plans an ask.
    pub fn ask(&mut self, at: Time, node: usize, request: &str, issued: Wall) {
        let request = request.into();
        self.push(at, Due::Ask { node, request, issued });
    }

    /// Wall clock of the callers and of the leaf.
    pub fn wall(&self) -> Wall {
        START + self.time.since(Time(0))
    }

    /// Strikes with a fault now, at `node` if it is bound to one.
    pub fn strike(&mut self, node: usize, fault: Fault) {
        let other = (node + 1) % self.nodes.len();
        match fault {
            Fault::Kill => {
                self.nodes[node].engine = None;
                self.nodes[node].frozen_until = None;
                self.nodes[node].life += 1;
                self.ledger.kill(node);
                self.push(self.time + RESTART, Due::Restart { node });
            }
            Fault::Freeze => self.freeze(node, DEADLINE * 2),
            Fault::FreezePastSkew => self.freeze(node, SKEW * 3),
            Fault::FreezePastWindow => self.freeze(node, WINDOW + SKEW * 6),
            Fault::Outage => self.outage_until = self.time + OUTAGE,
            Fault::Duplicate => self.ask(self.time, other, "x", START),
            Fault::Rival => {
                let request = format!("rival-{}", self.sequence);
                self.ask(self.time, other, &request, self.wall());
            }
            Fault::RateLimit => self.armed.extend([fault; 3]),
            _ => self.armed.push(fault),
        }
        self.struck += usize::from(!self.armed.contains(&fault));
    }

    /// Ends all faults but those that last.
    pub fn calm(&mut self) {
        self.plan.clear();
        self.armed.clear();
    }

    /// Lets everything happen that is due up to `end`.
    pub fn run_until(&mut self, end: Time) {
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((time, _), due) = entry.remove_entry();
            self.time = self.time.max(time);
            self.happen(due);
        }
        self.time = end;
    }

    fn push(&mut self, at: Time, due: Due) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), due);
    }

    fn freeze(&mut self, node: usize, length: Duration) {
        let until = self.time + length;
        let node = &mut self.nodes[node];
        node.frozen_until = Some(node.frozen_until.map_or(until, |before| before.max(until)));
    }

    fn restart(&mut self, node: usize) {
        let started = self.nodes[node].life;
        let origin = Incarnation { node: format!("kbely-{node}").into(), started };
        self.nodes[node].engine = Some(Engine::open(origin, self.settings.clone()));
    }

    fn now(&self, node: usize) -> Now {
        let base = Duration::from_secs(100 + node as u64);
        Now { time: self.time + base, wall: self.wall() + self.nodes[node].ahead }
    }

    /// When a frozen node goes on, if `due` has to wait for that.
    fn resume(&mut self, due: &Due) -> Option<Time> {
        let (Due::Ask { node, .. }
        | Due::Event { node, .. }
        | Due::Wake { node, .. }
        | Due::Act { node, .. }) = due
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

    fn happen(&mut self, due: Due) {
        if let Some(until) = self.resume(&due) {
            return self.push(until, due);
        }
        match due {
            Due::Ask { node, request, issued } => self.deliver_ask(node, request, issued),
            Due::Event { node, life, event } => self.deliver(node, life, event),
            Due::Wake { node, life, at } => {
                if self.nodes[node].wake == Some(at) {
                    self.nodes[node].wake = None;
                    self.deliver(node, life, Event::Wake);
                }
            }
            Due::Act { node, life, actions } => self.act(node, life, actions),
            Due::Store { node, life, call, op, fault } => {
                self.call_store(node, life, call, op, fault);
            }
            Due::Leaf { node, life, token, expires, fault } => {
                self.call_leaf(node, life, token, expires, fault);
            }
            Due::Restart { node } => self.restart(node),
        }
    }

    fn deliver_ask(&mut self, node: usize, request: Request, issued: Wall) {
        if self.nodes[node].engine.is_none() {
            return;
        }
        let asked = Asked::new(node, request.clone(), issued, self.time);
        let token = self.ledger.ask(asked);
        let deadline = self.now(node).time + DEADLINE;
        let event = Event::Ask { token, request, digest: 1, issued, deadline };
        self.deliver(node, self.nodes[node].life, event);
    }

    /// Strikes with the faults planned for this step.
    fn step(&mut self, node: usize) {
        let step = self.steps;
        self.steps += 1;
        for (_, fault) in self.plan.clone().into_iter().filter(|(at, _)| *at == step) {
            self.strike(node, fault);
        }
    }

    fn deliver(&mut self, node: usize, life: u64, event: Event) {
        if self.nodes[node].life != life {
            return;
        }
        self.step(node);
        let due = Due::Event { node, life, event };
        if let Some(until) = self.resume(&due) {
            return self.push(until, due);
        }
        let Due::Event { event, .. } = due else { unreachable!() };
        let now = self.now(node);
        let Some(engine) = &mut self.nodes[node].engine else { return };
        let actions = engine.handle(now, event);
        self.act(node, life, actions.into());
    }

    fn act(&mut self, node: usize, life: u64, mut actions: VecDeque<Action>) {
        while let Some(action) = actions.pop_front() {
            if self.nodes[node].life != life {
                return;
            }
            self.step(node);
            actions.push_front(action);
            let due = Due::Act { node, life, actions };
            if let Some(until) = self.resume(&due) {
                return self.push(until, due);
            }
            let Due::Act { actions: rest, .. } = due else { unreachable!() };
            actions = rest;
            if self.nodes[node].life != life {
                return;
            }
            let action = actions.pop_front().expect("it was put back");
            self.carry_out(node, life, action);
        }
    }

    fn carry_out(&mut self, node: usize, life: u64, action: Action) {
        match action {
            Action::Read { call, key } => {
                let fault = self
                    .disarm(|f| matches!(f, Fault::RateLimit | Fault::ReadLost | Fault::SlowReply));
                let due = Due::Store { node, life, call, op: Op::Read { key }, fault };
                self.push(self.time + HOP, due);
            }
            Action::Swap { call, key, expect, value } => {
                let fault = self.disarm(|f| {
                    use Fault::{RateLimit, SlowReply, SwapDelayed, SwapLost, SwapReplyLost};
                    matches!(f, RateLimit | SwapLost | SwapReplyLost | SwapDelayed | SlowReply)
                });
                let delay = if fault == Some(Fault::SwapDelayed) { LOST * 2 } else { HOP };
                if fault == Some(Fault::SwapDelayed) {
                    let event =
                        Event::CallEnded { call, result: jacinthfall_claim::Completion::Unknown };
                    self.push(self.time + LOST, Due::Event { node, life, event });
                }
                let op = Op::Swap { key, expect, value };
                self.push(self.time + delay, Due::Store { node, life, call, op, fault });
            }
            Action::Dispatch { token, expires } => {
                let fault = self.disarm(|f| {
                    use Fault::{LeafBroken, LeafLate, LeafRefuses, LeafSilent, LeafUnsent};
                    matches!(f, LeafSilent | LeafBroken | LeafLate | LeafRefuses | LeafUnsent)
                });
                let due = Due::Leaf { node, life, token, expires, fault };
                self.push(self.time + HOP, due);
            }
            Action::Answer { token, outcome } => self.ledger.answer(token, outcome, self.time),
            Action::Record(_) => {}
            Action::Wake(at) => {
                let base = self.now(node).time.since(self.time);
                self.nodes[node].wake = Some(at);
                self.push((at - base).max(self.time), Due::Wake { node, life, at });
            }
        }
    }

    fn disarm(&mut self, fits: impl Fn(Fault) -> bool) -> Option<Fault> {
        let index = self.armed.iter().position(|fault| fits(*fault))?;
        let fault = self.armed.remove(index);
        self.struck += usize::from(!self.armed.contains(&fault));
        Some(fault)
    }

    fn call_store(&mut self, node: usize, life: u64, call: u64, op: Op, fault: Option<Fault>) {
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
            Some(Fault::SlowReply) => LATE,
            _ if result == Completion::Unknown => LOST,
            _ => HOP,
        };
        let event = Event::CallEnded { call, result };
        self.push(self.time + delay, Due::Event { node, life, event });
    }

    fn call_leaf(
        &mut self,
        node: usize,
        life: u64,
        token: Token,
        expires: Wall,
        fault: Option<Fault>,
    ) {
        let request = self.ledger.request(token);
        let late = self.wall() >= expires;
        let not_run = refusal(Cause::Overloaded, Ran::NotRun);
        let (dispatched, outcome) = match fault {
            Some(Fault::LeafUnsent) => (false, refusal(Cause::Unavailable, Ran::Unknown)),
            Some(Fault::LeafRefuses) => (true, not_run),
            _ if late => (true, not_run),
            _ => {
                self.ledger.run(token);
                (true, outcome(&request))
            }
        };
        let delay = if fault == Some(Fault::LeafLate) { LATE } else { HOP };
        let outcome = match fault {
            Some(Fault::LeafSilent) => {
                self.silent = true;
                return;
            }
            Some(Fault::LeafBroken) if !late => refusal(Cause::OutcomeUnknown, Ran::Unknown),
            _ => outcome,
        };
        let event = Event::RunEnded { token, dispatched, outcome };
        self.push(self.time + delay, Due::Event { node, life, event });
    }

    /// Checks that every ask was answered and nothing is left to be written.
    pub fn check_ended(&self) {
        self.ledger.check_answered();
        let mut engines = self.nodes.iter().filter_map(|node| node.engine.as_ref());
        assert!(self.silent || engines.all(Engine::is_idle), "an engine has work left");
    }
}
