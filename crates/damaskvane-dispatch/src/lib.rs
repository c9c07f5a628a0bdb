//! Slots, deadlines, retries, idempotency, quarantine and drain of requests.
