//! Faults that tests inject.

/// A fault of a node, the store, the leaf or the network, or a disturbance by other
/// asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The node is killed and restarts as another incarnation.
    Kill,
    /// The node is frozen past the deadline and resumed.
    Freeze,
    /// The node is frozen for longer than the clock skew and resumed.
    FreezePastSkew,
    /// The node is frozen for longer than ids are remembered and resumed.
    FreezePastWindow,
    /// The store refuses all calls for a while.
    Outage,
    /// The store refuses the next calls.
    RateLimit,
    /// The next read gets no reply.
    ReadLost,
    /// The next swap does not reach the store.
    SwapLost,
    /// The next swap takes effect, but its reply is lost.
    SwapReplyLost,
    /// The next swap is reported as unanswered and takes effect afterwards.
    SwapDelayed,
    /// The next reply of the store arrives after the deadline.
    SlowReply,
    /// The leaf runs the request and never replies.
    LeafSilent,
    /// The leaf runs the request and the connection breaks.
    LeafBroken,
    /// The leaf runs the request and replies after the deadline.
    LeafLate,
    /// The leaf refuses the request.
    LeafRefuses,
    /// The leaf can't be reached.
    LeafUnsent,
    /// The same id is submitted at another node.
    Duplicate,
    /// Another node claims a different id in the same bucket.
    OtherClaim,
}

impl Fault {
    pub const ALL: [Fault; 18] = [
        Fault::Kill,
        Fault::Freeze,
        Fault::FreezePastSkew,
        Fault::FreezePastWindow,
        Fault::Outage,
        Fault::RateLimit,
        Fault::ReadLost,
        Fault::SwapLost,
        Fault::SwapReplyLost,
        Fault::SwapDelayed,
        Fault::SlowReply,
        Fault::LeafSilent,
        Fault::LeafBroken,
        Fault::LeafLate,
        Fault::LeafRefuses,
        Fault::LeafUnsent,
        Fault::Duplicate,
        Fault::OtherClaim,
    ];

    /// Whether answers can arrive after their deadline.
    pub fn freezes(self) -> bool {
        matches!(self, Fault::Freeze | Fault::FreezePastSkew | Fault::FreezePastWindow)
    }

    /// Whether the outcome of a run may never be recorded.
    pub fn loses_outcome(self) -> bool {
        use Fault::{FreezePastWindow, Kill, LeafBroken, LeafSilent};
        matches!(self, Kill | FreezePastWindow | LeafSilent | LeafBroken)
    }
}
