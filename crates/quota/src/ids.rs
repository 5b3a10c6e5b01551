//! Typed indices into the settings, so that an index of one kind cannot be used as another.

/// Index of a budget in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BudgetId(usize);

impl BudgetId {
    /// Returns the id of the budget at `index` in the settings.
    pub const fn new(index: usize) -> BudgetId {
        BudgetId(index)
    }

    /// Returns the index in the settings.
    pub const fn index(self) -> usize {
        self.0
    }

    /// Returns the ids of the first `count` budgets, in the order of the settings.
    pub fn first(count: usize) -> impl Iterator<Item = BudgetId> {
        (0..count).map(BudgetId)
    }
}

/// Index of a replicated counter in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CounterId(usize);

impl CounterId {
    /// Returns the id of the counter at `index` in the settings.
    pub const fn new(index: usize) -> CounterId {
        CounterId(index)
    }

    /// Returns the index in the settings.
    pub const fn index(self) -> usize {
        self.0
    }

    /// Returns the ids of the first `count` counters, in the order of the settings.
    pub fn first(count: usize) -> impl Iterator<Item = CounterId> {
        (0..count).map(CounterId)
    }
}
