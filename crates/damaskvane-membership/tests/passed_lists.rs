//! Lists that an instance gets from a neighbour: what may be concluded from them, and what may not.
//!
//! An instance that has never read the platform's list learns the other instances from a list that a neighbour
//! passes on. A fenced instance is one whose entry on the platform's list another instance marked, which revokes
//! its authority (the right to act as the owner of backend servers).

mod common;

use damaskvane_membership::{record, view};

fn fence_record(name: &str, incarnation: u64) -> record::InstanceRecord {
    record::InstanceRecord {
        fenced: true,
        ..common::record(name, incarnation)
    }
}

fn passed_list(records: &[record::InstanceRecord], source: view::ListSource) -> view::Event {
    view::Event::List {
        records: records.to_vec(),
        age: common::ms(500),
        source,
    }
}

/// Guards against a fenced instance that goes on as the owner because it read no list before its fence: the first
/// list that it sees, from a peer or the platform, shows its own entry with the mark.
#[test]
fn an_instance_whose_first_list_shows_its_own_fence_stops() {
    for source in [view::ListSource::Platform, view::ListSource::Peer] {
        let mut a = common::member("z-a-1", 1);
        let records = [fence_record("z-a-1", 1), common::record("z-a-2", 1)];
        let actions = a.handle(common::at(100), passed_list(&records, source));
        assert!(actions.contains(&view::Action::OwnFenced), "{source:?}");
        assert!(a.is_fenced(), "{source:?}");
        assert_eq!(a.authority_until(), None, "{source:?}");
    }
}

/// Guards against a restarted instance that stops because of the fence record of its previous incarnation.
#[test]
fn the_fence_of_an_earlier_incarnation_stops_no_later_one() {
    let mut a = common::member("z-a-1", 2);
    let records = [fence_record("z-a-1", 1), common::record("z-a-2", 1)];
    a.handle(common::at(100), common::list(&records));
    assert!(!a.is_fenced());
}
