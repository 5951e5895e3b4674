//! Simulates clients that send the id of another client's request, while that one is open or was answered a moment ago. The
//! processes of a proxy count as one: none of them may serve such a request. A client judges only ids that a host has
//! had, so that some process has taken the request.

use super::client::{Target, connect};
use super::host::{Fleet, read_message};
use super::world::Micros;
use crate::wire;
use futures_lite::future;
use sillfold::net::world::{self, Stream};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long an id surely stays in use after its request ended: half of the time that the proxy promises, for the way of the
/// foreign request and delays of the process.
const SURELY_IN_USE_US: Micros = 1_000_000;
/// The longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A request of a usual client, as another client may learn of it.
pub struct RecentRequest {
    /// The id of the request.
    pub id: String,
    /// Its statement, with the leading comment.
    pub text: String,
    /// The proxy to which it was sent.
    pub target: SocketAddr,
    /// When it ended for its client.
    pub ended: Option<Micros>,
}

/// The requests that are open, or ended a moment ago.
#[derive(Default)]
pub struct RecentRequests(RefCell<VecDeque<RecentRequest>>);

impl RecentRequests {
    /// Notes that a request has ended, and forgets those that ended long ago.
    fn end(&self, id: &str, now: Micros) {
        let mut requests = self.0.borrow_mut();
        requests.iter_mut().filter(|request| request.id == id).for_each(|r| r.ended = Some(now));
        requests.retain(|request| is_in_use(request, now));
    }
}

/// A usual client's request that is open. Dropping it notes that the request has ended.
pub struct OpenRequest<'f> {
    fleet: &'f Fleet,
    id: String,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.fleet.recent_requests.end(&self.id, self.fleet.world.now());
    }
}

impl Fleet {
    /// Notes that a usual client has just sent a request.
    pub fn begin_recent(&self, id: &str, text: &str, target: SocketAddr) -> OpenRequest<'_> {
        let request = RecentRequest { id: id.to_string(), text: text.to_string(), target, ended: None };
        self.recent_requests.0.borrow_mut().push_back(request);
        OpenRequest { fleet: self, id: id.to_string() }
    }
}

fn is_in_use(request: &RecentRequest, now: Micros) -> bool {
    request.ended.is_none_or(|ended| now <= ended + SURELY_IN_USE_US)
}

/// Sends the ids of others' requests to a proxy until this time.
pub async fn run_foreign_id_client(fleet: Rc<Fleet>, target: Rc<Target>, until: Micros) {
    let w = fleet.world.clone();
    while w.now() < until {
        world::after(Duration::from_millis(5 + w.draw_below(40))).await;
        // Connected first: the id is chosen in the moment in which it is sent.
        let Some(stream) = connect(target.address).await else { continue };
        let Some((id, text)) = draw_id_in_use(&fleet, &target) else { continue };
        w.trace(|| format!("another client sends {id} "));
        let served = async { send_foreign(&stream, &text).await };
        let timeout = async {
            world::after(ANSWER_TIMEOUT).await;
            false
        };
        if future::or(served, timeout).await {
            let what = format!("{id} of another client's request was served");
            let checker = &mut fleet.checker.borrow_mut();
            checker.record_broken_rule("an id has one holder", w.now(), what, &[&id]);
        }
    }
}

/// Draws a request of the target whose id is surely in use, and that a host has had.
fn draw_id_in_use(fleet: &Fleet, target: &Target) -> Option<(String, String)> {
    let now = fleet.world.now();
    let requests = fleet.recent_requests.0.borrow();
    let checker = fleet.checker.borrow();
    let in_use: Vec<&RecentRequest> = requests
        .iter()
        .filter(|request| request.target == target.address && is_in_use(request, now))
        .filter(|request| checker.has_attempt(&request.id))
        .collect();
    let drawn = in_use.get(fleet.world.draw_below(in_use.len() as u64) as usize)?;
    Some((drawn.id.clone(), drawn.text.clone()))
}

/// Sends a request, and returns whether it is answered with a value.
async fn send_foreign(stream: &Stream, text: &str) -> bool {
    if stream.write_all(&wire::message(b'Q', &[text.as_bytes(), b"\0"].concat())).await.is_err() {
        return false;
    }
    let mut received = Vec::new();
    let mut is_served = false;
    loop {
        match read_message(stream, &mut received).await {
            Ok(Some((b'D', _))) => is_served = true,
            Ok(Some((b'Z', _))) | Ok(None) | Err(_) => return is_served,
            Ok(Some(_)) => {}
        }
    }
}
