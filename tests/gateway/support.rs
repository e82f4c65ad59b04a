//! Test sites that run the daemon under test.

use std::path::Path;

use jacinthfall_testkit::gateway::leaf::Leaf;
use jacinthfall_testkit::gateway::site::Site;
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
