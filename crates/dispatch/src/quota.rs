//! Quotas of organisations over all nodes: which node grants requests, and how others spend them.
//!
//! Answers organisations that send more requests than their quota allows, to any number of nodes.
//! Organisations are divided into [`GROUPS`] by name. Each group has up to [`MAX_ELECTORS`]
//! electors, the first nodes in the order of rendezvous hashing. Each elector lends its vote to
//! one node at a time, for [`LEASE`]: the first candidate in the order that answers. A node grants
//! the share of each quota that its votes are of all votes, so that the grants of all nodes never
//! exceed the quota, whatever each node knows of the others. A node that is cut off is left with
//! its own vote.
//!
//! [`Allocator`] is the state of a node that grants, [`Cache`] that of a node that spends, and
//! [`Contacts`] the choice of the granting node. [`Quotas`] joins them for one node.

use std::collections::HashMap;
use std::time::Duration;

use jacinthfall_core::hash;
use jacinthfall_core::id;
use jacinthfall_core::time::Time;
use jacinthfall_route::organisation::Quota;
use serde::{Deserialize, Serialize};

mod allocator;
mod cache;
mod contacts;
mod history;
mod members;

pub use allocator::Allocator;
pub use cache::{Cache, Decision};
pub use contacts::Contacts;
pub use members::Members;

/// Number of groups of organisations; the same at all nodes.
pub const GROUPS: u8 = 4;

/// Maximum number of electors of a group.
pub const MAX_ELECTORS: usize = 24;

/// Time for which an elector lends its vote.
pub const LEASE: Duration = Duration::from_millis(600);

/// Maximum time that a request waits for a grant.
pub const MAX_WAIT: Duration = Duration::from_millis(15);

/// Time for which a node may make requests on credit.
pub const CREDIT_TIME: Duration = Duration::from_secs(2);

/// Coverage above which a node grants on behalf of most nodes. No two nodes can have it.
pub const HALF: f64 = 0.5;

/// Maximum number of organisations in one message, so that it fits into a datagram.
pub const MAX_ROWS: usize = 64;

/// Identifies an organisation: a digest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrganisationId(u64);

impl OrganisationId {
    /// Returns the identifier of the organisation with a name.
    ///
    /// ```
    /// use jacinthfall_dispatch::quota::OrganisationId;
    /// assert_ne!(OrganisationId::of("bank"), OrganisationId::of("shop"));
    /// ```
    #[must_use]
    pub fn of(name: &str) -> OrganisationId {
        OrganisationId(hash::digest(name.as_bytes()))
    }

    /// Returns the group that the organisation belongs to.
    #[must_use]
    pub const fn group(self) -> u8 {
        (self.0 % GROUPS as u64) as u8
    }
}

/// Rule that the requests of every organisation must keep to: in every window, its quota and the
/// room that is stated here.
///
/// Grants that are still to be spent and what a bucket holds beyond the burst use nine tenths of
/// the overage and half of the slack, and requests on credit three tenths of the slack. The rest
/// is for changes of the granting node, and for requests that reach leafs later than they were
/// admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Length of the window.
    pub window: Duration,
    /// Share by which the quota may be exceeded.
    pub overage: f64,
    /// Number of requests by which it may be exceeded besides.
    pub slack: f64,
}

impl Rule {
    /// Returns the time for which granted requests may be made.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_dispatch::quota::Rule;
    /// let rule = Rule { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };
    /// assert_eq!(rule.grant_lifetime(), Duration::from_millis(250));
    /// ```
    #[must_use]
    pub fn grant_lifetime(&self) -> Duration {
        self.window.mul_f64(0.5 * self.overage)
    }

    /// Returns the number of requests that a bucket may hold, so that requests that arrive at
    /// random times below the limit aren't refused.
    fn capacity(&self, quota: &Quota) -> f64 {
        let time = 0.4 * self.overage * self.window.as_secs_f64();
        quota.burst + quota.rate_per_s * time + 0.5 * self.slack
    }

    /// Returns the number of requests that a quota allows in a window, without the room that the
    /// rule leaves.
    fn most(&self, quota: &Quota) -> f64 {
        quota.rate_per_s * self.window.as_secs_f64() + quota.burst
    }

    /// Returns the maximum number of nodes that may each make a request on credit.
    fn max_credit_nodes(&self) -> usize {
        (0.3 * self.slack) as usize
    }

    /// Returns the number of requests that a bucket holds when a process first grants on behalf of
    /// most nodes, so that an organisation with a low limit isn't refused for seconds.
    fn initial_requests(&self) -> f64 {
        0.2 * self.slack
    }
}

/// A limit in the form that nodes exchange, in thousandths, rounded up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Requests per 1,000 seconds; greater than 0.
    pub rate: u32,
    /// Burst, in thousandths of a request.
    pub burst: u32,
}

impl Limit {
    /// Returns the limit of a quota.
    ///
    /// ```
    /// use jacinthfall_dispatch::quota::Limit;
    /// use jacinthfall_route::organisation::Quota;
    /// let limit = Limit::of(&Quota { rate_per_s: 0.2, burst: 3.0 });
    /// assert_eq!(limit, Limit { rate: 200, burst: 3_000 });
    /// ```
    #[must_use]
    pub fn of(quota: &Quota) -> Limit {
        let thousandths = |number: f64| (1_000.0 * number).ceil() as u32;
        Limit { rate: thousandths(quota.rate_per_s), burst: thousandths(quota.burst) }
    }
}

/// A vote for the receiver of an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Start of the receiver's process, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Time since that start, in microseconds: what the receiver last stated, and the time since
    /// that statement arrived. The vote is lent from then on, however late the message arrives.
    pub clock: u64,
}

/// What a node wants of one organisation's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Number of requests.
    pub requests: u16,
    /// Whether the sender has made a request on credit.
    pub has_unreported: bool,
    /// Limit of the configuration in force at the sender.
    pub limit: Limit,
}

/// Message to a node that may grant requests of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Group that the message is about.
    pub group: u8,
    /// Name of the sender.
    pub node: id::Name,
    /// Start of the sender's process, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Number of the message; higher than that of earlier ones to the same node.
    pub number: u64,
    /// The sender's vote; any earlier one ends if there is none.
    pub vote: Option<Vote>,
    /// What the sender wants.
    pub wants: Vec<Want>,
}

/// Number of requests that a node may make on behalf of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Number of requests.
    pub requests: u16,
    /// Time until a further request may be granted, in milliseconds; 0 if all that was wanted was
    /// granted.
    pub wait_ms: u16,
}

/// Response to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Group that the message is about.
    pub group: u8,
    /// Name of the sender.
    pub node: id::Name,
    /// Start of the sender's process, in milliseconds since the Unix epoch.
    pub started: u64,
    /// Time since that start, in microseconds.
    pub clock: u64,
    /// Number of the message that it answers.
    pub number: u64,
    /// Share of the votes that the sender has, in thousandths.
    pub coverage: u16,
    /// Whether the receiver may make a request of each organisation on credit, within
    /// [`CREDIT_TIME`] of its message, when no grant arrives in time.
    pub has_credit: bool,
    /// What is granted.
    pub grants: Vec<Grant>,
}

/// Returns the electors of a group, first candidate first.
#[must_use]
fn electors(group: u8, members: &[id::Name]) -> Vec<id::Name> {
    let key = format!("quota-group-{group}");
    let mut ranked: Vec<&id::Name> = members.iter().collect();
    ranked
        .sort_by_cached_key(|name| (std::cmp::Reverse(hash::weight(&key, name)), (*name).clone()));
    ranked.into_iter().take(MAX_ELECTORS).cloned().collect()
}

/// Messages of one node that are to be sent, by the name of the receiver.
pub type Outbox = Vec<(id::Name, Ask)>;

/// State of one node with regard to quotas.
#[derive(Debug)]
pub struct Quotas {
    node: id::Name,
    started: u64,
    /// Names of all nodes, this one included, in order.
    members: Vec<id::Name>,
    cache: Cache,
    contacts: Vec<Contacts>,
    allocators: Vec<Allocator>,
    has_quotas: bool,
}

impl Quotas {
    /// Creates the state of a node that has just started. It knows no other node and grants
    /// nothing before [`Quotas::set_members`].
    #[must_use]
    pub fn open(rule: Rule, node: id::Name, started: u64) -> Quotas {
        Quotas {
            node,
            started,
            members: Vec::new(),
            cache: Cache::open(rule),
            contacts: (0..GROUPS).map(|_| Contacts::default()).collect(),
            allocators: (0..GROUPS).map(|_| Allocator::open(rule)).collect(),
            has_quotas: false,
        }
    }

    /// Sets the names of all nodes that may grant, this one included, and the minimum number of
    /// nodes to assume while others may not be known yet.
    pub fn set_members(&mut self, now: Time, mut members: Vec<id::Name>, min_nodes: usize) {
        members.sort_unstable();
        members.dedup();
        let is_changed = members != self.members;
        self.members = members;
        for group in 0..GROUPS {
            let index = usize::from(group);
            if is_changed {
                let electors = electors(group, &self.members);
                self.contacts[index].set_candidates(&self.node, &electors);
                self.allocators[index].set_electors(now, electors);
            }
            self.allocators[index].set_min_electors(now, min_nodes.min(MAX_ELECTORS));
        }
    }

    /// Sets the quotas of the configuration in force.
    pub fn set_quotas(&mut self, now: Time, quotas: HashMap<OrganisationId, Quota>) {
        for (index, allocator) in self.allocators.iter_mut().enumerate() {
            let own = quotas.iter().filter(|(name, _)| usize::from(name.group()) == index);
            allocator.set_quotas(now, own.map(|(name, quota)| (*name, *quota)).collect());
        }
        self.cache.retain(|organisation| quotas.contains_key(organisation));
        self.has_quotas = !quotas.is_empty();
    }

    /// Decides on a request that has just arrived of an organisation with a quota. After
    /// [`Decision::Wait`], the caller must call [`Quotas::retry`] until the decision is another
    /// one, or [`Quotas::cancel`].
    pub fn request(&mut self, now: Time, organisation: OrganisationId, quota: &Quota) -> Decision {
        self.cache.request(now, organisation, Limit::of(quota))
    }

    /// Decides again on a request that arrived at `arrived` and was to wait.
    pub fn retry(&mut self, now: Time, organisation: OrganisationId, arrived: Time) -> Decision {
        self.cache.retry(now, organisation, arrived)
    }

    /// Records that a request that was to wait is no longer there.
    pub fn cancel(&mut self, organisation: OrganisationId) {
        self.cache.cancel(organisation);
    }

    /// Returns the messages that are due. Must be called at least every 50 ms, and soon after
    /// a decision to wait.
    pub fn poll(&mut self, now: Time) -> Outbox {
        self.allocators.iter_mut().for_each(|allocator| allocator.advance(now));
        if !self.has_quotas && self.cache.is_empty() {
            return Vec::new();
        }
        let mut outbox = Vec::new();
        for group in 0..GROUPS {
            let wants = self.cache.wants(now, group);
            let contacts = &mut self.contacts[usize::from(group)];
            for (name, number, vote, wants) in contacts.poll(now, &self.node, wants) {
                let node = self.node.clone();
                let ask = Ask { group, node, started: self.started, number, vote, wants };
                outbox.push((name, ask));
            }
        }
        outbox
    }

    /// Returns the response to a message of a node, which may be this one; `None` if it is
    /// outdated or invalid.
    pub fn receive_ask(&mut self, now: Time, ask: &Ask) -> Option<Reply> {
        let allocator = self.allocators.get_mut(usize::from(ask.group))?;
        let grants = allocator.receive(now, self.started, ask)?;
        Some(Reply {
            group: ask.group,
            node: self.node.clone(),
            started: self.started,
            clock: now.0,
            number: ask.number,
            coverage: (1_000.0 * allocator.coverage(now)) as u16,
            has_credit: allocator.has_credit(now, &ask.node),
            grants,
        })
    }

    /// Records a response. Returns `false` if it is a duplicate, outdated or invalid.
    pub fn receive_reply(&mut self, now: Time, reply: &Reply) -> bool {
        let Some(contacts) = self.contacts.get_mut(usize::from(reply.group)) else { return false };
        let Some(sent) = contacts.receive(now, reply) else { return false };
        if reply.has_credit {
            self.cache.set_credit(reply.group, sent + CREDIT_TIME);
        }
        // A node with few votes has little to grant, and another one may have more.
        let covers_most = f64::from(reply.coverage) / 1_000.0 > HALF;
        for grant in reply.grants.iter().take(MAX_ROWS) {
            if grant.organisation.group() == reply.group {
                self.cache.receive(now, sent, grant, covers_most);
            }
        }
        true
    }

    /// Returns the share of the votes of each group that this node has.
    #[must_use]
    pub fn coverage(&self, now: Time) -> Vec<f64> {
        self.allocators.iter().map(|allocator| allocator.coverage(now)).collect()
    }
}
