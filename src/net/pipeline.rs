//! The pipeline: the requests of one connection that were read behind another, in the order in which they came. It owns
//! their progress and their answers until their turn. It must never read or write a connection, nor choose a host.
//!
//! A request begins as soon as none that came before it could change what it does: a write and a request of the same
//! group, or two writes, go one after the other; all else is worked on at the same time.

use super::admission::IdClaim;
use super::client_connection::Abandoned;
use super::request::{ClientWatch, PendingAnswer};
use crate::GroupId;
use std::collections::VecDeque;
use std::future::{self, Future};
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};

/// What is known of a request before it begins.
#[derive(Clone, Copy)]
pub struct RequestScope {
    pub class: u8,
    pub group: GroupId,
    pub writes: bool,
}

impl RequestScope {
    /// Whether it has to wait for the end of a request that came before it.
    fn must_follow(&self, earlier: &RequestScope) -> bool {
        match (self.writes, earlier.writes) {
            (true, true) => true,
            (true, false) | (false, true) => self.group == earlier.group,
            (false, false) => false,
        }
    }
}

/// The work on a request, up to its answer; nothing if its client left before. It begins when it is first polled.
pub type ServeFuture<'a> = Pin<Box<dyn Future<Output = Option<PendingAnswer>> + 'a>>;

/// How far a request has come.
pub enum Progress<'a> {
    Unanswered { serving: ServeFuture<'a>, begun: bool },
    Answered(Option<PendingAnswer>),
}

/// A request behind another.
pub struct PipelineEntry<'a> {
    pub scope: RequestScope,
    pub claim: IdClaim<'a>,
    /// The memory of its statement.
    pub bytes: usize,
    pub progress: Progress<'a>,
}

impl PipelineEntry<'_> {
    fn is_answered(&self) -> bool {
        matches!(self.progress, Progress::Answered(_))
    }

    /// The memory that it holds: its statement until it has an answer, then that.
    fn held_bytes(&self) -> usize {
        match &self.progress {
            Progress::Answered(Some(answer)) => answer.held_bytes(),
            Progress::Answered(None) => 0,
            Progress::Unanswered { .. } => self.bytes,
        }
    }

    /// Works on it as far as it goes now, if it has begun or may begin.
    fn advance(&mut self, may_begin: bool, context: &mut Context<'_>) {
        let Progress::Unanswered { serving, begun } = &mut self.progress else { return };
        if !*begun && !may_begin {
            return;
        }
        *begun = true;
        if let Poll::Ready(answer) = serving.as_mut().poll(context) {
            self.progress = Progress::Answered(answer);
        }
    }
}

/// The requests behind the one whose turn it is.
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

    /// The memory of their statements and answers.
    pub fn held_bytes(&self) -> usize {
        self.entries.iter().map(PipelineEntry::held_bytes).sum()
    }

    /// One more, behind all others.
    pub fn push(&mut self, entry: PipelineEntry<'a>) {
        self.entries.push_back(entry);
    }

    /// The one whose turn comes next.
    pub fn pop(&mut self) -> Option<PipelineEntry<'a>> {
        let next = self.entries.pop_front();
        if self.entries.is_empty() {
            // A connection at rest keeps no memory of what it once had open.
            self.entries = VecDeque::new();
        }
        next
    }

    /// Works on all that may be worked on now; `head` is the open request whose turn it is, if there is one.
    pub fn advance(&mut self, head: Option<&RequestScope>, context: &mut Context<'_>) {
        for index in 0..self.entries.len() {
            let may_begin = self.may_begin(index, head);
            if let Some(entry) = self.entries.get_mut(index) {
                entry.advance(may_begin, context);
            }
        }
    }

    fn may_begin(&self, index: usize, head: Option<&RequestScope>) -> bool {
        let scope = &self.entries[index].scope;
        let unanswered = self.entries.range(..index).filter(|earlier| !earlier.is_answered());
        let mut earlier = head.into_iter().chain(unanswered.map(|e| &e.scope));
        !earlier.any(|earlier| scope.must_follow(earlier))
    }

    /// Does this, and meanwhile works on the requests.
    pub async fn beside<T>(&mut self, work: impl Future<Output = T>) -> T {
        if self.is_empty() {
            return work.await;
        }
        let mut work = pin!(work);
        future::poll_fn(|context| {
            if let Poll::Ready(done) = work.as_mut().poll(context) {
                return Poll::Ready(done);
            }
            self.watch.looked();
            self.advance(None, context);
            if self.watch.wants_look() {
                context.waker().wake_by_ref();
            }
            Poll::Pending
        })
        .await
    }

    /// Works on those that have begun, and begins no others: once abandoned, they end by this.
    pub fn end_begun(&mut self, context: &mut Context<'_>) {
        self.entries.iter_mut().for_each(|entry| entry.advance(false, context));
    }

    /// Nobody waits for them any more: withdraws all that have begun, and forgets the others.
    pub fn abandon(&mut self) {
        if self.is_empty() {
            return;
        }
        self.watch.abandon(Abandoned::ClientGone);
        self.end_begun(&mut Context::from_waker(Waker::noop()));
        self.entries.clear();
    }
}
