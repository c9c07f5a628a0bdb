//! The entry instance: answers look-ups and dispatches requests.
