//! Reads one TOML file and collects all problems in it.

use core::ops;

use serde::Deserialize;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::declaration::{
    AvailabilityZone, BackendServer, ClientBlocks, Declaration, Link, Region, Service, Shift, Site,
};
use crate::document::{Document, nearest};
use crate::object::{ObjectId, ObjectKind, ObjectName};
use crate::problem::{Place, Problem};

/// The key that lists the objects to be deleted.
const DELETE: &str = "delete";

pub(super) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    document: Document,
    problems: Vec<Problem>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(file: &'a str, text: &'a str) -> Self {
        let document = Document {
            text: text.to_owned(),
            ..Document::default()
        };
        Self {
            file,
            text,
            document,
            problems: Vec::new(),
        }
    }

    pub(super) fn read(mut self) -> Result<Document, Vec<Problem>> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let place = error.span().map(|span| self.place(&span));
            let problem = Problem::new(error.message(), "correct the TOML syntax");
            self.problems.push(problem.at(place));
        }
        if self.problems.is_empty() {
            for (key, value) in table.into_inner() {
                self.read_kind(key.get_ref().as_ref(), &key.span(), value);
            }
        }
        if self.problems.is_empty() {
            Ok(self.document)
        } else {
            Err(self.problems)
        }
    }

    fn read_kind(&mut self, key: &str, span: &ops::Range<usize>, value: Spanned<DeValue<'_>>) {
        if key == DELETE {
            self.read_deletions(&value);
            return;
        }
        let Ok(kind) = key.parse::<ObjectKind>() else {
            let kinds = ObjectKind::ALL.into_iter().map(ObjectKind::as_str);
            let remedy = suggest(key, kinds, "a kind of object");
            self.report(span, Problem::new("is no kind of object", remedy).key(key));
            return;
        };
        let DeValue::Table(objects) = value.into_inner() else {
            let remedy = format!("write [{kind}.name] with its keys below");
            self.report(
                span,
                Problem::new("is not a table of objects", remedy).key(key),
            );
            return;
        };
        for (name, body) in objects {
            self.read_object(kind, name.get_ref().as_ref(), &name.span(), body);
        }
    }

    fn read_object(
        &mut self,
        kind: ObjectKind,
        name: &str,
        span: &ops::Range<usize>,
        body: Spanned<DeValue<'_>>,
    ) {
        let name = match name.parse::<ObjectName>() {
            Ok(name) => name,
            Err(error) => {
                let problem = Problem::new(error.to_string(), "rename it").key(kind.as_str());
                self.report(span, problem);
                return;
            }
        };
        let object = ObjectId::new(kind, name);
        self.document
            .places
            .record_object(&object, self.place(span));
        let body_span = body.span();
        let DeValue::Table(keys) = body.into_inner() else {
            let remedy = format!("write [{kind}.{}] with its keys below", object.name());
            self.report(span, Problem::new("is not a table", remedy).of(&object));
            return;
        };
        let problems_before = self.problems.len();
        self.check_keys(&object, span, &keys);
        self.decode(&object, keys, &body_span, problems_before);
    }

    fn check_keys(&mut self, object: &ObjectId, span: &ops::Range<usize>, keys: &DeTable<'_>) {
        let valid = Declaration::keys(object.kind());
        for key in keys.keys() {
            let text: &str = key.get_ref().as_ref();
            let place = self.place(&key.span());
            self.document.places.record_key(object, text, place);
            if !valid.contains(&text) {
                let remedy = suggest(text, valid.iter().copied(), "a key");
                let problem = Problem::new("is no key of this kind", remedy);
                self.report(&key.span(), problem.of(object).key(text));
            }
        }
        for required in Declaration::required_keys(object.kind()) {
            if !keys.contains_key(*required) {
                let remedy = format!("add {required} = ...");
                let problem = Problem::new("is missing", remedy);
                self.report(span, problem.of(object).key(*required));
            }
        }
    }

    /// Decodes the table of an object.
    ///
    /// After an error the faulty key is dropped and the rest decoded again, to report further
    /// errors.
    fn decode(
        &mut self,
        object: &ObjectId,
        keys: DeTable<'_>,
        span: &ops::Range<usize>,
        problems_before: usize,
    ) {
        let mut keys = keys;
        loop {
            let value = Spanned::new(span.clone(), DeValue::Table(keys.clone()));
            let error = match declaration(object.kind(), value) {
                Ok(declaration) => {
                    if self.problems.len() == problems_before {
                        let changes = &mut self.document.changes;
                        changes.insert(object.clone(), Some(declaration));
                    }
                    return;
                }
                Err(error) => error,
            };
            let at = error.span().unwrap_or_else(|| span.clone());
            let Some(key) = key_at(&keys, &at) else {
                if self.problems.len() == problems_before {
                    let problem = Problem::new(error.message(), "correct the declaration");
                    self.report(&at, problem.of(object));
                }
                return;
            };
            let remedy = "correct the value; docs/operations/configuration.md lists each key";
            let problem = Problem::new(error.message(), remedy);
            self.report(&at, problem.of(object).key(key.clone()));
            keys.remove(key.as_str());
        }
    }

    fn read_deletions(&mut self, value: &Spanned<DeValue<'_>>) {
        const REMEDY: &str = "write delete = [\"kind/name\", ...]";
        let DeValue::Array(entries) = value.get_ref() else {
            let problem = Problem::new("is not a list", REMEDY);
            self.report(&value.span(), problem.key(DELETE));
            return;
        };
        for entry in entries {
            let text = entry.get_ref().as_str().unwrap_or_default();
            match text.parse::<ObjectId>() {
                Ok(object) => {
                    let place = self.place(&entry.span());
                    self.document.places.record_object(&object, place);
                    self.delete(&object, &entry.span());
                }
                Err(error) => {
                    let problem = Problem::new(error.to_string(), REMEDY);
                    self.report(&entry.span(), problem.key(DELETE));
                }
            }
        }
    }

    fn delete(&mut self, object: &ObjectId, span: &ops::Range<usize>) {
        if self.document.changes.insert(object.clone(), None).is_some() {
            let problem = Problem::new("is named twice", "declare it or delete it, once");
            self.report(span, problem.of(object));
        }
    }

    fn report(&mut self, span: &ops::Range<usize>, problem: Problem) {
        let place = self.place(span);
        self.problems.push(problem.at(Some(place)));
    }

    fn place(&self, span: &ops::Range<usize>) -> Place {
        let before = self.text.get(..span.start).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        Place {
            file: self.file.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

fn declaration(
    kind: ObjectKind,
    value: Spanned<DeValue<'_>>,
) -> Result<Declaration, toml::de::Error> {
    let value = ValueDeserializer::from(value);
    Ok(match kind {
        ObjectKind::Region => Declaration::Region(Region::deserialize(value)?),
        ObjectKind::AvailabilityZone => {
            Declaration::AvailabilityZone(AvailabilityZone::deserialize(value)?)
        }
        ObjectKind::Service => Declaration::Service(Service::deserialize(value)?),
        ObjectKind::BackendServer => Declaration::BackendServer(BackendServer::deserialize(value)?),
        ObjectKind::Link => Declaration::Link(Link::deserialize(value)?),
        ObjectKind::ClientBlocks => Declaration::ClientBlocks(ClientBlocks::deserialize(value)?),
        ObjectKind::Site => Declaration::Site(Site::deserialize(value)?),
        ObjectKind::Shift => Declaration::Shift(Shift::deserialize(value)?),
    })
}

fn key_at(keys: &DeTable<'_>, at: &ops::Range<usize>) -> Option<String> {
    keys.iter()
        .find(|(_, value)| value.span().start <= at.start && at.end <= value.span().end)
        .map(|(key, _)| key.get_ref().to_string())
}

fn suggest<'a>(
    given: &str,
    valid: impl IntoIterator<Item = &'a str> + Clone,
    what: &str,
) -> String {
    match nearest(given, valid.clone()) {
        Some(name) => format!("write {name:?}, the nearest valid name"),
        None => {
            let names: Vec<&str> = valid.into_iter().collect();
            format!("use {what} out of {}", names.join(", "))
        }
    }
}
