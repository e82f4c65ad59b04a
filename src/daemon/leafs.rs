//! Edge towards leafs: one HTTP/2 connection to each, many parts at a time.
//!
//! A cancelled attempt resets its stream; the connection stays.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crossbeam::channel::Sender;
use jacinthfall_core::id;
use jacinthfall_core::leaf;
use jacinthfall_core::service::Service;
use jacinthfall_net::Error;
use jacinthfall_net::client::{Client, Response};
use metrics::counter;
use tokio::runtime::Handle;
use tokio::task::AbortHandle;

use super::job::Job;
use crate::util::lock::lock;

/// Path of a part at a leaf.
const PART_PATH: &str = "/part";

/// Time after which opening a connection counts as failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections to all leafs.
#[derive(Debug)]
pub struct Leafs {
    runtime: Handle,
    jobs: Sender<Job>,
    links: Mutex<BTreeMap<id::Name, Arc<Link>>>,
    attempts: Arc<Mutex<BTreeMap<u64, AbortHandle>>>,
}

/// The connection to one leaf; it is opened with the first part.
#[derive(Debug)]
struct Link {
    address: SocketAddr,
    connection: tokio::sync::Mutex<Option<Client>>,
}

impl Leafs {
    /// Opens the edge without any connection.
    #[must_use]
    pub fn open(runtime: Handle, jobs: Sender<Job>) -> Leafs {
        Leafs { runtime, jobs, links: Mutex::default(), attempts: Arc::default() }
    }

    /// Takes over the leafs of a service and connects to new ones, so that the
    /// first queries don't pay for it.
    pub fn update(&self, service: &Service) {
        let mut links = lock(&self.links);
        for leaf in &service.leafs {
            let is_current = links.get(&leaf.name).is_some_and(|link| link.address == leaf.address);
            if is_current {
                continue;
            }
            let link = Link { address: leaf.address, connection: tokio::sync::Mutex::new(None) };
            let link = Arc::new(link);
            links.insert(leaf.name.clone(), Arc::clone(&link));
            self.runtime.spawn(async move {
                // A leaf that can't be reached now is tried again with its first part.
                let _ = link.connect().await;
            });
        }
    }

    /// Sends a part; its end is reported as [`Job::AttemptEnded`] unless it is cancelled.
    pub fn send(&self, leaf: id::Name, part: leaf::Query) {
        let link = lock(&self.links).get(&leaf).cloned();
        let jobs = self.jobs.clone();
        let attempts = Arc::clone(&self.attempts);
        let counter = part.attempt.counter;
        counter!("jacinthfall_leaf_parts_total").increment(1);
        // The table is locked until the task is entered, so that a task that ends
        // at once can't be removed before it is inserted.
        let mut table = lock(&self.attempts);
        let task = self.runtime.spawn(async move {
            let result = post_part(link, &part).await;
            lock(&attempts).remove(&counter);
            let ended =
                Job::AttemptEnded { service: part.service, leaf, attempt: part.attempt, result };
            let _ = jobs.send(ended);
        });
        table.insert(counter, task.abort_handle());
    }

    /// Resets the stream of an attempt.
    pub fn cancel(&self, attempt: &id::Attempt) {
        if let Some(task) = lock(&self.attempts).remove(&attempt.counter) {
            counter!("jacinthfall_leaf_cancels_total").increment(1);
            task.abort();
        }
    }
}

async fn post_part(link: Option<Arc<Link>>, part: &leaf::Query) -> Result<Response, Error> {
    let link = link.ok_or_else(|| Error::Unsent("no address is configured".into()))?;
    let body = serde_json::to_vec(part).map_err(|error| Error::Unsent(error.to_string()))?;
    let client = link.connect().await?;
    client.post(PART_PATH, &[], body.into()).await
}

impl Link {
    /// The open connection, or a new one.
    async fn connect(&self) -> Result<Client, Error> {
        let mut connection = self.connection.lock().await;
        if let Some(client) = connection.as_ref().filter(|client| !client.is_closed()) {
            return Ok(client.clone());
        }
        counter!("jacinthfall_leaf_connects_total").increment(1);
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, Client::open(self.address)).await;
        let client = opened.map_err(|_| Error::Unsent("timeout while connecting".into()))??;
        *connection = Some(client.clone());
        Ok(client)
    }
}

/// What became of an attempt, from the leaf's response.
#[must_use]
pub fn attempt_outcome(result: Result<Response, Error>) -> leaf::Outcome {
    let response = match result {
        Ok(response) => response,
        Err(Error::Unsent(message)) => return leaf::Outcome::Unsent { message: message.into() },
        Err(error) => return leaf::Outcome::Broken { message: error.to_string().into() },
    };
    if response.status.is_success() {
        return match serde_json::from_slice(&response.body) {
            Ok(reply) => leaf::Outcome::Replied(reply),
            Err(error) => leaf::Outcome::Malformed { message: error.to_string().into() },
        };
    }
    match serde_json::from_slice(&response.body) {
        Ok(refusal) => leaf::Outcome::Refused(refusal),
        Err(error) => leaf::Outcome::Malformed { message: error.to_string().into() },
    }
}
