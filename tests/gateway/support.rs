//! Test sites that run the daemon under test.

use std::net::TcpListener;
use std::path::Path;

use jacinthfall_testkit::gateway::leaf::Leaf;
use jacinthfall_testkit::gateway::site::{Request, Site};
use serde_json::Value;

/// Path of the daemon under test.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_jacinthfalld"))
}

/// Starts a store without any node.
pub fn open() -> Site {
    Site::open(program())
}

/// Starts a store, registers leafs, writes a configuration and starts one node.
pub fn serving(routes: &[Value], leafs: &[(&str, &str, &Leaf)]) -> Site {
    Site::serving(program(), routes, leafs)
}

/// Returns the status of a node's answer to a request.
pub fn status(site: &Site, node: usize, target: &str) -> u16 {
    site.ask(node, &Request { target, ..Request::default() }).status
}

/// Listener that accepts connections and never answers, in place of a store.
pub fn silent_store() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}
