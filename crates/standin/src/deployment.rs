//! Settings of an example deployment: its platform, leafs, services and profiles.
//!
//! A deployment is a folder with `platform.jsonc`, `leafs.jsonc` and
//! `profiles.jsonc`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use bytes::Bytes;
use jacinthfall_adapter::store;
use jacinthfall_core::id;
use jacinthfall_core::profile::Profile;
use jacinthfall_core::record::{self, Body, Change, Document, Record};
use jacinthfall_core::service::Service;
use jacinthfall_core::time::Wall;
use jacinthfall_net::client::Client;

use crate::platform::control;
use crate::settings::{self, Error};
use crate::{leaf, platform};

/// Settings of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Settings of the platform's stand-in.
    pub platform: platform::Settings,
    /// Settings of the leafs of every service.
    pub leafs: leaf::settings::Settings,
    /// Profiles of requests.
    pub profiles: Vec<Profile>,
}

impl Deployment {
    /// Reads and checks the settings in a folder.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    pub fn open(folder: &Path) -> Result<Deployment, Error> {
        let deployment = Deployment {
            platform: settings::read(&folder.join("platform.jsonc"))?,
            leafs: settings::read(&folder.join("leafs.jsonc"))?,
            profiles: settings::read(&folder.join("profiles.jsonc"))?,
        };
        deployment.leafs.check()?;
        for profile in &deployment.profiles {
            let invalid = |e| Error::Invalid(format!("profile `{}`: {e}", profile.name));
            profile.check().map_err(invalid)?;
        }
        Ok(deployment)
    }
}

/// Returns the description of every service that is set up as a fleet.
#[must_use]
pub fn services(
    settings: &leaf::settings::Settings,
    addresses: &BTreeMap<id::Name, SocketAddr>,
) -> Vec<Service> {
    settings.fleets.iter().map(|fleet| fleet.service(addresses)).collect()
}

/// Returns the first record of a service, as it is written to the platform's store.
///
/// ```
/// use jacinthfall_core::service::Service;
/// use jacinthfall_standin::deployment;
/// let text = r#"{"name":"s","slots":1,"connections":1,"connect_ms":1,"leafs":[],"maps":[]}"#;
/// let service: Service = serde_json::from_str(text).unwrap();
/// assert_eq!(&*deployment::record(service).key, "config/service/s");
/// ```
#[must_use]
pub fn record(service: Service) -> Record {
    let change = Change {
        id: format!("standin-{}", service.name).into(),
        author: "jacinthfall-standin-leaf".into(),
        time: Wall::default(),
        cause: "leafs started".into(),
    };
    let key = record::service_key(&service.name);
    Record { key, revision: id::Revision(1), change, body: Body::Service(Arc::new(service)) }
}

/// Writes records to the store of the platform's stand-in, replacing older ones.
///
/// # Errors
///
/// A message that says what failed.
pub async fn register(platform: SocketAddr, records: Vec<Record>) -> Result<(), String> {
    let store = store::Client::open(platform);
    let mut change = control::Change::default();
    for record in records {
        let previous = stored_document(&store, &record.key).await?;
        let Record { key, change: cause, body, .. } = record;
        let document = Document::next(previous.as_ref(), id::Revision(0), key.clone(), cause, body);
        let value = serde_json::to_string(&document).map_err(|e| e.to_string())?;
        change.put.push(control::Put { key, value: Some(value) });
    }
    let body = serde_json::to_vec(&change).map_err(|e| e.to_string())?;
    let client = Client::open(platform).await.map_err(|e| e.to_string())?;
    post(&client, "/control", body.into()).await
}

/// Reads the document of a key from the store.
async fn stored_document(
    store: &store::Client,
    key: &id::Name,
) -> Result<Option<Document>, String> {
    let item = store.get(key).await.map_err(|e| e.to_string())?;
    let Some(value) = item.and_then(|item| item.value) else { return Ok(None) };
    serde_json::from_slice(&value).map(Some).map_err(|e| e.to_string())
}

async fn post(client: &Client, path: &str, body: Bytes) -> Result<(), String> {
    let response = client.post(path, &[], body).await.map_err(|e| e.to_string())?;
    if !response.status.is_success() {
        return Err(format!("platform answered {path} with {}", response.status));
    }
    Ok(())
}
