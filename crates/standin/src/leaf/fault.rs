//! Faults that can be injected into replies.

use std::time::Duration;

use jacinthfall_core::leaf::Reply;
use serde::{Deserialize, Serialize};

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// No fault.
    #[default]
    None,
    /// The body is cut in half.
    Truncate,
    /// A row is missing, so that `count` does not match the rows.
    Short,
    /// The reply to another part is sent instead.
    Cross,
    /// The reply is sent, and sent duplicate instead of the next one.
    Double,
    /// The reply is delayed, so that it comes after the part's time is over.
    Late,
    /// The stream is reset after the part ran.
    Drop,
}

/// What is sent for a part that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sending {
    /// A reply.
    Whole(Reply),
    /// The first half of a reply's bytes.
    Half(Reply),
    /// A reply after a delay.
    Delayed(Reply, Duration),
    /// Nothing; the stream is reset.
    Reset,
}

/// The fault that is switched on, and the replies that it needs.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    kind: Kind,
    remaining: u32,
    delay: Duration,
    previous: Option<Reply>,
    duplicate: Option<Reply>,
}

impl Faults {
    /// Injects a fault into the next `count` replies; `delay` is that of [`Kind::Late`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use jacinthfall_standin::leaf::fault::{Faults, Kind};
    /// let mut faults = Faults::default();
    /// faults.set(Kind::Drop, 1, Duration::ZERO);
    /// assert_eq!(faults.remaining(), 1);
    /// ```
    pub fn set(&mut self, kind: Kind, count: u32, delay: Duration) {
        self.kind = kind;
        self.remaining = if kind == Kind::None { 0 } else { count };
        self.delay = delay;
        self.duplicate = None;
    }

    /// Number of next replies that the fault will affect.
    #[must_use]
    pub fn remaining(&self) -> u32 {
        self.remaining
    }

    /// Returns what is sent instead of `reply`.
    pub fn apply(&mut self, reply: Reply) -> Sending {
        let previous = self.previous.replace(reply.clone());
        if let Some(duplicate) = self.duplicate.take() {
            return Sending::Whole(duplicate);
        }
        if self.remaining == 0 {
            return Sending::Whole(reply);
        }
        self.remaining -= 1;
        match self.kind {
            Kind::None => Sending::Whole(reply),
            Kind::Truncate => Sending::Half(reply),
            Kind::Short => Sending::Whole(drop_row(reply)),
            Kind::Cross => Sending::Whole(previous.unwrap_or_else(|| misaddress(reply))),
            Kind::Double => {
                self.duplicate = Some(reply.clone());
                Sending::Whole(reply)
            }
            Kind::Late => Sending::Delayed(reply, self.delay),
            Kind::Drop => Sending::Reset,
        }
    }
}

/// Drops the last row, or raises the count if there is no row.
fn drop_row(mut reply: Reply) -> Reply {
    if reply.rows.pop().is_none() {
        reply.count += 1;
    }
    reply
}

/// Changes a reply into one to a part that was never sent.
fn misaddress(mut reply: Reply) -> Reply {
    reply.attempt.counter ^= 1 << 63;
    reply.request = format!("not-{}", reply.request).into();
    reply
}
