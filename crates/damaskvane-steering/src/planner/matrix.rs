//! Square matrix of values by source zone index and destination zone index.

#[derive(Debug, Clone)]
pub(super) struct Matrix<T> {
    zones: usize,
    cells: Vec<T>,
}

impl<T: Copy + Default> Matrix<T> {
    pub(super) fn new(zones: usize) -> Self {
        Self {
            zones,
            cells: vec![T::default(); zones * zones],
        }
    }

    pub(super) fn at(&self, source: usize, destination: usize) -> T {
        self.cells[source * self.zones + destination]
    }

    pub(super) fn at_mut(&mut self, source: usize, destination: usize) -> &mut T {
        &mut self.cells[source * self.zones + destination]
    }

    /// Returns the values of all sources for one destination.
    pub(super) fn to(&self, destination: usize) -> impl Iterator<Item = T> + '_ {
        (0..self.zones).map(move |source| self.at(source, destination))
    }

    /// Returns the values of one source for all destinations.
    pub(super) fn from(&self, source: usize) -> &[T] {
        &self.cells[source * self.zones..(source + 1) * self.zones]
    }
}
