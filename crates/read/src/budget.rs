//! Budget for extra attempts, shared by hedged requests and retries.

/// Maximum number of extra attempts that can be saved up.
const MAX_TOKENS: f64 = 100.0;

/// Number of extra attempts available at the start.
const INITIAL_TOKENS: f64 = 10.0;

/// Tokens that hedged requests leave for retries.
const RETRY_RESERVE_TOKENS: f64 = 5.0;

/// Token bucket. Each first attempt adds a fraction of a token and each extra attempt
/// takes one.
#[derive(Debug)]
pub(crate) struct Bucket {
    tokens: f64,
}

impl Bucket {
    pub(crate) fn new() -> Bucket {
        Bucket { tokens: INITIAL_TOKENS }
    }

    /// Adds the fraction of a token for a first attempt.
    pub(crate) fn deposit(&mut self, extra_load: f64) {
        self.tokens = (self.tokens + extra_load).min(MAX_TOKENS);
    }

    /// Takes a token for a retry; returns whether one was available.
    pub(crate) fn try_take_retry(&mut self) -> bool {
        self.try_take(1.0)
    }

    /// Takes a token for a hedged request; returns whether one was available beyond the
    /// reserve for retries.
    pub(crate) fn try_take_hedge(&mut self) -> bool {
        self.try_take(1.0 + RETRY_RESERVE_TOKENS)
    }

    fn try_take(&mut self, min_tokens: f64) -> bool {
        if self.tokens < min_tokens {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
