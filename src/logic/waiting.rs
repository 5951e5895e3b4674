//! Requests that wait because no host can take them now: in which order they are looked at again, and how many
//! at once. The cost of one event is bounded, however many requests wait.
//!
//! Only `dispatch` in `lifecycle.rs` decides what becomes of a request.

use super::*;

/// When an attempt ends, at most this many of the first waiting requests are looked at, and as many of the
/// newest. The others are looked at with the next tick.
const MAX_RELEASED_PER_END: usize = 8;
/// In one pass, no more requests of a class are looked at once this many could not be sent.
const MAX_HELD_AGAIN_PER_CLASS: usize = 16;

/// What the order of a waiting request depends on.
struct HeldRequest {
    id: RequestId,
    class: usize,
    pipelined: bool,
    worth_per_us: f64,
    arrived: Micros,
    /// Until when it may be sent; then it is concluded.
    last_start: Micros,
}

impl Router {
    /// Holds a request until a host can take it. A new one that comes behind no other of its connection goes to the front,
    /// so that it is looked at when the next attempt ends.
    pub(super) fn hold(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_new = !std::mem::replace(&mut request.held, true);
        let goes_first = is_new && !request.pipelined;
        let group = self.groups.entry(request.group).or_default();
        let class = &self.settings.classes[request.class];
        if goes_first {
            group.held.insert(0, id);
        } else {
            group.held.push(id);
        }
        group.bounded_held_at = class.bound().map_or(group.bounded_held_at, |_| self.now);
    }

    /// Dispatches all held requests of a group, as far as their classes can be sent. Each is sent, held again,
    /// or concluded if no attempt can serve it any more.
    pub(super) fn release_held(&mut self, group_id: GroupId) {
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        let held = std::mem::take(&mut group.held);
        self.release(group_id, held);
    }

    /// Dispatches those held requests of a group that come first in the order of the last tick, and the newest
    /// ones.
    pub(super) fn release_some_held(&mut self, group_id: GroupId) {
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        if group.held.len() <= 2 * MAX_RELEASED_PER_END {
            return self.release_held(group_id);
        }
        let mut rest = std::mem::take(&mut group.held);
        let mut looked_at = rest.split_off(rest.len() - MAX_RELEASED_PER_END);
        looked_at.extend(rest.drain(..MAX_RELEASED_PER_END));
        self.release(group_id, looked_at);
        if let Some(group) = self.groups.get_mut(&group_id) {
            group.held.append(&mut rest);
        }
    }

    /// Dispatches these requests of a group. Those that cannot be sent now are held again, in their order.
    fn release(&mut self, group_id: GroupId, ids: Vec<RequestId>) {
        let mut held_again = vec![0; self.classes.len()];
        for request in self.in_order(ids) {
            let may_be_sent = held_again[request.class] < MAX_HELD_AGAIN_PER_CLASS;
            if may_be_sent || request.last_start <= self.now {
                self.dispatch(request.id);
                let is_held = self.requests.get(&request.id).is_some_and(|request| request.held);
                held_again[request.class] += usize::from(is_held);
            } else if let Some(group) = self.groups.get_mut(&group_id) {
                group.held.push(request.id);
            }
        }
    }

    /// The open ones of these requests, in the order in which they are to be sent: those behind another one of
    /// their own connection last, so that a client with many requests waits behind itself. Then the highest
    /// worth per microsecond of work first, then the newest: the oldest have too little time left to be served.
    fn in_order(&self, ids: Vec<RequestId>) -> Vec<HeldRequest> {
        let held = |id: RequestId| {
            let request = self.requests.get(&id).filter(|request| !request.closed)?;
            Some(HeldRequest {
                id,
                class: request.class,
                pipelined: request.pipelined,
                worth_per_us: request.worth(&self.settings) / self.usual_duration(request),
                arrived: request.arrived,
                last_start: self.last_start(request),
            })
        };
        let mut held: Vec<HeldRequest> = ids.into_iter().filter_map(held).collect();
        held.sort_by(|a, b| {
            let by_worth = b.worth_per_us.total_cmp(&a.worth_per_us);
            a.pipelined.cmp(&b.pipelined).then(by_worth).then(b.arrived.cmp(&a.arrived))
        });
        held
    }
}
