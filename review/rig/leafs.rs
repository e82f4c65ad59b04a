//! A leaf as PROTOCOL.md tells it: slots, a queue, receipts, `X-Expect-Instance`, and the faults
//! that the cases need.
#![allow(dead_code)]

use super::common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Disruptions of one leaf, as shares in parts per million; they can be switched while it runs.
#[derive(Default)]
pub struct Faults {
    /// Share of the requests that it sheds although it has room (`srv_grey`, `shed`).
    pub shed: AtomicU64,
    /// Share of its answers after which a second copy comes, late (`garble`, `extra late`).
    pub extra_late: AtomicU64,
    /// Whether the second copy lacks the header with the id. All proper answers have it.
    pub bare_copy: AtomicBool,
}

/// What leafs have run: for each request id, the leafs in order.
#[derive(Default)]
pub struct Runs(pub Mutex<HashMap<String, Vec<Run>>>);

#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub leaf: String,
    pub tenant: String,
}

pub struct Leaf {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub faults: Arc<Faults>,
    state: Arc<State>,
}

/// What a leaf does, and how much of it.
#[derive(Clone)]
pub struct Plan {
    pub slots: usize,
    pub queue: usize,
    pub work_ms: (f64, f64),
    pub body_bytes: usize,
}

struct State {
    /// Changes with each start.
    id: Mutex<String>,
    plan: Plan,
    faults: Arc<Faults>,
    runs: Arc<Runs>,
    record: Arc<Record>,
    rng: Mutex<Rng>,
    /// Requests that run, and that wait.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    /// Open connections, and some that have ended.
    open: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
    /// Number of starts; what began in an earlier one is lost.
    starts: AtomicU64,
}

impl State {
    fn id(&self) -> String {
        self.id.lock().unwrap().clone()
    }

    fn happens(&self, share: &AtomicU64) -> bool {
        let share = share.load(Ordering::Relaxed);
        share > 0 && self.rng.lock().unwrap().next() % 1_000_000 < share
    }
}

impl Leaf {
    /// Starts a leaf and registers it in the store.
    pub fn spawn(
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        plan: &Plan,
        runs: &Arc<Runs>,
        record: &Arc<Record>,
        seed: u64,
    ) -> Leaf {
        let faults = Arc::new(Faults::default());
        let state = Arc::new(State {
            id: Mutex::new(id.to_owned()),
            plan: plan.clone(),
            faults: Arc::clone(&faults),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
            rng: Mutex::new(Rng::new(seed)),
            load: Mutex::new((0, 0)),
            freed: Condvar::new(),
            open: Mutex::default(),
            is_down: AtomicBool::new(false),
            starts: AtomicU64::new(0),
        });
        let address = accept(&state);
        let entry = leaf_entry(service, address, zone, plan.slots as u32, "ready", unix_ms(), 1);
        store.put(&format!("servers/{id}"), &entry);
        Leaf {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            faults,
            state,
        }
    }

    /// Crashes: its connections end, nothing listens at its address, and nobody is told.
    pub fn crash(&self) {
        self.state.record.line(&format!("leaf {} ({}) crashes", self.state.id(), self.service));
        self.state.is_down.store(true, Ordering::SeqCst);
        self.state.starts.fetch_add(1, Ordering::SeqCst);
        for stream in self.state.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
    }

    /// Starts again at the same address, under a new id.
    pub fn restart(&mut self, store: &Store, id: &str) {
        store.remove(&format!("servers/{}", self.id));
        self.id = id.to_owned();
        *self.state.id.lock().unwrap() = id.to_owned();
        *self.state.load.lock().unwrap() = (0, 0);
        self.state.is_down.store(false, Ordering::SeqCst);
        sleep_ms(20);
        let slots = self.state.plan.slots as u32;
        let entry =
            leaf_entry(&self.service, self.address, &self.zone, slots, "ready", unix_ms(), 1);
        store.put(&format!("servers/{id}"), &entry);
        self.state.record.line(&format!("leaf {id} ({}) starts", self.service));
    }
}

/// Listens, but not while the leaf is down.
fn accept(state: &Arc<State>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    let state = Arc::clone(state);
    std::thread::spawn(move || {
        let mut listener = Some(listener);
        loop {
            if state.is_down.load(Ordering::SeqCst) {
                listener = None;
                sleep_ms(5);
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(address).ok();
                continue;
            }
            let Ok((stream, _)) = listener.as_ref().unwrap().accept() else { continue };
            if state.is_down.load(Ordering::SeqCst) {
                continue;
            }
            let _ = stream.set_nodelay(true);
            if let Ok(clone) = stream.try_clone() {
                state.open.lock().unwrap().push(clone);
            }
            let state = Arc::clone(&state);
            let thread = std::thread::Builder::new().stack_size(256 * 1024);
            thread.spawn(move || serve(&state, stream)).ok();
        }
    });
    address
}

fn serve(state: &State, stream: TcpStream) {
    let Ok(clone) = stream.try_clone() else { return };
    let (mut reader, mut writer) = (BufReader::new(clone), stream);
    // Second copy of the last answer, which arrives where the next answer is expected.
    let mut copy: Option<(String, Vec<u8>)> = None;
    while let Ok(Some(request)) = read_message(&mut reader, false) {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        if let Some((of, bytes)) = copy.take() {
            state.record.line(&format!(
                "leaf {} sends a second copy of its answer to {of}, where that to {id} is expected",
                state.id()
            ));
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
        let start = state.starts.load(Ordering::SeqCst);
        let answer = answer(state, &request, &id);
        if state.starts.load(Ordering::SeqCst) != start {
            return;
        }
        if writer.write_all(&answer).is_err() {
            return;
        }
        if state.happens(&state.faults.extra_late) {
            let is_bare = state.faults.bare_copy.load(Ordering::Relaxed);
            let bytes = if is_bare { without_id(&answer) } else { answer };
            copy = Some((id, bytes));
        }
    }
}

/// An answer without its line `X-Request-Id`.
fn without_id(answer: &[u8]) -> Vec<u8> {
    let name = b"X-Request-Id:";
    let Some(start) = answer.windows(name.len()).position(|part| part == name) else {
        return answer.to_vec();
    };
    let end = answer[start..].iter().position(|byte| *byte == b'\n').map_or(0, |n| start + n + 1);
    [&answer[..start], &answer[end..]].concat()
}

fn answer(state: &State, request: &Message, id: &str) -> Vec<u8> {
    let load = |state: &State| {
        let (running, waiting) = *state.load.lock().unwrap();
        format!("{running},{waiting},{}", state.plan.slots)
    };
    let own = state.id();
    let headers = |extra: &[(&'static str, String)]| {
        let mut all = vec![
            ("X-Instance-Id", own.clone()),
            ("X-Server-Load", load(state)),
            ("Keep-Alive", "timeout=10".to_owned()),
        ];
        if !id.is_empty() {
            // Leafs echo the id in all their answers.
            all.push(("X-Request-Id", id.to_owned()));
        }
        all.extend_from_slice(extra);
        all
    };
    if request.target() == "/healthz" {
        return response("200 OK", &headers(&[]), b"");
    }
    if request.header("x-expect-instance").is_some_and(|expected| expected != own) {
        return response("421 Misdirected Request", &headers(&[]), b"");
    }
    let not_run = [("X-Not-Run", "1".to_owned())];
    if state.happens(&state.faults.shed) {
        state.record.line(&format!("leaf {} sheds {id}: 503, X-Not-Run", own));
        return response("503 Service Unavailable", &headers(&not_run), b"");
    }
    {
        let mut load = state.load.lock().unwrap();
        if load.0 >= state.plan.slots {
            if load.1 >= state.plan.queue {
                drop(load);
                state.record.line(&format!("leaf {} is full, sheds {id}", own));
                return response("503 Service Unavailable", &headers(&not_run), b"");
            }
            load.1 += 1;
            while load.0 >= state.plan.slots {
                load = state.freed.wait(load).unwrap();
            }
            load.1 = load.1.saturating_sub(1);
        }
        load.0 += 1;
    }
    let run = Run {
        at_ms: now_ms(),
        leaf: own.clone(),
        tenant: request.header("x-tenant").unwrap_or("").to_owned(),
    };
    state.record.line(&format!("leaf {} runs {id}", own));
    state.runs.0.lock().unwrap().entry(id.to_owned()).or_default().push(run);
    let work = {
        let mut rng = state.rng.lock().unwrap();
        let (mean, spread) = state.plan.work_ms;
        mean * (1.0 - spread + 2.0 * spread * rng.unit())
    };
    std::thread::sleep(Duration::from_micros((work * 1_000.0) as u64));
    {
        let mut load = state.load.lock().unwrap();
        load.0 = load.0.saturating_sub(1);
        state.freed.notify_one();
    }
    let stamp = [("X-Response-Stamp", format!("{own}.{id}"))];
    // The body begins with the id of the request that it answers.
    let mut body = id.as_bytes().to_vec();
    body.resize(state.plan.body_bytes, b'x');
    response("200 OK", &headers(&stamp), &body)
}
