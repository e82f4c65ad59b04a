//! Organisations that callers belong to, and the keys by which their requests are known.

use std::collections::HashMap;
use std::sync::Arc;

use jacinthfall_core::id;

/// Number of requests that an organisation may make, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second; greater than 0.
    pub rate_per_s: f64,
    /// Number of requests that it may make at once, beyond the rate; 0 or more.
    pub burst: f64,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name of the organisation, which leafs receive.
    pub name: id::Name,
    /// Priority of its requests, which takes precedence over that of their route; 0 is the most
    /// urgent.
    pub priority: Option<u32>,
    /// Limit on its requests; `None` if there is none.
    pub quota: Option<Quota>,
}

/// The organisations of a configuration, by key and by name.
#[derive(Clone, Default)]
pub struct Directory {
    by_key: HashMap<Box<[u8]>, Arc<Organisation>>,
    by_name: HashMap<id::Name, Arc<Organisation>>,
}

impl Directory {
    /// Adds an organisation with its keys. Returns `false` if its name or one of its keys is
    /// already there.
    ///
    /// ```
    /// use jacinthfall_route::organisation::{Directory, Organisation};
    /// let mut directory = Directory::default();
    /// let bank = Organisation { name: "bank".into(), priority: None, quota: None };
    /// assert!(directory.add(bank.clone(), [&b"key"[..]]));
    /// assert!(!directory.add(bank, [&b"other"[..]]), "the same name twice");
    /// assert_eq!(&*directory.find(b"key").unwrap().name, "bank");
    /// ```
    pub fn add<'a>(
        &mut self,
        organisation: Organisation,
        keys: impl IntoIterator<Item = &'a [u8]>,
    ) -> bool {
        let organisation = Arc::new(organisation);
        let name = Arc::clone(&organisation.name);
        let mut is_new = self.by_name.insert(name, Arc::clone(&organisation)).is_none();
        for key in keys {
            is_new &= self.by_key.insert(key.into(), Arc::clone(&organisation)).is_none();
        }
        is_new
    }

    /// Returns the organisation that holds a key.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// Returns the organisation with a name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Iterates over all organisations, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }

    /// Whether there are no organisations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

/// Keys are secret, so only names are shown.
impl std::fmt::Debug for Directory {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_set().entries(self.by_name.keys()).finish()
    }
}
