//! Drives one request of a caller to its answer.

use std::sync::Arc;
use std::time::Duration;

use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::fleet::Key;
use jacinthfall_dispatch::flight::{Action, Answer, Context, Flight, Outcome};
use jacinthfall_dispatch::overload::threshold;
use jacinthfall_route::snapshot::Route;
use metrics::histogram;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::gateway::audit;
use crate::gateway::hub::Hub;
use crate::gateway::leafs::{self, InFlight, Outbound};

/// The end of a send of a part.
struct Ended {
    part: usize,
    leaf: Key,
    outcome: Outcome,
}

/// A send of a part that begins to write to its connection.
struct Writing {
    part: usize,
    leaf: Key,
}

/// Tasks of the sends, which are aborted if the caller disconnects.
#[derive(Default)]
struct Sends {
    handles: Vec<AbortHandle>,
    /// Whether the tasks run on after this is dropped.
    keep_running: bool,
}

impl Sends {
    /// Cancels the sends. All tasks run on one thread, so a send that hasn't written anything when
    /// this is called won't.
    fn abort(&self) {
        self.handles.iter().for_each(AbortHandle::abort);
    }
}

impl Drop for Sends {
    fn drop(&mut self) {
        if !self.keep_running {
            self.abort();
        }
    }
}

/// Drives one request: executes the actions of its [`Flight`] and reports their results to it.
pub(super) struct Driver<'a> {
    hub: &'a Arc<Hub>,
    route: &'a Arc<Route>,
    flight: Flight,
    outbound: Arc<Outbound>,
    /// Random number from 0 to 1 that is the same for a caller's request at each node.
    lot: f64,
    /// Version of the configuration that was in force when the request arrived.
    version: u64,
    arrived: Time,
    /// Node that the caller sent the request to, if it isn't this one.
    origin: Option<id::Name>,
    /// Whether the result of the request has been logged.
    recorded: bool,
    sends: Sends,
    ended: (mpsc::UnboundedSender<Ended>, mpsc::UnboundedReceiver<Ended>),
    writing: (mpsc::UnboundedSender<Writing>, mpsc::UnboundedReceiver<Writing>),
}

impl<'a> Driver<'a> {
    pub(super) fn open(
        hub: &'a Arc<Hub>,
        route: &'a Arc<Route>,
        version: u64,
        flight: Flight,
        outbound: Outbound,
    ) -> Self {
        let ended = mpsc::unbounded_channel();
        let lot = threshold::lot(outbound.fingerprint);
        let (outbound, sends) = (Arc::new(outbound), Sends::default());
        let arrived = hub.now();
        Driver {
            hub,
            route,
            flight,
            outbound,
            lot,
            version,
            arrived,
            origin: None,
            recorded: false,
            sends,
            ended,
            writing: mpsc::unbounded_channel(),
        }
    }

    /// Sets the node that the caller sent the request to, if it isn't this one.
    pub(super) fn set_origin(&mut self, origin: id::Name) {
        self.origin = Some(origin);
    }

    /// Starts over after a refusal, with the state of a request that arrives now.
    pub(super) fn restart(&mut self, flight: Flight) {
        self.flight = flight;
    }

    /// Returns the request in the form in which it is forwarded.
    pub(super) fn outbound(&self) -> Arc<Outbound> {
        Arc::clone(&self.outbound)
    }

    /// Records that another node has served the request, which has log lines of its own.
    pub(super) fn set_relayed(&mut self) {
        self.recorded = true;
    }

    /// Runs the request until there is an answer, which the caller of this function records.
    pub(super) async fn run(&mut self) -> Answer {
        self.hub.tables().demand.add(self.flight.part_count());
        let mut actions = self.decide(|flight, now, context| flight.start(now, context));
        loop {
            if let Some(answer) = self.execute(actions) {
                if matches!(answer, Answer::Refused { .. }) {
                    // A further round may follow, whose sends end with this.
                    self.sends.abort();
                } else {
                    // Sends that are in flight run on: they measure the response times of leafs.
                    self.sends.keep_running = true;
                }
                return answer;
            }
            let wake = self.hub.instant(self.flight.next_wake());
            actions = tokio::select! {
                biased;
                Some(ended) = self.ended.1.recv() => self.handle_ended(ended),
                () = tokio::time::sleep_until(wake) => self.wake(),
            };
        }
    }

    /// Makes a decision on the request, with the current time and context.
    fn decide(
        &mut self,
        decision: impl FnOnce(&mut Flight, Time, &mut Context<'_>) -> Vec<Action>,
    ) -> Vec<Action> {
        let now = self.hub.now();
        while let Ok(Writing { part, leaf }) = self.writing.1.try_recv() {
            self.flight.record_written(part, leaf);
        }
        let mut tables = self.hub.tables();
        let is_quarantined = tables.quarantine.remaining(now, self.outbound.fingerprint).is_some();
        let mut context = tables.context(self.route);
        context.is_quarantined = is_quarantined;
        context.priority = self.outbound.priority;
        context.lot = self.lot;
        decision(&mut self.flight, now, &mut context)
    }

    fn wake(&mut self) -> Vec<Action> {
        let due = self.flight.next_wake();
        let lag = self.hub.now().since(due.max(self.arrived));
        self.hub.tables().lag.add(lag);
        self.decide(|flight, now, context| flight.wake(now, context))
    }

    fn handle_ended(&mut self, ended: Ended) -> Vec<Action> {
        let Ended { part, leaf, outcome } = ended;
        self.decide(|flight, now, context| flight.send_ended(now, part, leaf, outcome, context))
    }

    /// Starts the sends among the actions; returns the answer if there is one.
    fn execute(&mut self, actions: Vec<Action>) -> Option<Answer> {
        let mut answer = None;
        for action in actions {
            match action {
                Action::Send { part, leaf } => self.send(part, leaf),
                Action::Finish(found) => answer = Some(found),
            }
        }
        answer
    }

    fn send(&mut self, part: usize, leaf: Key) {
        let in_flight = InFlight::open(self.hub, leaf, self.outbound.usual);
        let sent = in_flight.sent();
        let hub = Arc::clone(self.hub);
        let outbound = Arc::clone(&self.outbound);
        let ended = self.ended.0.clone();
        let route = self.route.name.clone();
        let writing = self.writing.0.clone();
        let task = tokio::spawn(async move {
            // The receiver is gone once the caller has its answer.
            let before_write = || _ = writing.send(Writing { part, leaf });
            let outcome = leafs::send(in_flight, &outbound, before_write).await;
            if matches!(outcome, Outcome::Success(_)) {
                record_response_time(&hub, &route, hub.now().since(sent));
            }
            let _ = ended.send(Ended { part, leaf, outcome });
        });
        self.sends.handles.push(task.abort_handle());
    }

    /// Logs the answer; `None` if the caller disconnected before there was one.
    pub(super) fn record(&mut self, answer: Option<&Answer>) {
        self.recorded = true;
        let request = audit::Request {
            id: &self.outbound.id,
            fingerprint: self.outbound.fingerprint,
            route: self.route,
            flight: &self.flight,
            tally: self.flight.tally(),
            arrived: self.arrived,
            timing: self.outbound.timing,
            connection: self.outbound.connection,
            organisation: self.outbound.organisation.as_deref(),
            version: self.version,
            origin: self.origin.as_ref(),
        };
        self.hub.audit.record_answer(self.hub.now(), &self.hub.tables, &request, answer);
    }
}

impl Drop for Driver<'_> {
    fn drop(&mut self) {
        if !self.recorded {
            self.record(None);
            self.flight.abandon(&mut self.hub.tables().fleet);
        }
    }
}

fn record_response_time(hub: &Hub, route: &id::Name, took: Duration) {
    histogram!("jacinthfall_response_seconds", "route" => route.clone()).record(took);
    if let Some(statistics) = hub.tables().routes.get_mut(route) {
        statistics.latency.add(took);
    }
}
