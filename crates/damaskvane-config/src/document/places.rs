//! The locations of objects and keys in the files.
//!
//! ```
//! use damaskvane_config::{document, problem};
//!
//! let unplaced = problem::Problem::new("is wrong", "mend it");
//! assert_eq!(document::Places::default().locate(unplaced.clone()), unplaced);
//! ```

use std::collections::BTreeMap;

use crate::object::ObjectId;
use crate::problem::{Place, Problem};

/// The locations of objects and of their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Places {
    objects: BTreeMap<ObjectId, Place>,
    keys: BTreeMap<(ObjectId, String), Place>,
}

impl Places {
    pub(super) fn record_object(&mut self, object: &ObjectId, place: Place) {
        self.objects.insert(object.clone(), place);
    }

    pub(super) fn record_key(&mut self, object: &ObjectId, key: &str, place: Place) {
        self.keys.insert((object.clone(), key.to_owned()), place);
    }

    pub(super) fn extend(&mut self, other: Self) {
        self.objects.extend(other.objects);
        self.keys.extend(other.keys);
    }

    /// Adds to a problem without a location the location of the problem's key, or else of its
    /// object.
    #[must_use]
    pub fn locate(&self, problem: Problem) -> Problem {
        if problem.place.is_some() {
            return problem;
        }
        let Some(object) = problem.object.clone() else {
            return problem;
        };
        let of_key = problem
            .key
            .clone()
            .and_then(|key| self.keys.get(&(object.clone(), key)));
        let place = of_key.or_else(|| self.objects.get(&object)).cloned();
        problem.at(place)
    }
}
