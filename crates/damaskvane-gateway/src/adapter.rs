//! The port that a platform's adapter implements, and the typed messages that cross it.

use std::net;

use bytes::Bytes;
use damaskvane_core::ids;
use damaskvane_dispatch::fingerprint::Fingerprint;
use damaskvane_routing::{configuration, peers, pool};
use hyper::header::HeaderName;

/// The headers that clients and backend servers use beside the usual ones.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Names one try of a client; backend servers repeat it.
    pub request_id: HeaderName,
    /// Milliseconds that the client, or this instance, will wait.
    pub deadline_ms: HeaderName,
    /// The server that a request is meant for; any other one turns it away.
    pub expected_server: HeaderName,
    /// A server's word that it did not run the request.
    pub not_run: HeaderName,
    /// Shows that a server made the answer.
    pub signature: HeaderName,
    /// A server's load.
    pub load: HeaderName,
    /// A server's own name.
    pub server_id: HeaderName,
    /// How much longer a server is cold.
    pub warmup_remaining_ms: HeaderName,
    /// The cookie that names the object of a request.
    pub object_cookie: String,
}

/// A client's question where to connect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lookup {
    /// The host it wants to reach.
    pub host: String,
    /// Its region, if it names one.
    pub region: Option<ids::RegionId>,
    /// Its availability zone, if it names one.
    pub zone: Option<ids::AvailabilityZoneId>,
}

/// What is kept in the store, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Collection {
    /// The operators' configuration.
    Configuration,
    /// The backend servers' entries.
    Servers,
    /// The zones that are to get no requests.
    Evacuations,
    /// The entry instances' own records.
    Instances,
    /// Requests that are refused because they crash what runs them.
    Quarantine,
}

impl Collection {
    /// The collection as a word for logs and counters.
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

/// One object of the store, decoded.
#[derive(Debug)]
pub enum Record {
    /// The whole configuration.
    Configuration(Box<configuration::Configuration>),
    /// A backend server's entry.
    Server(pool::ServerEntry),
    /// A zone that is evacuated.
    Evacuation(ids::AvailabilityZoneId),
    /// An entry instance.
    Instance(peers::ListedInstance),
    /// A request that is refused.
    Quarantined(Fingerprint),
    /// Something that can't be used, with the reason.
    Unusable(String),
}

/// A change of one object; no record where it was removed.
#[derive(Debug)]
pub struct Event {
    /// The object's name.
    pub name: String,
    /// What it holds now.
    pub record: Option<Record>,
}

/// A part of a list.
#[derive(Debug)]
pub struct Page {
    /// The objects.
    pub items: Vec<Event>,
    /// The name after which the list goes on.
    pub continue_after: Option<String>,
    /// The store's revision.
    pub revision: u64,
}

/// What a watch returned.
#[derive(Debug)]
pub struct Changes {
    /// The changes, in order.
    pub events: Vec<Event>,
    /// Where to watch on from.
    pub revision: u64,
}

/// the answer of the store can't be read: {0}; check that the address in the settings is the store's
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct DecodeError(pub String);

/// What a call on the store is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StorePurpose {
    /// Reads a part of a collection.
    List,
    /// Reads the instances of a zone, cheaply.
    ListZone,
    /// Waits for changes.
    Watch,
    /// Finds out whether the store answers, cheaply.
    Ping,
    /// Writes something.
    Write,
}

impl StorePurpose {
    /// The purpose as a word for counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::ListZone => "look",
            Self::Watch => "watch",
            Self::Ping => "contact",
            Self::Write => "write",
        }
    }
}

/// A call on the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRequest {
    /// What it is for.
    pub purpose: StorePurpose,
    /// The HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// The body, if there is one.
    pub body: Bytes,
}

/// Translates between a platform and the product.
pub trait Adapter {
    /// The headers of requests and answers.
    fn headers(&self) -> &HeaderNames;

    /// Whether this is the platform's question whether the instance is ready.
    fn is_readiness_check(&self, method: &hyper::Method, path: &str) -> bool;

    /// A client's question where to connect, if this is one.
    fn look_up(&self, method: &hyper::Method, uri: &hyper::Uri) -> Option<Lookup>;

    /// The body that answers a look-up.
    fn lookup_body(&self, addresses: &[net::SocketAddr], ttl_ms: u64) -> Bytes;

    /// The call that lists a collection; `may_be_stale` makes it cheaper and up to seconds old.
    fn list(&self, of: Collection, after: Option<&str>, may_be_stale: bool) -> StoreRequest;

    /// The call that waits for changes.
    fn watch(&self, of: Collection, revision: u64, wait_ms: u64) -> StoreRequest;

    /// The cheap call that lists instances from the first one of a zone on; what it returns may be seconds old.
    fn list_zone(&self, zone: &ids::AvailabilityZoneId, after: Option<&str>) -> StoreRequest;

    /// The cheapest call that shows whether the store answers.
    fn ping(&self, record: &peers::ListedInstance) -> StoreRequest;

    /// The calls that store an instance's record: the first creates it, the second replaces it.
    fn register(&self, record: &peers::ListedInstance) -> [StoreRequest; 2];

    /// The call that records a request as refused; it fails with a conflict where it is recorded already.
    fn record_quarantine(&self, fingerprint: &Fingerprint) -> StoreRequest;

    /// The call that removes such a record.
    fn remove_quarantine(&self, fingerprint: &Fingerprint) -> StoreRequest;

    /// Reads a part of a list.
    ///
    /// # Errors
    ///
    /// Fails if the body as a whole can't be read; single objects come as [`Record::Unusable`].
    fn page(&self, of: Collection, body: &[u8]) -> Result<Page, DecodeError>;

    /// Reads what a watch returned.
    ///
    /// # Errors
    ///
    /// As [`Adapter::page`].
    fn changes(&self, of: Collection, body: &[u8]) -> Result<Changes, DecodeError>;
}
