//! Positions of the store's state that a node knows, and the comparisons with those that the store
//! and other nodes state. Uses neither a clock nor a socket.

use std::collections::{BTreeMap, BTreeSet};

use platform::kv::{Era, Item, Page, Position, Revision};

/// Disables a comparison of eras, so that tests can show that its absence is detected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Mutation {
    /// All comparisons are made.
    #[default]
    None,
    /// The position of an item is compared with the known one by its revision alone.
    NoEraInItems,
    /// The position of another node is compared with the own one by its revision alone.
    NoEraInProofs,
    /// Answers to lists and watches count in whatever era they were given.
    NoEraInPages,
}

/// How the era that an answer of the store states compares with the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stated {
    /// The answer is of the known era, or states none.
    Known,
    /// The answer is of a later era than `before`. It is the known one from now on.
    Later {
        /// The era known so far.
        before: Era,
    },
    /// The answer is of an earlier era and does not count.
    Earlier,
}

/// The positions that a node knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    /// Highest era that the store's answers have stated; 0 if they state none.
    era: Era,
    /// Position of the state that is in force on this node.
    position: Position,
    /// Positions of the known keys.
    known: BTreeMap<String, Position>,
    mutation: Mutation,
}

/// A list of all keys whose pages arrive one after another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Listing {
    /// Position of the first page.
    first: Option<Position>,
    seen: BTreeSet<String>,
}

impl Replica {
    /// Disables a comparison.
    #[must_use]
    pub fn with_mutation(mut self, mutation: Mutation) -> Self {
        self.mutation = mutation;
        self
    }

    /// Returns the highest era that the store has stated.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Returns the position of the state in force, which may be of an earlier era.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns whether the state in force is of the known era.
    pub fn is_listed(&self) -> bool {
        self.position.era() == self.era
    }

    /// Returns the revision of a position if the store's revisions still compare with it.
    pub fn current_revision(&self, position: Position) -> Option<Revision> {
        (position.era() == self.era).then(|| position.revision())
    }

    /// Records the era that an answer of the store states; `None` if it states none or no number.
    pub fn accept_era(&mut self, stated: Option<Era>) -> Stated {
        let before = self.era;
        match stated {
            Some(era) if era < before => Stated::Earlier,
            Some(era) if era > before => {
                self.era = era;
                Stated::Later { before }
            }
            _ => Stated::Known,
        }
    }

    /// Adds a page to a list. Returns whether its items count: those of a page of another era than
    /// the first one, or than the known one, do not.
    pub fn accept_page(&self, listing: &mut Listing, page: &Page) -> bool {
        let first = *listing.first.get_or_insert(page.position);
        listing.seen.extend(page.items.iter().map(|item| item.key.clone()));
        self.is_current(page.position)
            && (first.era() == page.position.era() || self.mutation == Mutation::NoEraInPages)
    }

    /// Records an item of a page. Returns whether it is later than the known one of its key.
    pub fn accept_item(&mut self, item: &Item) -> bool {
        let known = self.known.get(&item.key);
        if known.is_some_and(|known| !self.is_later(item.position, *known)) {
            return false;
        }
        if item.value.is_some() {
            self.known.insert(item.key.clone(), item.position);
        } else {
            self.known.remove(&item.key);
        }
        true
    }

    /// Ends a list whose pages have all arrived. Returns the removals of the known keys that it
    /// does not have.
    pub fn complete(&mut self, listing: Listing) -> Vec<Item> {
        self.position = listing.first.unwrap_or_default();
        let missing = self.known.keys().filter(|key| !listing.seen.contains(*key));
        let missing: Vec<String> = missing.cloned().collect();
        let (position, created) = (self.position, Position::default());
        let removal = |key| Item { key, value: None, position, created };
        missing.into_iter().map(removal).filter(|item| self.accept_item(item)).collect()
    }

    /// Records the position that an answer to a watch states. Returns whether its items count:
    /// those of an answer of another era than the state in force, or than the known one, do not.
    pub fn accept_changes(&mut self, page: &Page) -> bool {
        let is_valid = self.is_current(page.position) && self.is_current(self.position);
        if is_valid {
            self.position = self.position.max(page.position);
        }
        is_valid
    }

    /// Returns whether the state in force has all changes of a state that another node knows.
    pub fn includes(&self, other: Position) -> bool {
        match self.mutation {
            Mutation::NoEraInProofs => self.position.revision() >= other.revision(),
            _ => self.position.includes(other),
        }
    }

    fn is_current(&self, position: Position) -> bool {
        position.era() == self.era || self.mutation == Mutation::NoEraInPages
    }

    fn is_later(&self, position: Position, known: Position) -> bool {
        match self.mutation {
            Mutation::NoEraInItems => position.revision() > known.revision(),
            _ => position > known,
        }
    }
}
