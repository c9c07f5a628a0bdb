//! Results that the client returns for each fault of the platform.

use damaskvane_core::time::SpanMs;
use damaskvane_objects::api::{
    NotAppliedReason, ObjectApi, ObjectKey, ObjectVersion, ReadError, Revision, UnknownReason,
    WriteId, WriteResult,
};
use damaskvane_objects::backoff::{Backoff, BackoffSettings};
use damaskvane_objects::http::{HttpObjectApi, PlatformSettings};
use damaskvane_objects::write::{self, Outcome};
use damaskvane_standins::platform::{Faults, LocalServer};

const TOKENS: &str = "secret-anna anna\nsecret-ben ben\n";
const FIRST: WriteResult = WriteResult::Applied {
    version: ObjectVersion::new(1),
};

fn platform() -> LocalServer {
    LocalServer::start(TOKENS).expect("a free port")
}

fn client(address: &str, token: &str, timeout_ms: u64) -> HttpObjectApi {
    HttpObjectApi::new(PlatformSettings {
        timeout_ms: SpanMs::new(timeout_ms),
        calls_per_second: 1_000,
        ..PlatformSettings::new(address, token.parse().expect("a token"))
    })
}

fn anna(running: &LocalServer) -> HttpObjectApi {
    client(running.address(), "secret-anna", 5_000)
}

fn key() -> ObjectKey {
    ObjectKey::new("chunk", "x")
}

fn put(api: &HttpObjectApi, version: u64, write_id: &str) -> WriteResult {
    let if_version = ObjectVersion::new(version);
    api.put_if(&key(), if_version, b"value", &WriteId::new(write_id))
}

fn quick_backoff() -> Backoff {
    let settings = BackoffSettings {
        first_ms: SpanMs::new(2),
        max_ms: SpanMs::new(5),
    };
    Backoff::new(settings, 7)
}

/// Writes the object, which must not exist yet, with up to `tries` tries.
fn put_with_retries(api: &HttpObjectApi, id: &WriteId, tries: u32) -> Outcome {
    let mut backoff = quick_backoff();
    let absent = ObjectVersion::ABSENT;
    write::put(api, &key(), absent, b"v", id, &mut backoff, tries)
}

#[test]
fn a_write_is_applied_once_and_then_conflicts() {
    let running = platform();
    let api = anna(&running);
    assert_eq!(put(&api, 0, "w1"), FIRST);
    let current = ObjectVersion::new(1);
    assert_eq!(put(&api, 0, "w2"), WriteResult::Conflict { current });
    let object = api.get(&key()).expect("reads").expect("exists");
    assert_eq!(object.value, b"value");
    assert_eq!(object.author.as_deref(), Some("anna"));
    assert_eq!(object.write_id, Some(WriteId::new("w1")));
    let deleted = api.delete_if(&key(), current, &WriteId::new("w3"));
    assert!(
        matches!(deleted, WriteResult::Applied { .. }),
        "{deleted:?}"
    );
    assert_eq!(api.get(&key()), Ok(None));
}

#[test]
fn each_fault_of_a_write_has_its_own_result() {
    type Check = fn(&WriteResult) -> bool;
    let cases: [(Faults, Check); 5] = [
        (
            Faults {
                down: true,
                ..Default::default()
            },
            |result| *result == WriteResult::NotApplied(NotAppliedReason::Outage),
        ),
        (
            Faults {
                drop_before_write: 1,
                ..Default::default()
            },
            |result| *result == WriteResult::Unknown(UnknownReason::Status(504)),
        ),
        (
            Faults {
                drop_response_after_write: 1,
                ..Default::default()
            },
            |result| *result == WriteResult::Unknown(UnknownReason::Status(504)),
        ),
        (
            Faults {
                drop_before_write: 1,
                drop_kind: "head".into(),
                ..Default::default()
            },
            |result| *result == FIRST,
        ),
        (
            Faults {
                slow_ms: 30,
                ..Default::default()
            },
            |result| *result == FIRST,
        ),
    ];
    for (faults, is_expected) in cases {
        let running = platform();
        running.api().switches().set(faults.clone());
        let result = put(&anna(&running), 0, "w");
        assert!(is_expected(&result), "{faults:?} gave {result:?}");
    }
}

/// A caller writes a ticket under another author's name, or has no valid token. If the platform
/// accepted the write, the history would name an author who did not make the change.
#[test]
fn an_invalid_token_or_a_foreign_author_is_refused() {
    let running = platform();
    let refused = WriteResult::NotApplied(NotAppliedReason::Unauthorized);
    let unauthorized = client(running.address(), "guess", 5_000);
    assert_eq!(put(&unauthorized, 0, "w"), refused);
    assert_eq!(unauthorized.get(&key()), Err(ReadError::Unauthorized));
    let ben = client(running.address(), "secret-ben", 5_000);
    assert_eq!(ben.token_holder().as_deref(), Ok("ben"));
    let head = ObjectKey::new("head", "config");
    let as_anna = br#"{"author":"anna"}"#;
    let id = WriteId::new("w");
    assert_eq!(
        ben.put_if(&head, ObjectVersion::ABSENT, as_anna, &id),
        refused
    );
    assert_eq!(
        anna(&running).put_if(&head, ObjectVersion::ABSENT, as_anna, &id),
        FIRST
    );
}

/// The platform accepts the call and sends no response in time, so it is unknown whether the write
/// took effect. A refused connection proves that the write had no effect.
#[test]
fn a_timeout_is_unknown_and_a_refused_connection_is_not_applied() {
    let running = platform();
    running.api().switches().set(Faults {
        drop_response_after_write: 1,
        drop_hang_ms: 1_500,
        ..Default::default()
    });
    let short_timeout = client(running.address(), "secret-anna", 150);
    let result = put(&short_timeout, 0, "w");
    assert!(
        matches!(&result, WriteResult::Unknown(UnknownReason::NoResponse(_))),
        "{result:?}"
    );
    let unused_address = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.local_addr().expect("bound").to_string()
    };
    let result = put(&client(&unused_address, "secret-anna", 500), 0, "w");
    let is_expected = matches!(
        &result,
        WriteResult::NotApplied(NotAppliedReason::NoConnection(_))
    );
    assert!(is_expected, "{result:?}");
}

/// The response is lost before or after the write took effect. A retry that was a new write would
/// create a second version; without a retry, the operator would not learn whether it took effect.
#[test]
fn a_lost_response_is_resolved_by_reading_the_write_id_back() {
    let applied = Outcome::Applied(ObjectVersion::new(1));
    for faults in [
        Faults {
            drop_response_after_write: 1,
            ..Default::default()
        },
        Faults {
            drop_before_write: 2,
            ..Default::default()
        },
    ] {
        let running = platform();
        running.api().switches().set(faults);
        let api = anna(&running);
        let id = WriteId::new("mine");
        let outcome = put_with_retries(&api, &id, 5);
        assert_eq!(outcome, applied);
        let object = api.get(&key()).expect("reads").expect("exists");
        assert_eq!(object.version.get(), 1);
    }
}

/// Another write takes effect between a write and its retry. The retry must not undo the later write.
#[test]
fn a_retry_never_undoes_a_later_write() {
    let running = platform();
    let api = anna(&running);
    assert_eq!(put(&api, 0, "first"), FIRST);
    assert!(matches!(put(&api, 1, "later"), WriteResult::Applied { .. }));
    let id = WriteId::new("first");
    let outcome = put_with_retries(&api, &id, 5);
    let current = ObjectVersion::new(2);
    assert_eq!(
        outcome,
        Outcome::Conflict {
            current,
            maybe_applied: false
        }
    );
    let object = api.get(&key()).expect("reads").expect("exists");
    assert_eq!(object.write_id, Some(WriteId::new("later")));
}

#[test]
fn a_lasting_outage_ends_as_refused() {
    let running = platform();
    running.api().switches().set(Faults {
        down: true,
        ..Default::default()
    });
    let id = WriteId::new("w");
    let api = anna(&running);
    let outcome = put_with_retries(&api, &id, 3);
    assert_eq!(outcome, Outcome::Refused(NotAppliedReason::Outage));
    assert_eq!(api.counts().by_reason["outage"], 3);
}

#[test]
fn rates_and_sizes_over_the_limit_are_refused() {
    let running = platform();
    let api = anna(&running);
    let large = vec![b'x'; 1_000_001];
    let result = api.put_if(&key(), ObjectVersion::ABSENT, &large, &WriteId::new("w"));
    assert_eq!(result, WriteResult::NotApplied(NotAppliedReason::TooLarge));
    running.api().switches().set(Faults {
        calls_per_second: 1,
        ..Default::default()
    });
    let results = [put(&api, 0, "a"), put(&api, 0, "b"), put(&api, 0, "c")];
    let is_limited = |result: &WriteResult| {
        matches!(
            result,
            WriteResult::NotApplied(NotAppliedReason::RateLimited(_))
        )
    };
    assert!(results.iter().any(is_limited), "{results:?}");
}

#[test]
fn the_rate_budget_counts_each_call_and_a_watch_as_one() {
    let running = platform();
    let api = HttpObjectApi::new(PlatformSettings {
        timeout_ms: SpanMs::new(700),
        calls_per_second: 1,
        ..PlatformSettings::new(running.address(), "secret-anna".parse().expect("a token"))
    });
    assert!(api.watch("head", Revision::START, SpanMs::new(1)).is_ok());
    let exhausted = api.list("head");
    assert!(
        matches!(exhausted, Err(ReadError::BudgetExhausted(_))),
        "{exhausted:?}"
    );
    assert_eq!(api.counts().calls(), 1);
    assert_eq!(api.counts().by_reason["budget-spent"], 1);
}

#[test]
fn a_watch_returns_when_its_kind_changes_or_its_wait_ends() {
    let running = platform();
    let api = anna(&running);
    let unchanged = api
        .watch("chunk", Revision::START, SpanMs::new(30))
        .expect("a response");
    assert_eq!(unchanged.revision, Revision::START);
    let changed = std::thread::scope(|scope| {
        let watch = scope.spawn(|| api.watch("chunk", Revision::START, SpanMs::new(10_000)));
        assert_eq!(put(&api, 0, "w"), FIRST);
        watch.join().expect("no panic").expect("a response")
    });
    assert_eq!(changed.revision, Revision::new(1));
    assert_eq!(changed.objects[0].write_id, WriteId::new("w"));
}

/// The platform keeps a watch open after its wait, misses a change, reports a change twice or
/// responds late. Every watch must end, or an instance would keep an old configuration head.
#[test]
fn a_watch_ends_though_the_platform_hangs_skips_or_repeats_it() {
    let running = platform();
    let api = anna(&running);
    let short_timeout = client(running.address(), "secret-anna", 150);
    assert_eq!(put(&api, 0, "w"), FIRST);
    running.api().switches().set(Faults {
        watch_silent_ms: 1_500,
        ..Default::default()
    });
    let silent = short_timeout.watch("chunk", Revision::START, SpanMs::new(20));
    assert!(
        matches!(silent, Err(ReadError::Unavailable(_))),
        "{silent:?}"
    );
    let watch = |faults: Faults| {
        running.api().switches().set(faults);
        api.watch("chunk", Revision::START, SpanMs::new(20))
    };
    let skipped = watch(Faults {
        watch_skip: 1,
        ..Default::default()
    });
    assert_eq!(skipped.expect("a response").revision, Revision::START);
    running.api().switches().set(Faults {
        watch_repeat: 1,
        ..Default::default()
    });
    let repeated = api.watch("chunk", Revision::new(1), SpanMs::new(60_000));
    assert_eq!(repeated.expect("a response").revision, Revision::new(1));
    let late = watch(Faults {
        watch_late_ms: 20,
        ..Default::default()
    });
    assert_eq!(late.expect("a response").revision, Revision::new(1));
}

#[test]
fn a_stale_read_returns_the_previous_version() {
    let running = platform();
    let api = anna(&running);
    put(&api, 0, "a");
    put(&api, 1, "b");
    running.api().switches().set(Faults {
        stale_read: 1,
        ..Default::default()
    });
    let versions = [(); 2].map(|()| {
        api.get(&key())
            .expect("reads")
            .expect("exists")
            .version
            .get()
    });
    assert_eq!(versions, [1, 2]);
}

#[test]
fn the_list_of_instances_lags_behind_new_and_removed_records() {
    let running = platform();
    let api = anna(&running);
    let record = br#"{"instance":"z-1","availability_zone":"z","region":"r","incarnation":1,
        "client_address":"127.0.0.1:1","peer_address":"127.0.0.1:2",
        "operator_address":"127.0.0.1:3","leaving":false}"#;
    let record_key = ObjectKey::new("instance", "z-1");
    let result = api.put_if(
        &record_key,
        ObjectVersion::ABSENT,
        record,
        &WriteId::new("w"),
    );
    assert_eq!(result, FIRST);
    let listed = (0..200).find_map(|_| {
        std::thread::sleep(std::time::Duration::from_millis(10));
        api.instances().expect("a response").into_iter().next()
    });
    assert_eq!(
        listed
            .expect("listed before the tries end")
            .instance
            .as_str(),
        "z-1"
    );
    running.api().remove_instance("z-1");
    let is_removed = (0..200).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(10));
        api.instances().expect("a response").is_empty()
    });
    assert!(is_removed);
}

#[test]
fn a_token_is_never_printed() {
    let settings = PlatformSettings::new("127.0.0.1:1", "secret-anna".parse().expect("a token"));
    let api = HttpObjectApi::new(settings.clone());
    let printed = format!("{settings:?} {api:?} {:?}", api.get(&key()));
    assert!(!printed.contains("secret"), "{printed}");
}
