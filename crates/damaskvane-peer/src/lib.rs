//! Messages between entry instances and their transport.
