//! Packed fates: packing is lossless, and sizes stay within the capacity plan.

use std::time::Duration;

use jacinthfall_core::coverage::{Cause, Coverage, Missed};
use jacinthfall_core::fate::{Fate, Phase, Slowest, Span};
use jacinthfall_core::id::{Incarnation, Shard, Version};
use jacinthfall_core::refusal::{self, Ran};
use jacinthfall_core::time::Wall;
use jacinthfall_wire::fate::{Copy, Message, pack, unpack};
use jacinthfall_wire::{Envelope, Frame, Stamp, encode};

/// Returns the fate of a request that all `shards` shards answered, with names of typical
/// lengths.
fn full_answer(shards: u32) -> Fate {
    let span = |phase, micros| Span { phase, took: Duration::from_micros(micros) };
    Fate {
        request: "6f1c2a90-4d1b-4e4e-9a53-2f6d3a1f8b77".into(),
        profile: "agent-lookup".into(),
        caller: "widget-backend".into(),
        node: node(),
        arrived: Wall(1_764_795_600_123),
        ended: Some(Wall(1_764_795_600_151)),
        ran: Ran::Ran,
        version: Some(Version(412)),
        coverage: Some(Coverage { total: shards, answered: shards, missed: Vec::new() }),
        refused: None,
        message: String::new(),
        spans: vec![span(Phase::Queued, 210), span(Phase::Leafs, 27_400), span(Phase::Merge, 330)],
        slowest: Some(Slowest {
            leaf: "agent-console-07-b".into(),
            shard: Shard(7),
            took: Duration::from_micros(26_900),
        }),
        hedges: 1,
        retries: 0,
    }
}

/// Returns the fate of a request that missed the first `missed` of 1,400 shards. `cause`
/// maps each missed shard to its cause.
fn partial(missed: u32, cause: impl Fn(u32) -> Cause) -> Fate {
    let missed_shards =
        (0..missed).map(|shard| Missed { shard: Shard(shard), cause: cause(shard) });
    let coverage =
        Coverage { total: 1_400, answered: 1_400 - missed, missed: missed_shards.collect() };
    Fate { coverage: Some(coverage), ..full_answer(1_400) }
}

fn node() -> Incarnation {
    Incarnation { node: "klang-3".into(), started: 1_764_790_000_000 }
}

fn frame_bytes(copies: usize) -> usize {
    let copy = Copy { age_ms: 90, fate: pack(&full_answer(1_400)) };
    let message = Message::Copies { batch: u64::MAX >> 2, copies: vec![copy; copies] };
    let stamp = Stamp { time: u64::MAX >> 1, clock: u128::MAX >> 1 };
    encode(&Envelope { from: node(), stamp, frame: Frame::Fate(message) }).unwrap().len()
}

#[test]
fn unpacking_restores_every_field() {
    let refused = Fate {
        ended: Some(Wall(1_764_795_600_000)),
        ran: Ran::Unknown,
        version: None,
        coverage: None,
        refused: Some(refusal::Cause::OutcomeUnknown),
        message: "the leaf did not reply; ask for the fate again".into(),
        ..full_answer(1)
    };
    let in_progress = Fate { ended: None, spans: Vec::new(), slowest: None, ..full_answer(1) };
    let mixed = partial(90, |shard| if shard % 7 == 0 { Cause::Timeout } else { Cause::Leaving });

    for fate in
        [full_answer(30), refused, in_progress, mixed, partial(1_400, |_| Cause::Unreachable)]
    {
        assert_eq!(unpack(&pack(&fate)).unwrap(), fate);
    }
}

#[test]
fn packed_sizes_stay_within_the_capacity_plan() {
    let sizes = [
        ("full answer, 30 shards", pack(&full_answer(30)).size(), 160),
        ("full answer, 1,400 shards", pack(&full_answer(1_400)).size(), 160),
        ("a zone of 80 shards missed", pack(&partial(80, |_| Cause::Unreachable)).size(), 170),
        ("frame with 1 copy", frame_bytes(1), 240),
        ("frame with 20 copies", frame_bytes(20), 3_300),
    ];

    for (name, size, max_size) in sizes {
        println!("{name}: {size} bytes");
        assert!(size <= max_size, "{name}: {size} bytes, more than {max_size}");
    }
}
