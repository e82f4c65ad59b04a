//! Puts versions of the configuration in force that come from the store or from other nodes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jacinthfall_adapter::configuration;
use jacinthfall_core::history::Position;
use jacinthfall_dispatch::transfer::Rank;
use jacinthfall_route::snapshot::Snapshot;

use super::document::Document;
use super::hub::Hub;

impl Hub {
    /// Records that a configuration exists, so that it is fetched. The node that named it may
    /// have been out of reach, so this resumes a transfer that had no source left.
    pub fn expect_configuration(&self, rank: Rank) {
        let now = self.now();
        let mut tables = self.tables();
        tables.ranks.expect(now, rank);
        if rank > tables.ranks.examined() {
            self.configuration_expected.notify_one();
        }
    }

    /// Puts a document that was read from the store in force, unless a later version already is.
    pub fn configure_from_store(&self, at: Position, text: &Bytes) {
        if !self.tables().ranks.record_read(at) {
            return;
        }
        let Some((snapshot, decoding)) = self.decode(at, text) else { return };
        let rank = Rank { version: snapshot.version, at };
        match Document::pack(rank, text.clone()) {
            Ok(document) => self.configure(&document, snapshot, decoding, "store"),
            Err(error) => log::error!("event=configuration_unreadable at={at} reason=\"{error}\""),
        }
    }

    /// Puts a document that another node sent in force, unless a later version already is.
    pub fn configure_from_peer(&self, document: &Document) {
        let Rank { version, at } = document.edition.rank;
        match self.decode(at, &document.text) {
            Some((snapshot, decoding)) if snapshot.version == version => {
                return self.configure(document, snapshot, decoding, "peer");
            }
            Some((snapshot, _)) => log::warn!(
                "event=configuration_unreadable at={at} reason=\"the document of version {} was \
                 announced as version {version}\"",
                snapshot.version
            ),
            None => {}
        }
        // It is not fetched again.
        self.tables().ranks.examine(document.edition.rank);
    }

    /// Decodes a document, and returns how long that took; `None` if it can't be decoded, which
    /// is logged. It may be large, so the tables must not be locked.
    fn decode(&self, at: Position, text: &[u8]) -> Option<(Snapshot, Duration)> {
        let started = self.now();
        match configuration::decode(text) {
            Ok(snapshot) => Some((snapshot, self.now().since(started))),
            Err(error) => {
                // The reason may quote names and values of the document.
                let reason = error.to_string();
                log::warn!("event=configuration_unreadable at={at} reason={reason:?}");
                None
            }
        }
    }

    /// Puts a configuration in force unless a later version already is. `decoding` and `source`
    /// are logged.
    fn configure(&self, document: &Document, snapshot: Snapshot, decoding: Duration, source: &str) {
        let rank = document.edition.rank;
        {
            let mut tables = self.tables();
            let behind = tables.ranks.time_behind(self.now());
            if !tables.ranks.examine(rank) {
                let in_force = tables.version();
                if rank.version < in_force {
                    log::warn!(
                        "event=configuration_older version={} in_force={in_force} at={}",
                        rank.version,
                        rank.at
                    );
                }
                return;
            }
            log_configuration(document, &snapshot, source, decoding, behind);
            tables.put_in_force(self.now(), document, Arc::new(snapshot));
        }
        self.serve_if_ready();
    }
}

fn log_configuration(
    document: &Document,
    snapshot: &Snapshot,
    source: &str,
    decoding: Duration,
    behind: Duration,
) {
    let non_idempotent = snapshot.routes().filter(|route| !route.idempotent);
    let non_idempotent: Vec<&str> = non_idempotent.map(|route| &*route.name).collect();
    log::info!(
        "event=configuration version={} at={} source={source} bytes={} packed_bytes={} \
         decode_ms={} behind_ms={} routes={} services={} organisations={} unrepeatable=[{}]",
        snapshot.version,
        document.edition.rank.at,
        document.text.len(),
        document.packed.len(),
        decoding.as_millis(),
        behind.as_millis(),
        snapshot.routes().count(),
        snapshot.services.len(),
        snapshot.organisations.iter().count(),
        non_idempotent.join(" ")
    );
}
