//! A server whose process runs out of file descriptors.

use std::net::TcpStream;
use std::time::Duration;

use http::StatusCode;
use jacinthfall_net::client::Client;
use jacinthfall_net::server::{Handler, Request, Response, Server};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use rustix::time::{ClockId, clock_gettime};

/// Time over which the processor time of the process is measured.
const WINDOW: Duration = Duration::from_secs(1);

struct Echo;

impl Handler for Echo {
    async fn handle(&self, request: Request) -> Option<Response> {
        Some(Response::new(StatusCode::OK, request.body))
    }
}

/// Returns the processor time that this process has used.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).expect("a fraction"))
}

#[test]
fn a_server_without_descriptors_keeps_no_core_busy_and_serves_again() {
    let runtime = jacinthfall_net::runtime(1).expect("a runtime");
    let any = "127.0.0.1:0".parse().expect("an address");
    let server = runtime.block_on(Server::bind(any, 1_000, Echo)).expect("a free port");
    let limit = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: Some(64), ..limit }).expect("a lower limit");
    // The last sockets of this loop wait to be accepted: there is no descriptor for them.
    let mut callers: Vec<TcpStream> = Vec::new();
    while let Ok(caller) = TcpStream::connect(server.address()) {
        callers.push(caller);
    }

    let before = processor_time();
    std::thread::sleep(WINDOW);
    let used = processor_time() - before;
    callers.clear();
    let answer = runtime.block_on(async {
        let client = Client::open(server.address()).await.expect("a connection");
        client.post("/", &[], "hi".into()).await.expect("an answer")
    });

    assert!(used < WINDOW / 4, "{used:?} of processor time in {WINDOW:?}");
    assert_eq!(&answer.body[..], b"hi");
}
