//! Determines the organisation of a request, and names it to leafs in place of the key.
//!
//! Load: one look-up by hash for each request, and nothing without organisations.

use std::sync::Arc;

use http::{HeaderMap, HeaderName, HeaderValue};
use jacinthfall_adapter::header;
use jacinthfall_route::organisation::Organisation;
use jacinthfall_route::snapshot::{Route, Snapshot};

use super::request::{Defect, Rejection};

/// Whom a request comes from.
#[derive(Clone, Debug)]
pub(super) enum Identity {
    /// The configuration has no organisations, so the headers are passed on as they are.
    Undetermined,
    /// The node that relays the request has determined it, by a later configuration than this
    /// node's or by one with organisations; the headers are passed on as they are.
    Relayed,
    /// A caller without a known key, on a route that allows that.
    Anonymous,
    /// An organisation.
    Organisation(Arc<Organisation>),
}

impl Identity {
    /// Determines the identity from the headers of a caller.
    ///
    /// A malformed key is rejected on every route: nothing shows whom the caller meant to be.
    pub(super) fn of_caller(
        snapshot: &Snapshot,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Identity, Rejection> {
        if snapshot.organisations.is_empty() {
            return Ok(Identity::Undetermined);
        }
        let rejection = match key(headers)? {
            Some(key) => match snapshot.organisations.find(key) {
                Some(organisation) => return Ok(Identity::Organisation(Arc::clone(organisation))),
                None => Rejection::UnknownKey,
            },
            None => Rejection::NoKey,
        };
        if route.allows_anonymous { Ok(Identity::Anonymous) } else { Err(rejection) }
    }

    /// Determines the identity from the headers of a request that another node has identified.
    ///
    /// If that node has a later configuration (`is_behind`), its decision stands. Else the
    /// organisation or the permission for anonymous callers may have been withdrawn since.
    pub(super) fn of_relayed(
        snapshot: &Snapshot,
        route: &Route,
        headers: &HeaderMap,
        is_behind: bool,
    ) -> Result<Identity, Rejection> {
        let name = headers.get(header::TENANT);
        let text = name.and_then(|name| std::str::from_utf8(name.as_bytes()).ok());
        if let Some(organisation) = text.and_then(|name| snapshot.organisations.named(name)) {
            return Ok(Identity::Organisation(Arc::clone(organisation)));
        }
        match name {
            _ if is_behind || snapshot.organisations.is_empty() => Ok(Identity::Relayed),
            _ if route.allows_anonymous => Ok(Identity::Anonymous),
            Some(_) => Err(Rejection::UnknownKey),
            None => Err(Rejection::NoKey),
        }
    }

    /// Removes the key and what the caller sent as the organisation's name, and sets that name.
    pub(super) fn replace_headers(&self, headers: &mut HeaderMap) {
        let organisation = match self {
            Identity::Undetermined | Identity::Relayed => return,
            Identity::Anonymous => None,
            Identity::Organisation(organisation) => Some(organisation),
        };
        headers.remove(header::API_KEY);
        headers.remove(header::TENANT);
        if let Some(organisation) = organisation {
            let name = HeaderValue::from_bytes(organisation.name.as_bytes());
            headers.insert(header::TENANT, name.expect("names were checked when decoded"));
        }
    }

    /// Returns the header that tells callers apart, after [`Identity::replace_headers`].
    pub(super) fn header(&self) -> HeaderName {
        if self.is_determined() { header::TENANT } else { header::API_KEY }
    }

    /// Whether a node has determined the organisation.
    pub(super) fn is_determined(&self) -> bool {
        !matches!(self, Identity::Undetermined)
    }

    /// Returns the priority of a request to a route.
    pub(super) fn priority(&self, route: &Route) -> u32 {
        match self {
            Identity::Organisation(organisation) => organisation.priority.unwrap_or(route.priority),
            Identity::Undetermined | Identity::Relayed | Identity::Anonymous => route.priority,
        }
    }

    pub(super) fn into_organisation(self) -> Option<Arc<Organisation>> {
        match self {
            Identity::Organisation(organisation) => Some(organisation),
            Identity::Undetermined | Identity::Relayed | Identity::Anonymous => None,
        }
    }
}

/// Returns the key among the headers of a request.
fn key(headers: &HeaderMap) -> Result<Option<&[u8]>, Rejection> {
    let mut keys = headers.get_all(header::API_KEY).iter().map(HeaderValue::as_bytes);
    let Some(key) = keys.next() else { return Ok(None) };
    let is_text = std::str::from_utf8(key).is_ok();
    if key.is_empty() || !is_text || keys.next().is_some() {
        return Err(Rejection::Malformed(Defect::Key));
    }
    Ok(Some(key))
}
