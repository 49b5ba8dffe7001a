//! Hedged calls: earlier tries stay open while later ones are started.
//!
//! Load pattern: one organisation's callers saturate the link of a small instance,
//! and a response that takes 5 ms elsewhere takes more than a second. If each try
//! were cancelled after a timeout meant for lost responses, none would ever succeed:
//! 46 reads of the server list failed in a row, and a server that was leaving still
//! got requests 3.1 s later. With the first try kept open, its late response counts,
//! and a lost response still delays the call by no more than the timeout.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use smol::Timer;

/// One try: a future that resolves to an answer or an error.
pub type HedgedTry<'a, T, E> = Pin<Box<dyn Future<Output = Result<T, E>> + 'a>>;

/// The open tries of one call, oldest first.
pub struct HedgedTries<'a, T, E> {
    open: Vec<HedgedTry<'a, T, E>>,
    max_open: usize,
}

impl<'a, T, E> HedgedTries<'a, T, E> {
    /// Creates an empty set. With more than `max_open` tries the oldest is cancelled.
    #[must_use]
    pub const fn new(max_open: usize) -> Self {
        Self {
            open: Vec::new(),
            max_open,
        }
    }

    /// Starts one more try and waits up to `delay` for the first answer to any try,
    /// which cancels the others.
    ///
    /// Returns `None` if all tries are still open; the caller may then start the next
    /// one. An error of the newest try is returned at once while earlier ones stay
    /// open, because new tries would use the same failed path. Errors of earlier tries
    /// are ignored.
    pub async fn first_answer(
        &mut self,
        next: HedgedTry<'a, T, E>,
        delay: Duration,
    ) -> Option<Result<T, E>> {
        if self.open.len() >= self.max_open {
            drop(self.open.remove(0));
        }
        self.open.push(next);
        self.next_answer(delay).await
    }

    /// Waits up to `delay` for the first answer to any open try, without starting one
    /// more, which would only compete for the link with a response that is arriving.
    pub async fn next_answer(&mut self, delay: Duration) -> Option<Result<T, E>> {
        let mut timeout = Timer::after(delay);
        poll_fn(|context| match self.poll_open(context) {
            Poll::Ready(answer) => Poll::Ready(Some(answer)),
            Poll::Pending => Pin::new(&mut timeout).poll(context).map(|_| None),
        })
        .await
    }

    /// Polls every try; drops one that failed while later ones are open.
    fn poll_open(&mut self, context: &mut Context<'_>) -> Poll<Result<T, E>> {
        let mut index = 0;
        while index < self.open.len() {
            match self.open[index].as_mut().poll(context) {
                Poll::Pending => index += 1,
                Poll::Ready(Ok(answer)) => {
                    self.open.clear();
                    return Poll::Ready(Ok(answer));
                }
                Poll::Ready(Err(error)) => {
                    drop(self.open.remove(index));
                    if index == self.open.len() {
                        return Poll::Ready(Err(error));
                    }
                }
            }
        }
        Poll::Pending
    }
}
