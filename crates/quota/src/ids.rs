//! Indices into the settings, with a type for each kind, so that one cannot be taken for another.

/// Index of a budget in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BudgetId(usize);

impl BudgetId {
    /// The budget at an index of the settings.
    pub const fn new(index: usize) -> BudgetId {
        BudgetId(index)
    }

    /// The index in the settings.
    pub const fn index(self) -> usize {
        self.0
    }

    /// The ids of that many budgets, in the order of the settings.
    pub fn first(count: usize) -> impl Iterator<Item = BudgetId> {
        (0..count).map(BudgetId)
    }
}

/// Index of a replicated counter in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CounterId(usize);

impl CounterId {
    /// The counter at an index of the settings.
    pub const fn new(index: usize) -> CounterId {
        CounterId(index)
    }

    /// The index in the settings.
    pub const fn index(self) -> usize {
        self.0
    }

    /// The ids of that many counters, in the order of the settings.
    pub fn first(count: usize) -> impl Iterator<Item = CounterId> {
        (0..count).map(CounterId)
    }
}
