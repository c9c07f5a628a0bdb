//! The [`Adapter`] trait that a platform implements, and the types of its methods.
//!
//! An adapter translates between the platform's protocols and the types of this crate. The platform's store holds
//! configuration and state as objects; a collection is the set of objects of one kind, and a revision is the number of
//! the store's last change.

use std::net;

use bytes::Bytes;
use damaskvane_core::ids;
use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_routing::{configuration, peers, pool};
use hyper::header::HeaderName;

/// Names of the platform's own HTTP headers and of its object cookie.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Header whose value identifies one attempt of a client to send a request; backend servers return the value in the
    /// response.
    pub request_id: HeaderName,
    /// Header with the milliseconds for which the sender of a request (client or entry instance) waits for the
    /// response.
    pub deadline_ms: HeaderName,
    /// Header with the id of the backend server that a request is addressed to; any other server rejects the request.
    pub expected_server: HeaderName,
    /// Header that a backend server sets on the response to a request that it did not run.
    pub not_run: HeaderName,
    /// Header that marks a response as created by a backend server.
    pub signature: HeaderName,
    /// Header with the current load of the backend server that responds.
    pub load: HeaderName,
    /// Header with the requests a second that the backend server which responds takes from all instances together.
    pub rate_limit: HeaderName,
    /// Header by which a backend server says that it leaves, with the value `1`.
    pub leaving: HeaderName,
    /// Header with the id of the backend server that responds.
    pub server_id: HeaderName,
    /// Header with the milliseconds until the warm-up of the backend server that responds ends; until then it gets few
    /// requests.
    pub warmup_remaining_ms: HeaderName,
    /// Header with the name of the team that sends a request; only instances set it.
    pub team: HeaderName,
    /// Name of the authorization scheme by which a request carries its API key.
    pub key_scheme: String,
    /// Name of the cookie that holds the object of a request, the item that the request concerns.
    pub object_cookie: String,
}

/// A client's request for the addresses of entry instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lookup {
    /// Host name of the requests that the client will send to an instance.
    pub host: String,
    /// Region of the client; `None` if the lookup doesn't name a region.
    pub region: Option<ids::RegionId>,
    /// Availability zone of the client; `None` if the lookup doesn't name a zone.
    pub zone: Option<ids::AvailabilityZoneId>,
}

/// A kind of objects in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Collection {
    /// Routes and services, as set by the operators.
    Configuration,
    /// One entry for each backend server.
    Servers,
    /// Availability zones whose backend servers must not receive requests.
    Evacuations,
    /// One record for each entry instance, written by that instance.
    Instances,
    /// Fingerprints (hashes) of requests that all instances refuse because the requests crash backend servers.
    Quarantine,
}

impl Collection {
    /// Returns the label for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Servers => "servers",
            Self::Evacuations => "evacuations",
            Self::Instances => "instances",
            Self::Quarantine => "quarantine",
        }
    }
}

/// One decoded object of the store.
#[derive(Debug)]
pub enum Record {
    /// The complete configuration.
    Configuration(Box<configuration::Configuration>),
    /// The entry of a backend server.
    Server(pool::ServerEntry),
    /// An availability zone whose backend servers must not receive requests.
    Evacuation(ids::AvailabilityZoneId),
    /// The record of an entry instance.
    Instance(peers::ListedInstance),
    /// The fingerprint of a request that all instances refuse.
    Quarantined(Fingerprint),
    /// An object that can't be decoded, with the reason.
    Unusable(String),
}

/// A change of one object in the store.
#[derive(Debug)]
pub struct Event {
    /// Name of the object within its collection.
    pub name: String,
    /// Content of the object after the change; `None` if the object was removed.
    pub record: Option<Record>,
}

/// Where the next page of a listing begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextPage {
    /// There is no next page.
    None,
    /// The next page begins after the object of this name.
    After(String),
    /// There is a next page, but no object of this page has a name after which it could begin.
    Unknown,
}

/// One page of a collection's listing.
#[derive(Debug)]
pub struct Page {
    /// Objects of this page.
    pub items: Vec<Event>,
    /// Where the next page begins.
    pub next: NextPage,
    /// Revision of the store at which the page was read.
    pub revision: u64,
}

/// The changes that a watch, a call that waits for changes of the store, returned.
#[derive(Debug)]
pub struct Changes {
    /// Changes in the order in which they were made.
    pub events: Vec<Event>,
    /// Revision from which the next watch call continues.
    pub revision: u64,
}

/// the store's response can't be decoded: {0}; check that store_address in the settings is the store's address
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct DecodeError(pub String);

/// The purpose of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StorePurpose {
    /// Lists a collection, page by page.
    List,
    /// Lists the instances of a zone; cheap, since the result may be seconds old.
    ListZone,
    /// Waits for changes of a collection.
    Watch,
    /// Reads at once the changes for which a watch is pending, to check whether it should have returned.
    WatchCheck,
    /// Checks with the cheapest call whether the store responds.
    Ping,
    /// Reads the store's current revision.
    Revision,
    /// Creates, replaces or removes an object.
    Write,
}

impl StorePurpose {
    /// Returns the label for metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::ListZone => "look",
            Self::Watch => "watch",
            Self::WatchCheck => "watch_check",
            Self::Ping => "contact",
            Self::Revision => "revision",
            Self::Write => "write",
        }
    }
}

/// An HTTP request to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRequest {
    /// Purpose of the call, for metrics.
    pub purpose: StorePurpose,
    /// HTTP method in upper case.
    pub method: &'static str,
    /// Path and query string.
    pub path: String,
    /// Request body; empty if the call has none.
    pub body: Bytes,
}

/// Translates between a platform's protocols and this crate's types.
pub trait Adapter {
    /// Returns the names of the platform's headers.
    fn headers(&self) -> &HeaderNames;

    /// Returns whether a request is the platform's readiness check of this instance.
    fn is_readiness_check(&self, method: &hyper::Method, path: &str) -> bool;

    /// Decodes a client's lookup; returns `None` for any other request.
    fn look_up(&self, method: &hyper::Method, uri: &hyper::Uri) -> Option<Lookup>;

    /// Encodes the response body of a lookup; `ttl_ms` is how long the client may use the addresses.
    fn lookup_body(&self, addresses: &[net::SocketAddr], ttl_ms: u64) -> Bytes;

    /// Builds the call that reads a page of a collection, from the first object after the name `after`.
    ///
    /// With `may_be_stale` the call costs the store less, and the result may be seconds old.
    fn list(&self, collection: Collection, after: Option<&str>, may_be_stale: bool)
    -> StoreRequest;

    /// Builds the call that waits at most `wait_ms` for changes of a collection after a revision.
    fn watch(&self, collection: Collection, revision: u64, wait_ms: u64) -> StoreRequest;

    /// Builds the cheap call that lists instances, starting at the first instance of a zone or after the name `after`.
    ///
    /// The result may be seconds old.
    fn list_zone(&self, zone: &ids::AvailabilityZoneId, after: Option<&str>) -> StoreRequest;

    /// Builds the cheapest call that checks whether the store responds.
    fn ping(&self, record: &peers::ListedInstance) -> StoreRequest;

    /// Builds the call that reads the store's current revision, which may not be stale, as a page of the configuration
    /// without objects.
    fn revision_check(&self) -> StoreRequest;

    /// Replaces the API keys in a response of the store by their digests. Other bodies are returned unchanged.
    ///
    /// Every response is passed through this method before it is decoded, stored or sent to another instance.
    ///
    /// # Errors
    ///
    /// Fails if the body can't be decoded.
    fn digest_keys(&self, collection: Collection, body: Bytes) -> Result<Bytes, DecodeError>;

    /// Builds the calls that write an instance's record: the first call creates the record, the second replaces an
    /// existing record.
    fn register(&self, record: &peers::ListedInstance) -> [StoreRequest; 2];

    /// Builds the call that stores a quarantine record, because of which all instances refuse a request.
    ///
    /// The store responds with a conflict if the record exists already.
    fn record_quarantine(&self, fingerprint: &Fingerprint) -> StoreRequest;

    /// Builds the call that removes a quarantine record.
    fn remove_quarantine(&self, fingerprint: &Fingerprint) -> StoreRequest;

    /// Decodes one page of a listing.
    ///
    /// # Errors
    ///
    /// Fails if the body as a whole can't be decoded; a single object that can't be decoded is returned as
    /// [`Record::Unusable`].
    fn page(&self, collection: Collection, body: &[u8]) -> Result<Page, DecodeError>;

    /// Decodes the response to a watch call.
    ///
    /// # Errors
    ///
    /// As [`Adapter::page`].
    fn changes(&self, collection: Collection, body: &[u8]) -> Result<Changes, DecodeError>;
}
