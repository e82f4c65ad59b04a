//! What a request tells of the room at its shards, and the parts that it leaves out.

use jacinthfall_core::time::Time;
use jacinthfall_route::snapshot::Target;

use super::part::Obstacle;
use super::{Context, Flight};
use crate::fleet::Placement;
use crate::overload::optional::Query;
use crate::overload::shortage::Shard;

impl Flight {
    /// Records which shards had no leaf for a part when the request was first placed.
    pub(super) fn observe_room(
        &self,
        now: Time,
        placements: &[Placement],
        context: &mut Context<'_>,
    ) {
        if self.next_admission.is_some() || !context.overload.is_measuring() {
            return;
        }
        for (part, placement) in self.parts.iter().zip(placements) {
            let is_met = matches!(placement, Placement::Leaf(_));
            context.overload.observe(now, &part.service, is_met);
        }
        let parts = self.room(placements);
        let found = parts.iter().filter(|(_, found)| *found).count();
        if found < self.min_placed {
            let query = self.query(&parts, context);
            context.overload.record_wait(now, &query);
        }
    }

    /// Records which parts are missing from the answer, since their shards were late.
    pub(super) fn observe_missing(&self, now: Time, context: &mut Context<'_>) {
        let is_left_out =
            |part: &super::Part| matches!(part.given_up, Some((_, Obstacle::Shortage)));
        for part in self.parts.iter().filter(|part| part.reply.is_none() && !is_left_out(part)) {
            context.overload.observe(now, &part.service, false);
        }
    }

    /// Gives up the parts that the query leaves out for the sake of others. Returns their indices.
    pub(super) fn leave_out(
        &mut self,
        now: Time,
        placements: &[Placement],
        context: &mut Context<'_>,
    ) -> Vec<usize> {
        if !matches!(self.route.target, Target::Gather(_)) || !context.overload.is_measuring() {
            return Vec::new();
        }
        let parts = self.room(placements);
        let query = self.query(&parts, context);
        let left_out = context.overload.left_out(now, &query);
        for part in &left_out {
            self.parts[*part].given_up = Some((now, Obstacle::Shortage));
        }
        left_out
    }

    /// Returns the shard of each part, and whether a leaf was found for it.
    fn room(&self, placements: &[Placement]) -> Vec<(Shard, bool)> {
        let parts = self.parts.iter().zip(placements);
        parts.map(|(part, p)| (Shard::of(&part.service), matches!(p, Placement::Leaf(_)))).collect()
    }

    fn query<'a>(&self, parts: &'a [(Shard, bool)], context: &Context<'_>) -> Query<'a> {
        let work = context.latency.quantile(0.5);
        Query { parts, min_parts: self.min_placed, priority: self.route.priority, work }
    }
}
