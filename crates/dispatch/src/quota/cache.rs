//! State of a node that spends: the requests that it has been granted, and what it will need.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use jacinthfall_core::time::Time;

use super::{GROUPS, Grant, Limit, MAX_ROWS, MAX_WAIT, OrganisationId, Rule, Want};

/// Time for which a node asks ahead, as a share of the lifetime of grants.
const HORIZON: f64 = 0.5;

/// Interval at which the rate of requests is measured.
const METER_INTERVAL: Duration = Duration::from_millis(200);

/// Weight of the latest interval in the measured rate.
const METER_WEIGHT: f64 = 0.25;

/// Minimum expected requests for which a node asks ahead. A node that expects
/// fewer asks when a request arrives, since most grants would expire unused.
const MIN_AHEAD: f64 = 2.0;

/// Maximum time for which an answer that nothing is left holds. Other nodes may leave more.
const MAX_SHORTAGE: Duration = Duration::from_millis(100);

/// Interval at which the same need is stated again while requests wait.
const RETRY_INTERVAL: Duration = Duration::from_millis(6);

/// Interval at which a request on credit is stated again, since each statement costs a token.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two messages that ask ahead.
const AHEAD_INTERVAL: Duration = Duration::from_millis(100);

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be made.
    Admit,
    /// It waits for a grant.
    Wait,
    /// It is refused; after this time, further requests may be granted.
    Refuse(Duration),
}

/// What a node holds of one organisation's quota.
#[derive(Debug)]
struct Holding {
    /// Limit of the configuration in force.
    limit: Limit,
    /// Numbers of granted requests, with the time at which each grant expires.
    grants: VecDeque<(Time, u16)>,
    /// Number of requests that wait.
    waiting: u16,
    /// When a request was made on credit that no granting node knows of yet.
    unreported: Option<Time>,
    /// Until when nothing is left, according to the latest reply.
    short_until: Time,
    /// Until when a node with few votes had nothing left, so that there is no credit.
    no_credit_until: Time,
    /// When a further request may be granted, according to the latest reply.
    next: Time,
    /// Number of requests in the current interval.
    count: u32,
    /// When the current interval began.
    interval_began: Time,
    /// Requests per second.
    rate: f64,
    /// When this node last asked.
    asked: Option<Time>,
    /// When it last stated `unreported`.
    reported: Option<Time>,
}

impl Holding {
    fn open(limit: Limit) -> Holding {
        Holding {
            limit,
            grants: VecDeque::new(),
            waiting: 0,
            unreported: None,
            short_until: Time(0),
            no_credit_until: Time(0),
            next: Time(0),
            count: 0,
            interval_began: Time(0),
            rate: 0.0,
            asked: None,
            reported: None,
        }
    }

    fn measure(&mut self, now: Time) {
        let passed = now.since(self.interval_began);
        if passed < METER_INTERVAL {
            return;
        }
        let latest = f64::from(std::mem::take(&mut self.count)) / passed.as_secs_f64();
        let intervals = (passed.as_secs_f64() / METER_INTERVAL.as_secs_f64()).min(1_000.0);
        let kept = (1.0 - METER_WEIGHT).powf(intervals);
        self.rate = self.rate * kept + latest * (1.0 - kept);
        self.interval_began = now;
    }

    fn held(&mut self, now: Time) -> u32 {
        while self.grants.front().is_some_and(|(expires, _)| *expires <= now) {
            self.grants.pop_front();
        }
        self.grants.iter().map(|(_, requests)| u32::from(*requests)).sum()
    }

    fn take(&mut self, now: Time) -> bool {
        if self.held(now) == 0 {
            return false;
        }
        if let Some((_, requests)) = self.grants.front_mut() {
            *requests -= 1;
            if *requests == 0 {
                self.grants.pop_front();
            }
        }
        true
    }

    fn decide(&mut self, now: Time, arrived: Time, has_credit: bool) -> Decision {
        if self.take(now) {
            Decision::Admit
        } else if now < self.short_until {
            Decision::Refuse(self.next.since(now))
        } else if now.since(arrived) < MAX_WAIT {
            Decision::Wait
        } else if has_credit && self.unreported.is_none() && now >= self.no_credit_until {
            self.unreported = Some(now);
            Decision::Admit
        } else {
            Decision::Refuse(self.next.since(now))
        }
    }

    /// Whether a request on credit is to be stated now.
    fn is_report_due(&self, now: Time) -> bool {
        let Some(made) = self.unreported else { return false };
        self.reported.is_none_or(|at| at < made || now.since(at) >= REPORT_INTERVAL)
    }

    /// Returns the number of requests that this node should ask for now.
    fn wanted(&mut self, now: Time, horizon: Duration) -> u16 {
        self.measure(now);
        let ahead = self.rate * horizon.as_secs_f64();
        let is_ahead_due = self.asked.is_none_or(|at| now.since(at) >= AHEAD_INTERVAL);
        let is_retry_due = self.asked.is_none_or(|at| now.since(at) >= RETRY_INTERVAL);
        let ahead = if ahead >= MIN_AHEAD { ahead.floor() } else { 0.0 };
        if !(is_ahead_due && ahead > 0.0 || is_retry_due && self.waiting > 0) {
            return 0;
        }
        let need = u32::from(self.waiting) + ahead as u32;
        let wanted = need.saturating_sub(self.held(now));
        u16::try_from(wanted).unwrap_or(u16::MAX)
    }
}

/// Requests that a node has been granted, by organisation.
#[derive(Debug)]
pub struct Cache {
    rule: Rule,
    holdings: HashMap<OrganisationId, Holding>,
    /// Until when requests of each group's organisations may be made on credit.
    credit: [Time; GROUPS as usize],
}

impl Cache {
    /// Creates an empty cache.
    #[must_use]
    pub fn open(rule: Rule) -> Cache {
        Cache { rule, holdings: HashMap::new(), credit: [Time(0); GROUPS as usize] }
    }

    /// Whether no organisation has made a request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holdings.is_empty()
    }

    /// Decides on a request that has just arrived.
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_core::time::Time;
    /// use jacinthfall_dispatch::quota::{Decision, Limit, OrganisationId, Rule, Cache};
    /// let rule = Rule { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };
    /// let (bank, mut cache) = (OrganisationId::of("bank"), Cache::open(rule));
    /// let limit = Limit { rate: 1_000, burst: 0 };
    /// assert_eq!(cache.request(Time(0), bank, limit), Decision::Wait);
    /// let late = cache.retry(Time::from_millis(15), bank, Time(0));
    /// assert!(matches!(late, Decision::Refuse(_)));
    /// ```
    pub fn request(&mut self, now: Time, organisation: OrganisationId, limit: Limit) -> Decision {
        let holding = self.holdings.entry(organisation).or_insert_with(|| Holding::open(limit));
        holding.limit = limit;
        holding.measure(now);
        holding.count += 1;
        let decision = holding.decide(now, now, false);
        if decision == Decision::Wait {
            holding.waiting = holding.waiting.saturating_add(1);
        }
        decision
    }

    /// Decides again on a request that arrived at `arrived` and was to wait.
    pub fn retry(&mut self, now: Time, organisation: OrganisationId, arrived: Time) -> Decision {
        let has_credit = now < self.credit[usize::from(organisation.group())];
        let Some(holding) = self.holdings.get_mut(&organisation) else {
            return Decision::Refuse(Duration::ZERO);
        };
        let decision = holding.decide(now, arrived, has_credit);
        if decision != Decision::Wait {
            holding.waiting = holding.waiting.saturating_sub(1);
        }
        decision
    }

    /// Records that a request that was to wait is no longer there.
    pub fn cancel(&mut self, organisation: OrganisationId) {
        if let Some(holding) = self.holdings.get_mut(&organisation) {
            holding.waiting = holding.waiting.saturating_sub(1);
        }
    }

    /// Removes the organisations that `is_known` doesn't hold for.
    pub fn retain(&mut self, is_known: impl Fn(&OrganisationId) -> bool) {
        self.holdings.retain(|organisation, holding| holding.waiting > 0 || is_known(organisation));
    }

    /// Returns what this node should ask for now on behalf of a group's organisations.
    pub fn wants(&mut self, now: Time, group: u8) -> Vec<Want> {
        let horizon = self.rule.grant_lifetime().mul_f64(HORIZON);
        let own = self.holdings.iter_mut().filter(|(name, _)| name.group() == group);
        let wants = own.filter_map(|(organisation, holding)| {
            let requests = holding.wanted(now, horizon);
            let has_unreported = holding.is_report_due(now);
            if requests == 0 && !has_unreported {
                return None;
            }
            holding.asked = Some(now);
            if has_unreported {
                holding.reported = Some(now);
            }
            Some(Want {
                organisation: *organisation,
                requests,
                has_unreported,
                limit: holding.limit,
            })
        });
        wants.take(MAX_ROWS).collect()
    }

    /// Lets requests of a group's organisations be made on credit.
    pub fn set_credit(&mut self, group: u8, until: Time) {
        let credit = &mut self.credit[usize::from(group)];
        *credit = until.max(*credit);
    }

    /// Records a grant that was asked for at `asked`. It expires from then on, since it was
    /// made later. `covers_most` tells whether it comes from a node that grants on behalf of most
    /// nodes: one with few votes has little to grant while another one may have more.
    pub fn receive(&mut self, now: Time, asked: Time, grant: &Grant, covers_most: bool) {
        let Some(holding) = self.holdings.get_mut(&grant.organisation) else { return };
        // Replies to messages that didn't state it say nothing of the request on credit.
        if holding.reported == Some(asked) && holding.unreported.is_some_and(|at| at <= asked) {
            holding.unreported = None;
        }
        let expires = asked + self.rule.grant_lifetime();
        if grant.requests > 0 && expires > now {
            holding.grants.push_back((expires, grant.requests));
            holding.short_until = Time(0);
        }
        if grant.wait_ms > 0 {
            let wait = Duration::from_millis(grant.wait_ms.into());
            let shortage_ends = now + wait.min(MAX_SHORTAGE);
            if covers_most {
                holding.next = now + wait;
                holding.short_until = shortage_ends;
            } else {
                holding.no_credit_until = shortage_ends;
            }
        }
    }
}
