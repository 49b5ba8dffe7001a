//! A table by name that forgets the name changed longest ago once it is full.

/// A value of a name.
#[derive(Clone, Debug)]
struct NamedValue<T> {
    name: Box<str>,
    value: T,
    /// Number of the latest change, counted over all names.
    latest: u64,
}

/// Values of a bounded number of names.
#[derive(Clone, Debug)]
pub(super) struct RecentNames<T> {
    /// Sorted by name.
    values: Vec<NamedValue<T>>,
    /// Most names.
    max: usize,
    /// Changes so far.
    changes: u64,
}

impl<T> RecentNames<T> {
    /// An empty table of at most `max` names.
    pub(super) const fn new(max: usize) -> Self {
        Self {
            values: Vec::new(),
            max,
            changes: 0,
        }
    }

    /// The value of a name.
    pub(super) fn get(&self, name: &str) -> Option<&T> {
        let index = self.find(name).ok()?;
        Some(&self.values[index].value)
    }

    /// Changes the value of a name, or sets it to `first` if it has none.
    pub(super) fn change_or_insert(&mut self, name: &str, change: impl FnOnce(&mut T), first: T) {
        self.changes += 1;
        let latest = self.changes;
        if let Ok(index) = self.find(name) {
            let named = &mut self.values[index];
            change(&mut named.value);
            named.latest = latest;
            return;
        }
        if self.values.len() >= self.max {
            self.forget_oldest();
        }
        let named = NamedValue {
            name: name.into(),
            value: first,
            latest,
        };
        let index = self.find(name).unwrap_or_else(|index| index);
        self.values.insert(index, named);
    }

    /// Removes a name.
    pub(super) fn remove(&mut self, name: &str) {
        if let Ok(index) = self.find(name) {
            self.values.remove(index);
        }
    }

    fn forget_oldest(&mut self) {
        let values = self.values.iter().enumerate();
        if let Some((index, _)) = values.min_by_key(|(_, named)| named.latest) {
            self.values.remove(index);
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.values
            .binary_search_by(|named| named.name.as_ref().cmp(name))
    }
}
