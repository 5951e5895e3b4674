//! The requests of one connection that were read behind another, in their order. The pipeline serves them, and keeps their
//! answers until their turn. It must never read or write a connection, nor choose a host.
//!
//! A request starts as soon as there is memory for its answer and it doesn't depend on an open one before it, which is over
//! once its whole answer has come from its host: two writes, or a write and another request of the same group, run one after the other; all others run at the same time.

use super::client_connection::AbandonReason;
use super::memory::{AnswerMemory, Reservation};
use super::request::{ClientWatch, PendingAnswer};
use super::request_ids::IdClaim;
use super::work;
use crate::GroupId;
use crate::pg;
use std::collections::VecDeque;
use std::future::{self, Future};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// What the order of a request among others depends on.
#[derive(Clone, Copy)]
pub struct RequestScope {
    pub class: u8,
    pub group: GroupId,
    pub writes: bool,
}

impl RequestScope {
    /// Whether the request has to wait for the end of an earlier one.
    fn must_follow(&self, earlier: &RequestScope) -> bool {
        match (self.writes, earlier.writes) {
            (true, true) => true,
            (true, false) | (false, true) => self.group == earlier.group,
            (false, false) => false,
        }
    }
}

/// The future that serves a request and returns its answer, or `None` if the client disconnects before. Serving starts at
/// the first poll.
pub type ServeFuture<'a> = Pin<Box<dyn Future<Output = Option<PendingAnswer>> + 'a>>;

/// The progress of a pipelined request.
pub enum Progress<'a> {
    Unanswered { serving: ServeFuture<'a>, started: bool },
    Answered(Option<PendingAnswer>),
}

/// A pipelined request.
pub struct PipelineEntry<'a> {
    pub scope: RequestScope,
    pub claim: IdClaim<'a>,
    /// The size of its statement.
    pub bytes: usize,
    pub memory: EntryMemory,
    pub progress: Progress<'a>,
}

/// The memory of a pipelined request.
pub struct EntryMemory {
    /// For the request itself, until it is answered.
    pub request: Reservation,
    /// For its answer, before the request starts and until the answer is written.
    pub answer: Rc<AnswerMemory>,
}

impl PipelineEntry<'_> {
    /// Whether nothing of the request is open any more, so that those which have to follow it may start.
    fn is_over(&self) -> bool {
        match &self.progress {
            Progress::Unanswered { .. } => false,
            Progress::Answered(answer) => answer.as_ref().is_none_or(PendingAnswer::is_over),
        }
    }

    /// The bytes of memory that the request holds: its statement, or its answer once there is one.
    fn held_bytes(&self) -> usize {
        match &self.progress {
            Progress::Answered(Some(answer)) => answer.held_bytes(),
            Progress::Answered(None) => 0,
            Progress::Unanswered { .. } => self.bytes,
        }
    }

    /// Polls the request if it has started or may start.
    fn poll(&mut self, may_start: bool, context: &mut Context<'_>) {
        let Progress::Unanswered { serving, started } = &mut self.progress else { return };
        *started = *started || may_start && self.memory.answer.reserve(pg::MAX_BUFFERED_ANSWER_BYTES);
        if !*started {
            return;
        }
        work::charge(work::REQUEST_POLL);
        if let Poll::Ready(answer) = serving.as_mut().poll(context) {
            self.memory.answer.shrink_to(answer.as_ref().map_or(0, PendingAnswer::held_bytes));
            self.memory.request.shrink_to(0);
            self.progress = Progress::Answered(answer);
        }
    }
}

/// The pipelined requests of one connection, behind the one whose turn it is.
pub struct Pipeline<'a> {
    entries: VecDeque<PipelineEntry<'a>>,
    watch: &'a ClientWatch,
}

impl<'a> Pipeline<'a> {
    pub fn new(watch: &'a ClientWatch) -> Pipeline<'a> {
        Pipeline { entries: VecDeque::new(), watch }
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The bytes of memory that the requests and their answers hold.
    pub fn held_bytes(&self) -> usize {
        self.entries.iter().map(PipelineEntry::held_bytes).sum()
    }

    /// Whether there are fewer requests than this, and they and their answers hold less than these bytes.
    pub fn has_room(&self, max_requests: usize, max_bytes: usize) -> bool {
        self.len() < max_requests && self.held_bytes() < max_bytes
    }

    /// Adds a request behind all others.
    pub fn push(&mut self, entry: PipelineEntry<'a>) {
        self.entries.push_back(entry);
    }

    /// The progress of the request whose turn comes next.
    pub fn first_progress(&self) -> Option<&Progress<'a>> {
        self.entries.front().map(|entry| &entry.progress)
    }

    /// Removes the request whose turn comes next.
    pub fn pop(&mut self) -> Option<PipelineEntry<'a>> {
        let next = self.entries.pop_front();
        if self.entries.is_empty() {
            // Frees the memory, since the connection may stay idle.
            self.entries = VecDeque::new();
        }
        next
    }

    /// Polls all requests that have started or may start now; `head` is the request whose turn it is, if it is open.
    pub fn poll(&mut self, head: Option<&RequestScope>, context: &mut Context<'_>) {
        for index in 0..self.entries.len() {
            if work::has_to_pause() {
                return;
            }
            let may_start = self.may_start(index, head);
            if let Some(entry) = self.entries.get_mut(index) {
                entry.poll(may_start, context);
            }
        }
    }

    /// Whether the request at `index` depends on no open one before it.
    fn may_start(&self, index: usize, head: Option<&RequestScope>) -> bool {
        let scope = &self.entries[index].scope;
        let open = self.entries.range(..index).filter(|earlier| !earlier.is_over());
        let mut earlier = head.into_iter().chain(open.map(|e| &e.scope));
        !earlier.any(|earlier| scope.must_follow(earlier))
    }

    /// Runs `work` to its end, and polls the requests meanwhile. `head` is the request whose turn it is, if it is still open.
    pub async fn run_alongside<T>(
        &mut self, head: Option<&RequestScope>, work: impl Future<Output = T>,
    ) -> T {
        if self.is_empty() {
            return work.await;
        }
        let mut work = pin!(work);
        future::poll_fn(|context| {
            if let Poll::Ready(done) = work.as_mut().poll(context) {
                return Poll::Ready(done);
            }
            self.watch.checked();
            self.poll(head, context);
            if self.watch.needs_check() {
                context.waker().wake_by_ref();
            }
            Poll::Pending
        })
        .await
    }

    /// Polls the requests that have started, and starts no others. Abandoned requests end with this.
    pub fn poll_started(&mut self, context: &mut Context<'_>) {
        self.entries.iter_mut().for_each(|entry| entry.poll(false, context));
    }

    /// Abandons all requests, since the connection is closing: withdraws those that have started, and drops the others.
    pub fn abandon(&mut self) {
        if self.is_empty() {
            return;
        }
        self.watch.abandon(AbandonReason::ClientDisconnected);
        self.poll_started(&mut Context::from_waker(Waker::noop()));
        self.entries.clear();
    }
}
