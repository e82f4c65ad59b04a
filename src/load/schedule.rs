//! Arrival times, fixed before the first request is sent.

use std::time::Duration;

use jacinthfall_core::query::{Query, Scope};
use jacinthfall_core::time::Wall;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::api::Ask;
use crate::load::mix::{self, Kind, Mix};

/// A scheduled request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time to send the request, from the start of the run.
    pub at: Duration,
    /// Index of its kind in the mix.
    pub kind: usize,
    /// Number of its key.
    pub key: u32,
}

/// Draws the arrivals of a Poisson process with `rate` requests per second over `duration`.
///
/// ```
/// use std::time::Duration;
/// use jacinthfall::load::{mix::Mix, schedule};
/// let text = r#"{"kinds": [{"profile": "p", "weight": 1, "scope": "all", "text": "t",
///     "deadline_ms": 100}]}"#;
/// let mix = Mix::parse("mix.jsonc".as_ref(), text).unwrap();
/// let draw = || schedule::draw(&mix, 100.0, Duration::from_secs(1), 7);
/// assert_eq!(draw(), draw());
/// ```
#[must_use]
pub fn draw(mix: &Mix, rate: f64, duration: Duration, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        // 1 - x is in (0, 1], so its logarithm is finite.
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= duration.as_secs_f64() {
            return arrivals;
        }
        let kind = draw_kind(mix, &mut rng);
        let key = rng.random_range(0..mix.kinds[kind].keys);
        arrivals.push(Arrival { at: Duration::from_secs_f64(at), kind, key });
    }
}

fn draw_kind(mix: &Mix, rng: &mut ChaCha8Rng) -> usize {
    let total = mix.kinds.iter().map(|kind| u64::from(kind.weight)).sum();
    let mut drawn = rng.random_range(0..total);
    for (index, kind) in mix.kinds.iter().enumerate() {
        let weight = u64::from(kind.weight);
        if drawn < weight {
            return index;
        }
        drawn -= weight;
    }
    unreachable!("a draw lies below the sum of the weights")
}

/// Builds the request of an arrival. `issued` is only sent if the request must not run twice.
#[must_use]
pub fn ask(run: &str, number: usize, arrival: &Arrival, kind: &Kind, issued: Wall) -> Ask {
    let request = format!("{run}-{number}");
    let scope = match kind.scope {
        mix::Scope::All => Scope::All,
        mix::Scope::Key => Scope::Key(format!("k{}", arrival.key).into()),
    };
    let text = format!("{} {request}", kind.text).into();
    Ask {
        request: request.into(),
        profile: kind.profile.clone(),
        caller: "jacinthfall-load".into(),
        issued: kind.once.then_some(issued),
        repeat: false,
        deadline: None,
        query: Query { scope, text, limit: kind.limit },
    }
}
