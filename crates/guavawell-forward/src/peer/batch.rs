//! Groups what several instances are told into one message for each.

use std::net::SocketAddr;

/// What is to be sent, by address. A list that is full is followed by another one for the
/// same address.
#[derive(Debug)]
pub(crate) struct AddressBatches<T> {
    batches: Vec<(SocketAddr, Vec<T>)>,
    max_size: usize,
}

impl<T> AddressBatches<T> {
    /// Empty batches of at most `max_size` entries each.
    pub(crate) const fn new(max_size: usize) -> Self {
        Self {
            batches: Vec::new(),
            max_size,
        }
    }

    /// Adds an entry for an address.
    pub(crate) fn add(&mut self, address: SocketAddr, entry: T) {
        let max_size = self.max_size;
        let is_open = |(known, batch): &&mut (SocketAddr, Vec<T>)| {
            *known == address && batch.len() < max_size
        };
        match self.batches.iter_mut().find(is_open) {
            Some((_, batch)) => batch.push(entry),
            None => self.batches.push((address, vec![entry])),
        }
    }
}

impl<T> IntoIterator for AddressBatches<T> {
    type Item = (SocketAddr, Vec<T>);
    type IntoIter = std::vec::IntoIter<Self::Item>;

    fn into_iter(self) -> Self::IntoIter {
        self.batches.into_iter()
    }
}
