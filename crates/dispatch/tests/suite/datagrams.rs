//! Encoding of the datagrams that nodes of this build and of earlier ones exchange.

use std::time::Duration;

use bincode::config::standard;
use jacinthfall_core::history::Position;
use jacinthfall_core::time::Time;
use jacinthfall_dispatch::evacuation::Statement;
use jacinthfall_dispatch::gossip::{Datagram, Route, Row};
use jacinthfall_dispatch::overload::shortage;
use jacinthfall_dispatch::quarantine::Service;
use jacinthfall_dispatch::quota::{Ask, Reply};
use jacinthfall_dispatch::reach::Loss;
use jacinthfall_dispatch::roster::{Demand, Heartbeat, Node, Phase};
use jacinthfall_dispatch::transfer::Rank;
use jacinthfall_dispatch::watch::Confirmation;

/// What the build of commit 7ebd9f8 sends for [`heartbeat`], [`gossip`] and [`quarantine`].
const LANDED: [&str; 3] = [HEARTBEAT, GOSSIP, QUARANTINE];

const HEARTBEAT: &str = "00066e6f64652d31fd0068e5cf8b010000067a6f6e652d31000a00000150000a00000151fbe8030101c80701960101fafbb80bfb28230101fd26e250dad0e72103";

const GOSSIP: &str = "0101fd2b0a041d0612a9adfb580246";

const QUARANTINE: &str = "0200";

fn heartbeat() -> Datagram {
    Datagram::Heartbeat(Heartbeat {
        node: Node {
            name: "node-1".into(),
            started: 1_700_000_000_000,
            zone: "zone-1".into(),
            callers: ([10, 0, 0, 1], 80).into(),
            peers: ([10, 0, 0, 1], 81).into(),
            capacity: 1_000,
        },
        phase: Phase::Serving,
        upto: Position::new(1, 200),
        configuration: Rank { version: 7, at: Position::new(1, 150) },
        store_answers: true,
        active: true,
        load: 250,
        demand: Demand { node: 3_000, zone: 9_000 },
        loss: Loss::of([Service::of("shard")]),
    })
}

fn gossip() -> Datagram {
    let route = Route::of("route");
    let age_s = Duration::from_secs(70).as_secs() as u32;
    Datagram::Gossip(vec![Row { route, timeout_ms: 600, age_s }])
}

fn quarantine() -> Datagram {
    Datagram::Quarantine(Vec::new())
}

fn encode(datagram: &Datagram) -> Vec<u8> {
    bincode::serde::encode_to_vec(datagram, standard()).expect("encodes")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Guards against messages that an earlier build, which runs beside this one in an upgrade, can't
/// read.
#[test]
fn datagrams_of_earlier_builds_are_encoded_as_before() {
    let sent = [heartbeat(), gossip(), quarantine()].map(|datagram| hex(&encode(&datagram)));

    assert_eq!(sent, LANDED);
}

/// Guards against messages of an earlier build that this one can't read.
#[test]
fn datagrams_of_earlier_builds_are_read() {
    let bytes = |text: &str| {
        let pairs = text.as_bytes().chunks(2);
        let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("hex"), 16);
        pairs.map(byte).collect::<Result<Vec<u8>, _>>().expect("hex")
    };
    let expected = [heartbeat(), gossip(), quarantine()];

    for (text, expected) in LANDED.into_iter().zip(expected) {
        let decoded = bincode::serde::decode_from_slice::<Datagram, _>(&bytes(text), standard());
        assert_eq!(decoded.expect("decodes").0, expected);
    }
}

/// Guards against a new kind of datagram that earlier builds take for one that they know.
#[test]
fn new_datagrams_come_after_those_that_earlier_builds_know() {
    let node = || "node-1".into();
    let ask = Ask { group: 0, node: node(), started: 0, number: 0, vote: None, wants: Vec::new() };
    let reply = Reply {
        group: 0,
        node: node(),
        started: 0,
        clock: Time(0).0,
        number: 0,
        coverage: 0,
        has_credit: false,
        grants: Vec::new(),
    };
    let new = [
        Datagram::QuotaAsk(ask),
        Datagram::QuotaReply(reply),
        Datagram::Evacuation(Statement::default()),
        Datagram::Shortage(shortage::Report { asked: 0, rows: Vec::new() }),
        Datagram::Confirmation(Confirmation { upto: Position::new(0, 5), age_ms: 20 }),
    ];

    let kinds = new.map(|datagram| encode(&datagram)[0]);

    assert_eq!(kinds, [3, 4, 5, 6, 7]);
}
