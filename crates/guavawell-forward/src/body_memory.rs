//! Counts requests in memory: long heads, and bodies from before they are received until
//! they are dropped. Gives up some bodies that are being received where memory is short.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use event_listener::Event;
use guavawell_core::clock::ClockSpan;
use guavawell_core::clock::ClockTime;
use guavawell_core::forward::ArrivingBody;
use guavawell_core::forward::BodyBytes;
use guavawell_core::forward::BodyEnd;
use guavawell_core::forward::BodyProgress;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::forward::bodies_to_end;
use guavawell_core::forward::bytes_to_free;

use crate::router::ForwardRouter;

/// Bytes of a head up to which it is not counted: one of many thousands of requests.
const UNCOUNTED_HEAD_BYTES: usize = 4 * 1024;
/// A head is in memory as it was received, and as it is sent to a server.
const HEAD_COPIES: usize = 2;

/// Counts the memory of a long head until it is dropped.
#[derive(Debug)]
pub struct HeadMemory {
    router: Rc<ForwardRouter>,
    bytes: usize,
}

impl HeadMemory {
    /// Counts a head that takes this many bytes, if it is long.
    ///
    /// # Errors
    ///
    /// The refusal, if the memory is taken.
    pub fn take(router: &Rc<ForwardRouter>, bytes: usize) -> Result<Option<Self>, ForwardRefusal> {
        if bytes <= UNCOUNTED_HEAD_BYTES {
            return Ok(None);
        }
        let bytes = bytes * HEAD_COPIES;
        let body = BodyBytes {
            length: bytes,
            more: bytes,
        };
        make_room(router, body)?;
        router.held_bytes.set(router.held_bytes.get() + bytes);
        Ok(Some(Self {
            router: Rc::clone(router),
            bytes,
        }))
    }
}

impl Drop for HeadMemory {
    fn drop(&mut self) {
        subtract(&self.router.held_bytes, self.bytes);
    }
}

/// Gives up bodies that are being received, if need be, so that there is memory for more.
fn make_room(router: &ForwardRouter, body: BodyBytes) -> Result<(), ForwardRefusal> {
    let taken = router.held_bytes.get() + router.expected_body_bytes.get();
    let needed = bytes_to_free(&router.settings.admission, taken, body);
    if needed > 0 && !router.arriving.free(router, needed, router.clock.now()) {
        return Err(ForwardRefusal::NoMemory);
    }
    Ok(())
}

/// What is known of a body before it is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyOutline {
    /// Its length; `None` if its head does not state it.
    pub length: Option<usize>,
    /// Time limit of its request.
    pub time_limit: ClockSpan,
}

/// The memory of a body.
#[derive(Debug)]
struct BodyState {
    /// Bytes that were received.
    held: Cell<usize>,
    /// Bytes that are reserved and have not arrived.
    expected: Cell<usize>,
    outline: BodyOutline,
    progress: Cell<BodyProgress>,
    /// Why it was given up.
    end: Cell<Option<BodyEnd>>,
    /// Notified when it is given up.
    ended: Event,
}

impl BodyState {
    fn arriving(&self) -> ArrivingBody {
        ArrivingBody {
            size: self.held.get() + self.expected.get(),
            states_length: self.outline.length.is_some(),
            time_limit: self.outline.time_limit,
            progress: self.progress.get(),
        }
    }

    /// Counts the body no longer.
    fn release(&self, router: &ForwardRouter) {
        subtract(&router.expected_body_bytes, self.expected.take());
        subtract(&router.held_bytes, self.held.take());
    }
}

fn subtract(count: &Cell<usize>, bytes: usize) {
    count.set(count.get() - bytes);
}

/// The bodies that are being received.
#[derive(Debug, Default)]
pub struct ArrivingBodies {
    bodies: RefCell<Vec<Rc<BodyState>>>,
}

impl ArrivingBodies {
    fn add(&self, state: &Rc<BodyState>) {
        self.bodies.borrow_mut().push(Rc::clone(state));
    }

    fn remove(&self, state: &Rc<BodyState>) {
        let mut bodies = self.bodies.borrow_mut();
        let place = bodies.iter().position(|other| Rc::ptr_eq(other, state));
        place.map(|place| bodies.swap_remove(place));
    }

    /// Gives up bodies so that `needed` bytes become free. Returns false if that is not
    /// possible.
    fn free(&self, router: &ForwardRouter, needed: usize, now: ClockTime) -> bool {
        let bodies = self.bodies.borrow().clone();
        let arriving: Vec<_> = bodies.iter().map(|state| state.arriving()).collect();
        let ends = bodies_to_end(&arriving, needed, now);
        for (place, end) in &ends {
            let state = &bodies[*place];
            state.release(router);
            state.end.set(Some(*end));
            state.ended.notify(usize::MAX);
            self.remove(state);
        }
        !ends.is_empty()
    }
}

/// Counts the memory of one request body: what was received of it, and what is still
/// expected.
#[derive(Debug)]
pub struct BodyMemory {
    router: Rc<ForwardRouter>,
    state: Rc<BodyState>,
}

impl BodyMemory {
    /// Reserves memory for a body of a stated length; none for one that states no length.
    ///
    /// # Errors
    ///
    /// The refusal, if the memory is taken.
    pub fn reserve(
        router: &Rc<ForwardRouter>,
        outline: BodyOutline,
    ) -> Result<Self, ForwardRefusal> {
        let state = Rc::new(BodyState {
            held: Cell::new(0),
            expected: Cell::new(0),
            outline,
            progress: Cell::new(BodyProgress::new(router.clock.now())),
            end: Cell::new(None),
            ended: Event::new(),
        });
        let memory = Self {
            router: Rc::clone(router),
            state,
        };
        memory.expect(outline.length.unwrap_or(0))?;
        router.arriving.add(&memory.state);
        Ok(memory)
    }

    /// Counts what was received so far.
    ///
    /// # Errors
    ///
    /// The refusal, if the body was given up; or it is longer than it stated, or states no
    /// length, and the memory is taken.
    pub fn note_received(&self, received: usize) -> Result<(), ForwardRefusal> {
        let (router, state) = (&self.router, &self.state);
        let arrived = received.saturating_sub(state.held.get());
        self.expect(arrived.saturating_sub(state.expected.get()))?;
        self.check()?;
        subtract(&router.expected_body_bytes, arrived);
        router.held_bytes.set(router.held_bytes.get() + arrived);
        state.expected.set(state.expected.get() - arrived);
        state.held.set(state.held.get() + arrived);
        let mut progress = state.progress.get();
        progress.note_received(received, router.clock.now());
        state.progress.set(progress);
        Ok(())
    }

    /// Waits until the body is given up, and returns the refusal.
    pub async fn given_up(&self) -> ForwardRefusal {
        loop {
            let ended = self.state.ended.listen();
            if let Err(refusal) = self.check() {
                return refusal;
            }
            ended.await;
        }
    }

    /// Takes note that the body was received completely: it is given up no more.
    pub fn complete(&self) {
        self.router.arriving.remove(&self.state);
    }

    fn check(&self) -> Result<(), ForwardRefusal> {
        match self.state.end.get() {
            None => Ok(()),
            Some(BodyEnd::TooSlow) => Err(ForwardRefusal::BodyTooSlow),
            Some(BodyEnd::Displaced) => Err(ForwardRefusal::NoMemory),
        }
    }

    /// Reserves memory for more bytes of the body.
    fn expect(&self, bytes: usize) -> Result<(), ForwardRefusal> {
        let (router, state) = (&self.router, &self.state);
        let body = BodyBytes {
            length: state.held.get() + state.expected.get() + bytes,
            more: bytes,
        };
        make_room(router, body)?;
        self.check()?;
        let all_expected = router.expected_body_bytes.get();
        router.expected_body_bytes.set(all_expected + bytes);
        state.expected.set(state.expected.get() + bytes);
        Ok(())
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.router.arriving.remove(&self.state);
        self.state.release(&self.router);
    }
}
