//! Transfer of a document between nodes, alone and over a zone of nodes with narrow links.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bytes::Bytes;
use jacinthfall_core::history::Position;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::transfer::{
    Download, Edition, Error, MAX_DOCUMENT_BYTES, MAX_PIECE_BYTES, Piece, Rank, Slots,
};
use rand::seq::IndexedRandom;
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn document(version: u64, length: usize) -> (Edition, Bytes) {
    let mut bytes = vec![0; length];
    ChaCha8Rng::seed_from_u64(version).fill_bytes(&mut bytes);
    let rank = Rank { version, at: Position::START };
    (Edition::of(rank, &bytes), bytes.into())
}

/// Adds pieces of a document to a download, `pieces` at most.
fn receive(
    download: &mut Download,
    edition: Edition,
    bytes: &Bytes,
    pieces: usize,
) -> Option<Bytes> {
    for _ in 0..pieces {
        let at = download.progress().filter(|progress| progress.edition == edition);
        let piece = Piece::cut(edition, bytes, at.map_or(0, |progress| progress.offset));
        if let Some((_, complete)) = download.accept(&piece).expect("a fitting piece") {
            return Some(complete);
        }
    }
    None
}

#[test]
fn a_download_returns_the_document_once_all_pieces_have_arrived() {
    let (edition, bytes) = document(7, 3 * MAX_PIECE_BYTES + 1);
    let mut download = Download::default();

    let early = receive(&mut download, edition, &bytes, 3);
    let complete = receive(&mut download, edition, &bytes, 1);

    assert_eq!(early, None);
    assert_eq!(complete, Some(bytes));
    assert_eq!(download.progress(), None);
}

#[test]
fn a_newer_edition_replaces_what_has_arrived_and_an_older_one_does_not() {
    let (old, old_bytes) = document(7, 2 * MAX_PIECE_BYTES);
    let (new, new_bytes) = document(8, 2 * MAX_PIECE_BYTES);
    let mut download = Download::default();
    receive(&mut download, old, &old_bytes, 1);

    receive(&mut download, new, &new_bytes, 1);
    let late = download.accept(&Piece::cut(old, &old_bytes, MAX_PIECE_BYTES));

    assert_eq!(late, Err(Error::Older));
    assert_eq!(receive(&mut download, new, &new_bytes, 1), Some(new_bytes));
}

#[test]
fn pieces_that_do_not_fit_are_rejected() {
    let (edition, bytes) = document(7, 2 * MAX_PIECE_BYTES);
    let huge = Edition { length: MAX_DOCUMENT_BYTES + 1, ..edition };
    let short = Edition { length: 10, ..edition };
    let mut download = Download::default();

    let misplaced = download.accept(&Piece::cut(edition, &bytes, MAX_PIECE_BYTES));
    let too_large = download.accept(&Piece { edition: huge, offset: 0, bytes: Bytes::new() });
    let too_long = download.accept(&Piece { edition: short, offset: 0, bytes: bytes.clone() });

    assert_eq!(misplaced, Err(Error::Misplaced));
    assert_eq!(too_large, Err(Error::TooLarge));
    assert_eq!(too_long, Err(Error::TooLarge));
}

#[test]
fn a_damaged_document_is_dropped_and_received_anew() {
    let (edition, bytes) = document(7, 100);
    let mut damaged = bytes.to_vec();
    damaged[50] ^= 1;
    let mut download = Download::default();

    let first = download.accept(&Piece { edition, offset: 0, bytes: damaged.into() });

    assert_eq!(first, Err(Error::Damaged));
    assert_eq!(receive(&mut download, edition, &bytes, 1), Some(bytes));
}

#[test]
fn a_slot_is_free_again_after_the_last_piece_or_a_silence_of_the_receiver() {
    let (a, b, c) = (id::Name::from("a"), id::Name::from("b"), id::Name::from("c"));
    let second = Time(0) + Duration::from_secs(1);
    let mut slots = Slots::open(14.0);

    assert!(slots.admit(Time(0), &a));
    assert!(!slots.admit(Time(0), &b), "one transfer takes the share of a narrow link");
    assert!(slots.admit(Time(0), &a), "a receiver keeps its slot");
    slots.release(&a);
    assert!(slots.admit(Time(0), &b));
    assert!(slots.admit(second, &c), "the silent receiver has lost its slot");
}

#[test]
fn a_wide_link_has_more_slots() {
    let mut slots = Slots::open(140.0);

    let admitted = (0..100).filter(|node| slots.admit(Time(0), &format!("n-{node}").into()));

    assert_eq!(admitted.count(), 7);
}

/// A zone of nodes in virtual time. The first one holds a document, and all others fetch it.
struct Zone {
    rng: ChaCha8Rng,
    edition: Edition,
    bytes: Bytes,
    link_mbps: f64,
    nodes: Vec<Node>,
}

struct Node {
    name: id::Name,
    slots: Slots,
    download: Download,
    holds: bool,
    /// When the link of the node has sent and received all bytes so far.
    sent_at: Time,
    received_at: Time,
    failed: Vec<usize>,
    source: Option<usize>,
}

/// One way between two nodes.
const DELAY: Duration = Duration::from_millis(1);

impl Zone {
    fn open(seed: u64, nodes: usize, link_mbps: f64, length: usize) -> Zone {
        let (edition, bytes) = document(seed, length);
        let nodes = (0..nodes).map(|number| Node {
            name: format!("n-{number}").into(),
            slots: Slots::open(link_mbps),
            download: Download::default(),
            holds: number == 0,
            sent_at: Time(0),
            received_at: Time(0),
            failed: Vec::new(),
            source: None,
        });
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Zone { rng, edition, bytes, link_mbps, nodes: nodes.collect() }
    }

    /// Plays until all nodes hold the document, and returns when that is.
    fn play(&mut self) -> Time {
        let mut events: BinaryHeap<Reverse<(Time, usize)>> =
            (1..self.nodes.len()).map(|node| Reverse((Time(0), node))).collect();
        let mut last = Time(0);
        while let Some(Reverse((now, node))) = events.pop() {
            last = now;
            if let Some(next) = self.step(now, node) {
                events.push(Reverse((next, node)));
            }
        }
        last
    }

    /// Lets a node ask for a piece. Returns when it asks again; `None` once it is done.
    fn step(&mut self, now: Time, node: usize) -> Option<Time> {
        if self.nodes[node].holds {
            return None;
        }
        let Some(source) = self.choose_source(node) else {
            self.nodes[node].failed.clear();
            return Some(now + Duration::from_millis(self.rng.random_range(50..150)));
        };
        let asked = now + DELAY;
        let name = self.nodes[node].name.clone();
        if !self.nodes[source].slots.admit(asked, &name) {
            self.nodes[node].failed.push(source);
            self.nodes[node].source = None;
            return Some(asked + DELAY);
        }
        let offset = self.nodes[node].download.progress().map_or(0, |progress| progress.offset);
        let piece = Piece::cut(self.edition, &self.bytes, offset);
        if piece.is_last() {
            self.nodes[source].slots.release(&name);
        }
        let transfer = Duration::from_secs_f64(piece.bytes.len() as f64 * 8e-6 / self.link_mbps);
        let sent = self.nodes[source].sent_at.max(asked) + transfer;
        self.nodes[source].sent_at = sent;
        let received = (sent + DELAY).max(self.nodes[node].received_at + transfer);
        let receiver = &mut self.nodes[node];
        receiver.received_at = received;
        receiver.source = Some(source);
        receiver.holds = receiver.download.accept(&piece).expect("a fitting piece").is_some();
        Some(received)
    }

    fn choose_source(&mut self, node: usize) -> Option<usize> {
        if let Some(source) = self.nodes[node].source {
            return Some(source);
        }
        let failed = &self.nodes[node].failed;
        let holders = (0..self.nodes.len()).filter(|other| self.nodes[*other].holds);
        let untried: Vec<usize> = holders.filter(|other| !failed.contains(other)).collect();
        untried.choose(&mut self.rng).copied()
    }
}

/// Time in which a change must be in force at all nodes.
const MAX_APPLY_TIME: Duration = Duration::from_secs(5);

#[test]
fn the_largest_document_reaches_a_zone_of_nodes_with_narrow_links_in_time() {
    for seed in 0..20 {
        let mut zone = Zone::open(seed, 30, 14.0, 1_048_576);

        let end = zone.play();

        let took = end.since(Time(0));
        assert!(took < MAX_APPLY_TIME, "seed {seed}: {took:?}");
    }
}
