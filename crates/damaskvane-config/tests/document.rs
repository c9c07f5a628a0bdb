//! Reports of errors in declarations, each with its place and its remedy.

mod support;

use damaskvane_config::chunk::Chunk;
use damaskvane_config::declaration::Declaration;
use damaskvane_config::document::Document;
use damaskvane_config::manifest::Head;
use damaskvane_config::object::ObjectKind;
use damaskvane_config::state;
use proptest::prelude::proptest;
use support::{ZONES, draft};

fn problems(text: &str) -> Vec<String> {
    let document = match Document::parse("a.toml", text) {
        Ok(document) => document,
        Err(problems) => return problems.iter().map(ToString::to_string).collect(),
    };
    let draft = draft(&Head::default(), text, "w");
    let head = draft
        .ticket_after(&Head::default())
        .head_after(&Head::default());
    let chunks = draft.object_chunks().into_values();
    let chunks = chunks.map(|chunk: Chunk| (chunk.hash(), chunk)).collect();
    match state::assemble(&head, &chunks) {
        Ok(_) => Vec::new(),
        Err(problems) => document
            .locate(problems)
            .iter()
            .map(ToString::to_string)
            .collect(),
    }
}

fn server(name: &str, port: u16, extra: &str) -> String {
    format!(
        "[backend_server.{name}]\nservice = \"rider-desk\"\navailability_zone = \"sask-a\"\n\
         address = \"127.0.0.1:{port}\"\nslots = 6\nconnections = 330\n{extra}"
    )
}

#[test]
fn each_error_names_its_place_and_remedy() {
    let shift = "[shift.s]\nservice = \"rider-desk\"\nfrom = \"sask-a\"\nto = \"mb-a\"\n\
        permille = 500\ncap_permille_per_window = 50\nwindow_ms = 1000\n";
    let cases = [
        (
            "[servce.x]\n",
            "a.toml:1:2: servce: is no kind of object; write \"service\"",
        ),
        (
            "[service.x]\nqueue_limt = 4\n",
            "a.toml:2:1: service/x: queue_limt: is no key of this kind; write \"queue_limit\"",
        ),
        (
            "[service.x]\nqueue_limit = \"many\"\n",
            "a.toml:2:15: service/x: queue_limit: ",
        ),
        (
            "[service.x]\nqueue_limit = -1\n",
            "a.toml:2:15: service/x: queue_limit: ",
        ),
        (
            "[availability_zone.z]\n",
            "availability_zone/z: region: is missing; add region",
        ),
        ("[service.\"Rider Desk\"]\n", "rename it"),
        ("[service.x\n", "a.toml:1:"),
        ("delete = [\"nothing\"]\n", "write kind/name"),
        (
            "[availability_zone.z]\nregion = \"q\"\n",
            "a.toml:2:1: availability_zone/z: region: there is no region \"q\"; declare [region.q]",
        ),
        ("[service.x]\nrequest_timeout_ms = 0\n", "use 1 to"),
        (
            "[service.x]\nretry_budget_permille = 1001\n",
            "use 0 to 1000",
        ),
        (
            "[service.x]\nrequest_timeout_ms = 900000\n",
            "raise it, or a key is forgotten while its request runs",
        ),
    ];
    for (text, expected) in cases {
        let found = problems(text);
        let is_reported = found.iter().any(|problem| problem.contains(expected));
        assert!(
            is_reported,
            "{text:?} gave {found:#?} instead of {expected:?}"
        );
    }
    let with_zones = [
        (server("a", 1, "") + &server("b", 1, ""), "is the address of a too"),
        (server("a", 1, "draining = true\n"), "all of its backend servers are draining"),
        (server("a", 1, "").replace("330", "5"), "fewer than its slots"),
        (server("a", 1, "") + shift, "above its cap of 50; lengthen ramp_ms"),
        (server("a", 1, "") + &shift.replace("50\n", "500\n"), "mb-a has no undrained backend server"),
        ("[link.l]\nfrom = \"mb\"\nto = \"mb\"\ncapacity_mbps = 1\n".into(), "name two regions"),
        ("[client_blocks.a]\nnear = \"mb-a\"\nnames = [\"x\"]\n[client_blocks.b]\nnear = \"mb-a\"\nnames = [\"x\"]\n".into(), "client block x is in a too"),
    ];
    for (text, expected) in with_zones {
        let found = problems(&format!("{ZONES}{text}"));
        let is_reported = found.iter().any(|problem| problem.contains(expected));
        assert!(
            is_reported,
            "{text:?} gave {found:#?} instead of {expected:?}"
        );
    }
}

#[test]
fn a_peak_above_the_slots_and_a_shift_above_the_link_are_reported() {
    let busy = ZONES.replace(
        "[service.rider-desk]\n",
        "[service.rider-desk]\npeak_requests_per_second = 200\ntypical_answer_bytes = 100000\n",
    );
    let found = problems(&format!("{busy}{}", server("a", 1, "")));
    assert!(
        found[0].contains("needs 10 slots at its peak and has 6 undrained"),
        "{found:?}"
    );
    let in_mb = server("b", 2, "").replace("sask-a", "mb-a");
    let more = "[link.back]\nfrom = \"mb\"\nto = \"sask\"\ncapacity_mbps = 40\n\
        [shift.s]\nservice = \"rider-desk\"\nfrom = \"sask-a\"\nto = \"mb-a\"\npermille = 1000\n\
        cap_permille_per_window = 1000\nwindow_ms = 1000\n";
    let text = format!("{busy}{}{in_mb}{more}", server("a", 1, ""));
    let found = problems(&text);
    assert!(
        found[0].contains("shifts put 80 Mbit/s on it at peak"),
        "{found:?}"
    );
    assert!(problems(&text.replace("= 40\n", "= 80\n")).is_empty());
}

#[test]
fn a_client_block_in_two_sets_is_reported_for_names_and_ranges() {
    let set =
        |name: &str, blocks: &str| format!("[client_blocks.{name}]\nnear = \"mb-a\"\n{blocks}\n");
    let range = |first: u32, last: u32| {
        format!("ranges = [{{ prefix = \"b-\", first = {first}, last = {last}, digits = 3 }}]")
    };
    let cases = [
        (range(0, 9), range(10, 19), None),
        (range(0, 9), range(9, 19), Some("b-009 is in x too")),
        (
            range(0, 99),
            "names = [\"b-042\"]".into(),
            Some("b-042 is in x too"),
        ),
        (
            range(0, 99),
            "names = [\"b-42\", \"b-0042\", \"c-042\"]".into(),
            None,
        ),
        (
            "names = [\"p\", \"q\"]".into(),
            "names = [\"r\", \"q\"]".into(),
            Some("q is in x too"),
        ),
    ];
    for (left, right, expected) in cases {
        let found = problems(&format!("{ZONES}{}{}", set("x", &left), set("y", &right)));
        match expected {
            None => assert!(found.is_empty(), "{left} {right}: {found:?}"),
            Some(text) => assert!(found[0].contains(text), "{left} {right}: {found:?}"),
        }
    }
}

/// Comparing millions of blocks pairwise would delay every change of the configuration by hours.
#[test]
fn many_blocks_are_checked_without_pairwise_comparison() {
    let sets: String = (0..4)
        .map(|set| {
            let names: Vec<String> = (0..20_000)
                .map(|number| format!("\"s{set}-{number}\""))
                .collect();
            format!(
                "[client_blocks.s{set}]\nnear = \"mb-a\"\nnames = [{}]\n",
                names.join(",")
            )
        })
        .collect();
    assert!(problems(&format!("{ZONES}{sets}")).is_empty());
}

#[test]
fn all_errors_of_a_file_are_reported_at_once() {
    let text = "[service.x]\nqueue_limt = 4\nrequest_timeout_ms = \"fast\"\nlookup_ttl_ms = []\n\
        [backend_server.y]\nservice = \"x\"\naddress = \"nowhere\"\n";
    let found = problems(text);
    for place in ["a.toml:2:1", "a.toml:3:22", "a.toml:4:17", "a.toml:7:11"] {
        assert!(
            found.iter().any(|problem| problem.starts_with(place)),
            "{place}: {found:#?}"
        );
    }
    assert_eq!(
        found
            .iter()
            .filter(|problem| problem.contains("is missing"))
            .count(),
        3
    );
}

#[test]
fn the_valid_keys_of_every_kind_match_its_encoding() {
    let text = format!(
        "{ZONES}{}[site.s]\navailability_zone = \"mb-a\"\n\
         [link.l]\nfrom = \"mb\"\nto = \"sask\"\ncapacity_mbps = 1\n\
         [client_blocks.c]\nnear = \"mb-a\"\nnames = [\"x\"]\n\
         [shift.s]\nservice = \"rider-desk\"\nfrom = \"mb-a\"\nto = \"sask-a\"\npermille = 1\n\
         cap_permille_per_window = 1\nwindow_ms = 1000\n",
        server("a", 1, "")
    );
    let document = Document::parse("a.toml", &text).expect("valid document");
    let mut kinds = Vec::new();
    for (object, state) in document.changes() {
        let json = serde_json::to_value(state).expect("encodable declaration");
        let mut keys: Vec<&str> = json
            .as_object()
            .expect("JSON object")
            .keys()
            .map(String::as_str)
            .collect();
        keys.retain(|key| *key != "kind");
        keys.sort_unstable();
        let mut valid = Declaration::keys(object.kind()).to_vec();
        valid.sort_unstable();
        assert_eq!(keys, valid, "{object}");
        kinds.push(object.kind());
    }
    kinds.dedup();
    assert_eq!(kinds, ObjectKind::ALL);
}

/// During an upgrade, an instance with a newer program stores a chunk (the stored state of one
/// declared object) with a key that older programs do not know. An older instance that rejected the
/// chunk would keep the old configuration until its own upgrade, so the new configuration would not
/// be active on all instances.
#[test]
fn an_unknown_key_of_a_newer_program_is_ignored_in_a_chunk() {
    let newer = br#"{"name":"x","kind":"region","description":"","colour":"red"}"#.as_slice();
    let (object, _) = Chunk::from_bytes(newer)
        .decode()
        .expect("chunk of a known kind");
    assert_eq!(object.to_string(), "region/x");
}

proptest! {
    #[test]
    fn parsing_arbitrary_text_never_panics(text: String, keyed in "\\[(service|shift|delete)\\.[a-z]\\]\n[a-z_]{1,12} = .{0,9}") {
        let _ = Document::parse("a.toml", &text);
        let _ = Document::parse("a.toml", &keyed);
    }
}
