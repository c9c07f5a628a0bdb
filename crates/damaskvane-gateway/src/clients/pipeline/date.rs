//! The value of the `Date` header, formatted once a second.

use std::cell::RefCell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::header::HeaderValue;

thread_local! {
    /// The second and its text.
    static LAST: RefCell<(u64, HeaderValue)> =
        const { RefCell::new((0, HeaderValue::from_static(""))) };
}

/// Returns the present time as text.
pub(super) fn now() -> HeaderValue {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let second = since_epoch.unwrap_or_default().as_secs();
    LAST.with_borrow_mut(|(last, text)| {
        if *last != second {
            let time = httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs(second));
            if let Ok(value) = HeaderValue::from_str(&time) {
                (*last, *text) = (second, value);
            }
        }
        text.clone()
    })
}
