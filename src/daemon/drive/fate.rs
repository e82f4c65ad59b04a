//! Driver of the keeper of fates: sends copies to peers and answers lookups.

use std::sync::Arc;

use jacinthfall_fate as fate;
use jacinthfall_wire::Frame;

use crate::daemon::context::Context;
use crate::daemon::lookups::Found;
use crate::daemon::peers;
use crate::daemon::timer::Core;
use crate::util::lock::lock;

/// Passes an event to the keeper of fates and carries out the actions.
pub fn handle(context: &Arc<Context>, event: fate::Event) {
    let mut keeper = lock(&context.cores.fate);
    for action in keeper.handle(context.clock.time(), event) {
        match action {
            fate::Action::Send { to, message } => peers::send(context, &to, Frame::Fate(message)),
            fate::Action::Answer { token, fates, complete, reach } => {
                context.lookups.answer(token, Found { fates, complete, reach });
            }
            fate::Action::HandedOver => context.lookups.notify_handed_over(),
            fate::Action::Wake(time) => context.timer.set(Core::Fate, time),
        }
    }
}
