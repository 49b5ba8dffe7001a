//! Tries that stay open while later ones are begun.
//!
//! Load pattern: one organisation's callers press on one small instance. Their
//! requests fill its link, and an answer that takes 5 ms elsewhere takes more
//! than a second. A try that is given up at a limit for lost answers never ends
//! well there, and nor does the next one: 46 questions for servers failed in a
//! row, and a server that left still got requests 3.1 s later. Kept open, the
//! first try is answered although it is late, and a connection on which an
//! answer was lost still costs no more than the limit.

use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use smol::Timer;

/// One try.
pub type HedgedTry<'a, T, E> = Pin<Box<dyn Future<Output = Result<T, E>> + 'a>>;

/// The tries of one question that are open, oldest first.
pub struct HedgedTries<'a, T, E> {
    open: Vec<HedgedTry<'a, T, E>>,
    max_open: usize,
}

impl<'a, T, E> HedgedTries<'a, T, E> {
    /// No tries; of more than `max_open` the oldest is given up.
    #[must_use]
    pub const fn new(max_open: usize) -> Self {
        Self {
            open: Vec::new(),
            max_open,
        }
    }

    /// Begins one more try and waits for the first answer of any, `delay` at
    /// most. The others are given up once one is answered.
    ///
    /// `None` while all are open: begin the next one. The error of the newest try
    /// is told at once, and earlier ones stay open: the way that failed is the
    /// one that is in use now.
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

    /// Waits for the first answer of any open try without beginning one more:
    /// beside an answer that is arriving it would only share the link.
    pub async fn next_answer(&mut self, delay: Duration) -> Option<Result<T, E>> {
        let mut timeout = Timer::after(delay);
        poll_fn(|context| match self.poll_open(context) {
            Poll::Ready(answer) => Poll::Ready(Some(answer)),
            Poll::Pending => Pin::new(&mut timeout).poll(context).map(|_| None),
        })
        .await
    }

    /// Polls every try; one that failed while later ones are open is dropped.
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
