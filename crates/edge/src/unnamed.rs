//! Entries of targets whose service the configuration does not name. They name no target to use, but
//! a later configuration may name their service.

use std::collections::HashMap;

use platform::kv::Item;

/// Entries that are held back until a configuration names their service, by key.
#[derive(Default)]
pub(crate) struct Unnamed(HashMap<String, Item>);

impl Unnamed {
    /// Holds an entry back.
    pub(crate) fn insert(&mut self, item: Item) {
        self.0.insert(item.key.clone(), item);
    }

    /// Forgets the entry of a key, which was removed or names a known service.
    pub(crate) fn remove(&mut self, key: &str) {
        self.0.remove(key);
    }

    /// Takes all entries, because the configuration has changed.
    pub(crate) fn take_all(&mut self) -> Vec<Item> {
        std::mem::take(&mut self.0).into_values().collect()
    }
}
