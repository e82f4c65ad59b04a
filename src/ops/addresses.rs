//! `addresses`: the node addresses that callers should use.

use super::node::{Listener, Node};
use super::{Error, text};
use crate::api::Addresses;

/// Fetches the addresses to use from a node.
///
/// # Errors
///
/// Any [`Error`].
pub fn find(node: &Node) -> Result<Addresses, Error> {
    node.get(Listener::Callers, "/v1/addresses")?.ok()
}

/// Formats the addresses, one per line and the best first, and how long to use them.
#[must_use]
pub fn render(addresses: &Addresses) -> String {
    let mut lines: Vec<String> = addresses
        .addresses
        .iter()
        .map(|address| format!("{:<24} {:<24} {}", address.address, address.node, address.zone))
        .collect();
    let hold = text::duration(addresses.hold);
    lines.push(format!(
        "Use these addresses for {hold}, then fetch them again. The first one is the best."
    ));
    lines.join("\n") + "\n"
}
