//! The engine: dispatches events to the phases of a query.
//!
//! A query passes through `ask` (admission, pinning, placing), `place` (choice of
//! a replica, queues, sends), `ended` (outcomes of attempts) and `settle`
//! (verdict, moves, final answer). A phase takes the query out of the table,
//! works on it and hands it to `settle`, which puts it back or answers it.

use std::collections::BTreeMap;
use std::sync::Arc;

use jacinthfall_core::service::Service;
use jacinthfall_core::time::Time;
use jacinthfall_core::{event, id};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::admit::Gate;
use crate::budget::Bucket;
use crate::flight::Flights;
use crate::latency::Sketch;
use crate::layout::Layout;
use crate::leafs::{Index, Table};
use crate::running::{Query, Serial};
use crate::timer::{self, Timer};
use crate::{Action, Counter, Event};

mod ask;
mod ended;
mod hedge;
mod place;
mod service;
mod settle;

/// Read path of one service on one node.
#[derive(Debug)]
pub struct Engine {
    origin: id::Incarnation,
    service: id::Name,
    rng: ChaCha8Rng,
    now: Time,
    described: Option<Arc<Service>>,
    epoch: u64,
    layouts: Vec<Arc<Layout>>,
    /// A version that leafs could not serve, and until when it isn't pinned.
    avoided: Option<(id::Version, Time)>,
    leafs: Table,
    flights: Flights,
    queries: BTreeMap<Serial, Box<Query>>,
    tokens: BTreeMap<id::Token, Serial>,
    next_serial: u64,
    timers: timer::Queue,
    budget: Bucket,
    latency: Sketch,
    gate: Gate,
    /// Leafs that have had room or queues changed since the last pump.
    touched: Vec<Index>,
    actions: Vec<Action>,
    counter: Counter,
}

impl Engine {
    /// Opens the engine; it refuses asks until a service description arrives.
    ///
    /// ```
    /// use jacinthfall_core::id::Incarnation;
    /// let origin = Incarnation { node: "klang-1".into(), started: 1 };
    /// let engine = jacinthfall_read::Engine::new(origin, "chat-archive".into(), 7);
    /// assert_eq!(engine.counter().asks, 0);
    /// ```
    #[must_use]
    pub fn new(origin: id::Incarnation, service: id::Name, seed: u64) -> Engine {
        let flights = Flights::open(&service);
        Engine {
            origin,
            service,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::default(),
            described: None,
            epoch: 0,
            layouts: Vec::new(),
            avoided: None,
            leafs: Table::default(),
            flights,
            queries: BTreeMap::new(),
            tokens: BTreeMap::new(),
            next_serial: 0,
            timers: timer::Queue::default(),
            budget: Bucket::open(),
            latency: Sketch::open(),
            gate: Gate::default(),
            touched: Vec::new(),
            actions: Vec::new(),
            counter: Counter::default(),
        }
    }

    /// Handles one event and returns what has to be done, in order.
    ///
    /// A time before that of an earlier event counts as the earlier one's.
    ///
    /// # Panics
    ///
    /// If an invariant is broken, or an ask reuses the token of one in progress.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Service(service) => self.describe(service),
            Event::Peers { .. } => {}
            Event::Ask { token, ask, profile, deadline, expires } => {
                self.ask(token, ask, profile, deadline, expires);
            }
            Event::Abandoned { token } => self.abandon(token),
            Event::Ended { attempt, leaf, outcome } => self.ended(&attempt, &leaf, outcome),
            Event::Leaving { leaf, leaving } => self.hear_leaving(&leaf, leaving),
            Event::Wake => {}
        }
        self.run_timers();
        self.pump();
        self.arm();
        std::mem::take(&mut self.actions)
    }

    /// Totals since the engine was opened.
    #[must_use]
    pub fn counter(&self) -> &Counter {
        &self.counter
    }

    fn run_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Deadline(serial) => self.expire(serial),
                Timer::Early(serial) => self.resettle(serial),
                Timer::Hedge(counter) => self.hedge(counter),
            }
        }
    }

    fn arm(&mut self) {
        let queries = &self.queries;
        let flights = &self.flights;
        self.timers.drop_void(|timer| match timer {
            Timer::Deadline(serial) | Timer::Early(serial) => !queries.contains_key(&serial),
            Timer::Hedge(counter) => !flights.contains(counter),
        });
        if let Some(due) = self.timers.arm(self.now) {
            self.actions.push(Action::Wake(due));
        }
    }

    fn take(&mut self, serial: Serial) -> Option<Box<Query>> {
        self.queries.remove(&serial)
    }

    fn record(&mut self, query: &Query, kind: event::Kind) {
        let request = Some(query.ask.request.clone());
        self.actions.push(Action::Record(event::Event { request, kind }));
    }
}
