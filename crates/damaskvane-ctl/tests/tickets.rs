//! Runs the commands against the platform's stand-in.

use std::path::PathBuf;

use damaskvane_config::document::Document;
use damaskvane_core::ids::{ConfigVersion, TicketNumber};
use damaskvane_core::time::SpanMs;
use damaskvane_ctl::command::{self, SubmitReport, SubmitRequest};
use damaskvane_ctl::error::CtlError;
use damaskvane_ctl::store;
use damaskvane_objects::backoff::{Backoff, BackoffSettings};
use damaskvane_objects::http::{HttpObjectApi, PlatformSettings};
use damaskvane_standins::platform::{Faults, LocalServer};

const ZONES: &str = "[region.sask]\n[availability_zone.sask-a]\nregion = \"sask\"\n\
    [service.rider-desk]\n";

fn server(number: u16, slots: u16) -> String {
    format!(
        "[backend_server.rider-desk-sask-a-{number}]\nservice = \"rider-desk\"\n\
         availability_zone = \"sask-a\"\naddress = \"127.0.0.1:{number}\"\nslots = {slots}\n\
         connections = 330\n"
    )
}

struct Fixture {
    running: LocalServer,
    nonce: std::cell::Cell<u128>,
}

impl Fixture {
    fn new() -> Self {
        Self {
            running: LocalServer::start("secret-anna anna\nsecret-ben ben\n").expect("a free port"),
            nonce: std::cell::Cell::new(0),
        }
    }

    fn api(&self, operator: &str) -> HttpObjectApi {
        let token = format!("secret-{operator}").parse().expect("a token");
        HttpObjectApi::new(PlatformSettings {
            timeout_ms: SpanMs::new(5_000),
            calls_per_second: 2_000,
            ..PlatformSettings::new(self.running.address(), token)
        })
    }

    fn submit(
        &self,
        operator: &str,
        text: &str,
        base: Option<u64>,
    ) -> Result<SubmitReport, CtlError> {
        let document = Document::parse("t.toml", text).expect("well formed");
        self.submit_request(
            operator,
            SubmitRequest {
                base: base.map(ConfigVersion::new),
                ..SubmitRequest::of(&document)
            },
        )
    }

    fn submit_request(
        &self,
        operator: &str,
        request: SubmitRequest,
    ) -> Result<SubmitReport, CtlError> {
        self.nonce.set(self.nonce.get() + 1);
        let request = SubmitRequest {
            reason: format!("{operator}'s reason"),
            nonce: self.nonce.get(),
            ..request
        };
        let settings = BackoffSettings {
            first_ms: SpanMs::new(2),
            max_ms: SpanMs::new(5),
        };
        command::submit(&self.api(operator), request, &mut Backoff::new(settings, 7))
    }
}

#[test]
fn a_ticket_is_stored_as_accepted_with_its_author_reason_time_and_base() {
    let fixture = Fixture::new();
    let text = format!("{ZONES}{}", server(1, 6));
    assert_eq!(
        fixture
            .submit("anna", &text, None)
            .expect("accepted")
            .ticket
            .get(),
        1
    );
    let changed = server(1, 4);
    assert_eq!(
        fixture
            .submit("ben", &changed, Some(1))
            .expect("accepted")
            .ticket
            .get(),
        2
    );
    let api = fixture.api("anna");
    for (number, author, written) in [(1, "anna", &text), (2, "ben", &changed)] {
        let shown = command::show(&api, TicketNumber::new(number)).expect("shown");
        assert_eq!(shown.ticket.author, author);
        assert_eq!(shown.ticket.reason, format!("{author}'s reason"));
        assert_eq!(&shown.ticket.text, written);
        assert_eq!(shown.ticket.base_version.get(), number - 1);
    }
    let history = command::history(&api, 20).expect("read").tickets;
    let numbers: Vec<u64> = history.iter().map(|ticket| ticket.number.get()).collect();
    assert_eq!(numbers, [2, 1]);
    let missing = command::show(&api, TicketNumber::new(3));
    assert!(matches!(missing, Err(CtlError::NoTicket(_))));
}

/// Ben's files were written before Anna's ticket. Accepting them would revert Anna's change.
#[test]
fn a_conflict_names_the_object_and_the_author_and_ticket_of_the_change() {
    let fixture = Fixture::new();
    fixture
        .submit("ben", &format!("{ZONES}{}", server(1, 6)), None)
        .expect("accepted");
    fixture
        .submit("anna", &server(1, 4), None)
        .expect("accepted");
    fixture
        .submit("anna", &server(2, 4), None)
        .expect("accepted");
    let refused = fixture
        .submit("ben", &server(1, 8), Some(1))
        .expect_err("changed since");
    assert_eq!(refused.exit_code(), 4);
    let expected =
        "backend_server/rider-desk-sask-a-1 was changed by anna in ticket 2 (anna's reason)";
    assert_eq!(refused.details(), [expected]);
    let other = fixture
        .submit("ben", &server(3, 4), Some(1))
        .expect("disjoint");
    assert_eq!(other.ticket.get(), 4);
}

/// Anna deleted an object that Ben's files still declare. Accepting them would create the object again.
#[test]
fn a_deletion_since_the_base_version_is_a_conflict() {
    let fixture = Fixture::new();
    let text = format!("{ZONES}{}{}", server(1, 6), server(2, 6));
    fixture.submit("ben", &text, None).expect("accepted");
    let deletion = "delete = [\"backend_server/rider-desk-sask-a-2\"]\n";
    fixture.submit("anna", deletion, None).expect("accepted");
    let refused = fixture
        .submit("ben", &server(2, 6), Some(1))
        .expect_err("deleted since");
    assert!(
        refused.details()[0].contains("by anna in ticket 2"),
        "{refused:?}"
    );
}

/// The platform loses the response to the update of the head. The command must report the ticket as accepted, and
/// the history must contain the ticket once.
#[test]
fn a_ticket_is_accepted_once_if_the_response_is_lost() {
    let fixture = Fixture::new();
    fixture.submit("anna", ZONES, None).expect("accepted");
    for (number, faults) in [
        (
            2,
            Faults {
                drop_response_after_write: 1,
                ..Default::default()
            },
        ),
        (
            3,
            Faults {
                drop_before_write: 2,
                ..Default::default()
            },
        ),
    ] {
        let faults = Faults {
            drop_kind: "head".into(),
            ..faults
        };
        fixture.running.api().switches().set(faults);
        let report = fixture
            .submit("anna", &server(1, number), None)
            .expect("accepted");
        assert_eq!(report.ticket.get(), u64::from(number));
    }
    let history = command::history(&fixture.api("anna"), 20).expect("read");
    assert_eq!(history.tickets.len(), 3);
}

/// Eight operators submit concurrently, each a change of a different server. Every ticket must be accepted, with
/// consecutive numbers.
#[test]
fn concurrent_tickets_on_disjoint_objects_are_all_accepted_without_a_gap() {
    let fixture = Fixture::new();
    fixture.submit("anna", ZONES, None).expect("accepted");
    let api = fixture.api("anna");
    let accepted = std::thread::scope(|scope| {
        let submit = |number: u16| {
            let document = Document::parse("t", &server(number, 6)).expect("well formed");
            let request = SubmitRequest {
                reason: "race".into(),
                nonce: 100 + u128::from(number),
                ..SubmitRequest::of(&document)
            };
            let mut backoff = Backoff::new(BackoffSettings::default(), u64::from(number));
            command::submit(&api, request, &mut backoff)
        };
        let handles: Vec<_> = (1..=8)
            .map(|number| scope.spawn(move || submit(number)))
            .collect();
        let join = |handle: std::thread::ScopedJoinHandle<_>| handle.join().expect("no panic");
        handles
            .into_iter()
            .map(join)
            .collect::<Result<Vec<SubmitReport>, _>>()
    });
    let mut numbers: Vec<u64> = accepted
        .expect("all")
        .iter()
        .map(|report| report.ticket.get())
        .collect();
    numbers.sort_unstable();
    assert_eq!(numbers, [2, 3, 4, 5, 6, 7, 8, 9]);
    let state = store::read_accepted(&api)
        .expect("read")
        .state()
        .expect("valid");
    assert_eq!(state.backend_servers().len(), 8);
}

#[test]
fn drain_and_undrain_submit_tickets_that_explain_names() {
    let fixture = Fixture::new();
    fixture
        .submit(
            "anna",
            &format!("{ZONES}{}{}", server(1, 6), server(2, 6)),
            None,
        )
        .expect("accepted");
    let api = fixture.api("ben");
    let id = "rider-desk-sask-a-2".parse().expect("an id");
    let drain = |draining| {
        let accepted = store::read_accepted(&api).expect("read");
        fixture.submit_request(
            "ben",
            command::set_draining(&accepted, &id, draining).expect("there"),
        )
    };
    assert_eq!(drain(true).expect("accepted").ticket.get(), 2);
    let accepted = store::read_accepted(&api).expect("read");
    let service = "rider-desk".parse().expect("an id");
    let client = "sask-017".parse().expect("an id");
    let explained = command::explain(&accepted, service, client, None).expect("explained");
    let drained = explained
        .involved
        .iter()
        .find(|part| part.part.contains("drained"));
    assert_eq!(drained.expect("named").ticket.get(), 2);
    assert_eq!(drain(false).expect("accepted").ticket.get(), 3);
    let unknown = "nobody".parse().expect("an id");
    assert!(command::set_draining(&accepted, &unknown, true).is_err());
}

#[test]
fn a_refused_ticket_uses_no_ticket_number() {
    let fixture = Fixture::new();
    fixture
        .submit("anna", &format!("{ZONES}{}", server(1, 6)), None)
        .expect("accepted");
    let invalid = "[site.x]\navailability_zone = \"nowhere\"\n";
    assert_eq!(
        fixture
            .submit("anna", invalid, None)
            .expect_err("invalid")
            .exit_code(),
        3
    );
    let without_reason = command::submit(
        &fixture.api("anna"),
        SubmitRequest::default(),
        &mut Backoff::new(BackoffSettings::default(), 7),
    );
    assert_eq!(without_reason.expect_err("no reason").exit_code(), 2);
    assert_eq!(
        fixture
            .submit("ben", &server(2, 6), None)
            .expect("accepted")
            .ticket
            .get(),
        2
    );
}

#[test]
fn the_export_writes_every_ticket_and_rejects_a_changed_file() {
    let fixture = Fixture::new();
    fixture.submit("anna", ZONES, None).expect("accepted");
    fixture
        .submit("ben", &server(1, 6), None)
        .expect("accepted");
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("export");
    if directory.exists() {
        std::fs::remove_dir_all(&directory).expect("cleared");
    }
    let api = fixture.api("anna");
    assert_eq!(
        command::export(&api, &directory).expect("written").written,
        2
    );
    assert_eq!(
        command::export(&api, &directory).expect("written").present,
        2
    );
    let text = std::fs::read_to_string(directory.join("00000002.toml")).expect("there");
    assert_eq!(text, server(1, 6));
    std::fs::write(directory.join("00000001.json"), "{}").expect("changed");
    assert!(matches!(
        command::export(&api, &directory),
        Err(CtlError::InvalidData(_))
    ));
}

#[test]
fn diff_shows_changed_keys_and_the_base_version() {
    let fixture = Fixture::new();
    fixture
        .submit("anna", &format!("{ZONES}{}", server(1, 6)), None)
        .expect("accepted");
    let accepted = store::read_accepted(&fixture.api("anna")).expect("read");
    let text = format!("{}{}", server(1, 4), server(2, 4));
    let document = Document::parse("t", &text).expect("well formed");
    let report = command::diff(&document, &accepted).expect("compared");
    let shown = report.to_string();
    assert!(shown.starts_with("against version 1"), "{shown}");
    assert!(shown.contains("slots: 6 -> 4"), "{shown}");
    assert!(
        shown.contains("add backend_server/rider-desk-sask-a-2"),
        "{shown}"
    );
    let file = command::check(&document, Some(&accepted)).expect("valid");
    assert_eq!(file.objects, 2);
}

/// One instance does not respond. The report must name the instance and show that the version is not in effect
/// everywhere, without a long wait.
#[test]
fn status_lists_unresponsive_instances_and_versions_by_zone() {
    use damaskvane_objects::api::{ObjectApi, ObjectKey, ObjectVersion, WriteId};
    let fixture = Fixture::new();
    fixture.submit("anna", ZONES, None).expect("accepted");
    let response = |_: &rouille::Request| {
        rouille::Response::from_data("application/json", r#"{"config_version":1}"#)
    };
    let server = rouille::Server::new("127.0.0.1:0", response).expect("a free port");
    let address = server.server_addr();
    let (handle, stop) = server.stoppable();
    let api = fixture.api("anna");
    let announce = |instance: &str, operator_address: &str| {
        let value = format!(
            r#"{{"instance":"{instance}","availability_zone":"sask-a","region":"sask","incarnation":1,
            "client_address":"127.0.0.1:1","peer_address":"127.0.0.1:1","operator_address":"{operator_address}"}}"#
        );
        let key = ObjectKey::new("instance", instance);
        api.put_if(
            &key,
            ObjectVersion::ABSENT,
            value.as_bytes(),
            &WriteId::new("w"),
        );
    };
    announce("sask-a-1", &address.to_string());
    announce("sask-a-2", "127.0.0.1:1");
    let report = (0..200)
        .map(|_| {
            std::thread::sleep(std::time::Duration::from_millis(10));
            command::status(&api, SpanMs::new(3_000)).expect("read")
        })
        .find(|report| report.zones.values().any(|zone| zone.instances.len() == 2));
    let report = report.expect("both instances listed");
    let zone = report.zones.values().next().expect("one zone");
    assert_eq!(zone.versions.get(&ConfigVersion::new(1)), Some(&1));
    assert_eq!(zone.unresponsive[0].as_str(), "sask-a-2");
    assert!(!report.in_force_everywhere);
    stop.send(()).expect("running");
    handle.join().expect("no panic");
}
