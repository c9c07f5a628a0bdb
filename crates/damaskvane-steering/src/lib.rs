//! Which entry instances a client is told to use, and how much traffic may move.
