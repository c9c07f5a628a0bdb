//! Logs, counters, settings files and command lines shared by the programs.
