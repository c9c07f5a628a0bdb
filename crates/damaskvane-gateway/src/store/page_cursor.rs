//! The place in a list of the store at which the next page begins.

use std::collections::BTreeSet;

use crate::adapter::NextPage;

/// The cursor of one list, which is read page by page.
///
/// The store, or a cache in front of it, may answer with a page that was read before. Such a list would never end, and its
/// pages would be requested as fast as they are answered.
#[derive(Debug, Default)]
pub(super) struct PageCursor {
    after: Option<String>,
    used: BTreeSet<String>,
}

/// What to do after a page of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PageProgress {
    /// Read the page at the cursor.
    ReadNext,
    /// The list is complete.
    Complete,
}

/// a page of the store's list leads to no page that was not read before; the list is read again after a delay
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct StuckList;

impl PageCursor {
    /// Returns the name after which the next page begins; `None` before the first page.
    pub(super) fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Moves the cursor past a page.
    ///
    /// # Errors
    ///
    /// Fails if the next page can't be requested, or was requested before.
    pub(super) fn advance(&mut self, next: NextPage) -> Result<PageProgress, StuckList> {
        match next {
            NextPage::None => Ok(PageProgress::Complete),
            NextPage::Unknown => Err(StuckList),
            NextPage::After(name) => {
                let is_new = self.used.insert(name.clone());
                self.after = Some(name);
                is_new.then_some(PageProgress::ReadNext).ok_or(StuckList)
            }
        }
    }
}
