//! Counts request bodies in memory, from before they are received until they are dropped.

use std::rc::Rc;

use guavawell_core::forward::BodyBytes;
use guavawell_core::forward::ForwardRefusal;
use guavawell_core::forward::admit_body;

use crate::router::ForwardRouter;

/// The memory of one request body: what was received of it, and what is still expected.
#[derive(Debug)]
pub struct BodyMemory {
    router: Rc<ForwardRouter>,
    held: usize,
    expected: usize,
}

impl BodyMemory {
    /// Reserves memory for a body of a stated length; none for one that states no length.
    ///
    /// # Errors
    ///
    /// The refusal, if the memory is taken.
    pub fn reserve(router: &Rc<ForwardRouter>, length: usize) -> Result<Self, ForwardRefusal> {
        let mut memory = Self {
            router: Rc::clone(router),
            held: 0,
            expected: 0,
        };
        memory.expect(length)?;
        Ok(memory)
    }

    /// Counts what was received so far.
    ///
    /// # Errors
    ///
    /// The refusal, if the body is longer than it stated, or states no length, and the
    /// memory is taken.
    pub fn note_received(&mut self, received: usize) -> Result<(), ForwardRefusal> {
        let arrived = received.saturating_sub(self.held);
        let unexpected = arrived.saturating_sub(self.expected);
        self.expect(unexpected)?;
        let router = &self.router;
        let left = router.expected_body_bytes.get() - arrived;
        router.expected_body_bytes.set(left);
        router.held_bytes.set(router.held_bytes.get() + arrived);
        self.expected -= arrived;
        self.held += arrived;
        Ok(())
    }

    /// Reserves memory for more bytes of the body.
    fn expect(&mut self, bytes: usize) -> Result<(), ForwardRefusal> {
        let router = &self.router;
        let body = BodyBytes {
            length: self.held + self.expected + bytes,
            more: bytes,
        };
        let all_expected = router.expected_body_bytes.get();
        let taken = router.held_bytes.get() + all_expected;
        admit_body(&router.settings.admission, taken, body)?;
        router.expected_body_bytes.set(all_expected + bytes);
        self.expected += bytes;
        Ok(())
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let router = &self.router;
        let expected = router.expected_body_bytes.get() - self.expected;
        router.expected_body_bytes.set(expected);
        router.held_bytes.set(router.held_bytes.get() - self.held);
    }
}
