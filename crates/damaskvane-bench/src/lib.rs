//! Experiments and load: one sub-command each.
