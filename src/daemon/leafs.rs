//! Connections to leafs: one HTTP/2 connection to each, shared by concurrent attempts.
//!
//! Cancelling an attempt resets its stream and leaves the connection open.

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

/// HTTP path to which parts are posted.
const PART_PATH: &str = "/part";

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections to all leafs, and the tasks of the attempts in flight.
#[derive(Debug)]
pub struct Leafs {
    runtime: Handle,
    jobs: Sender<Job>,
    links: Mutex<BTreeMap<id::Name, Arc<Link>>>,
    attempts: Arc<Mutex<BTreeMap<u64, AbortHandle>>>,
}

/// The connection to one leaf. It is opened when the leaf is configured; an attempt that
/// finds it closed opens it again.
#[derive(Debug)]
struct Link {
    address: SocketAddr,
    connection: tokio::sync::Mutex<Option<Client>>,
}

impl Leafs {
    /// Creates the table without any connection.
    #[must_use]
    pub fn open(runtime: Handle, jobs: Sender<Job>) -> Leafs {
        Leafs { runtime, jobs, links: Mutex::default(), attempts: Arc::default() }
    }

    /// Adds the leafs of a service and connects to those that are new or moved, so that
    /// the first queries don't wait for the connection.
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
                // If this fails, the first attempt tries to connect again.
                let _ = link.connect().await;
            });
        }
    }

    /// Sends an attempt at a part to a leaf. Its result is reported as
    /// [`Job::AttemptEnded`] unless it is cancelled.
    pub fn send(&self, leaf: id::Name, part: leaf::Query) {
        let link = lock(&self.links).get(&leaf).cloned();
        let jobs = self.jobs.clone();
        let attempts = Arc::clone(&self.attempts);
        let counter = part.attempt.counter;
        counter!("jacinthfall_leaf_parts_total").increment(1);
        // The table stays locked until the task is inserted, so that a task that ends
        // at once can't remove its entry before that.
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

    /// Cancels an attempt by resetting its stream. Does nothing if it has ended.
    pub fn cancel(&self, attempt: &id::Attempt) {
        if let Some(task) = lock(&self.attempts).remove(&attempt.counter) {
            counter!("jacinthfall_leaf_cancels_total").increment(1);
            task.abort();
        }
    }
}

async fn post_part(link: Option<Arc<Link>>, part: &leaf::Query) -> Result<Response, Error> {
    let link = link.ok_or_else(|| Error::Unsent("no address is configured for the leaf".into()))?;
    let body = serde_json::to_vec(part).map_err(|error| Error::Unsent(error.to_string()))?;
    let client = link.connect().await?;
    client.post(PART_PATH, &[], body.into()).await
}

impl Link {
    /// Returns the open connection, or opens a new one.
    async fn connect(&self) -> Result<Client, Error> {
        let mut connection = self.connection.lock().await;
        if let Some(client) = connection.as_ref().filter(|client| !client.is_closed()) {
            return Ok(client.clone());
        }
        counter!("jacinthfall_leaf_connects_total").increment(1);
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, Client::open(self.address)).await;
        let client = opened.map_err(|_| Error::Unsent("timed out while connecting".into()))??;
        *connection = Some(client.clone());
        Ok(client)
    }
}

/// Converts the leaf's response, or the error of the connection, to the outcome of the
/// attempt.
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
