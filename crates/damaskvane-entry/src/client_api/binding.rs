//! The clients' address: taken at the start, listened on a little later.
//!
//! Look-up answers that name an earlier start of this instance live on in clients' caches for a while. A
//! client that reached the new process with the old home would get *outcome unknown*, although most often
//! nothing ran; no answer of this process could tell. While nobody listens, its connection is refused:
//! it then knows that nothing was sent, and takes a new home. So the port is bound at once, which
//! finds a taken address early, and listened on once those answers have lapsed.
//!
//! ```
//! use damaskvane_entry::client_api::binding;
//!
//! let bound = binding::BoundAddress::bind("127.0.0.1:0")?;
//! let address = bound.local_address()?;
//! assert!(std::net::TcpStream::connect(address).is_err());
//! let _listener = bound.listen()?;
//! assert!(std::net::TcpStream::connect(address).is_ok());
//! # Ok::<(), std::io::Error>(())
//! ```

use std::io;
use std::net;

use socket2::{Domain, Protocol, Socket, Type};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// An address that is taken and not yet listened on.
#[derive(Debug)]
pub struct BoundAddress(Socket);

impl BoundAddress {
    /// Takes an address; port 0 takes a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address is malformed, taken, or not one of this machine.
    pub fn bind(address: &str) -> io::Result<Self> {
        let address: net::SocketAddr = address
            .parse()
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        Ok(Self(socket))
    }

    /// The address with the port that was taken.
    ///
    /// # Errors
    ///
    /// Fails if the system does not tell.
    pub fn local_address(&self) -> io::Result<net::SocketAddr> {
        self.0
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::from(io::ErrorKind::AddrNotAvailable))
    }

    /// Lets clients in.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses.
    pub fn listen(self) -> io::Result<net::TcpListener> {
        self.0.listen(BACKLOG)?;
        Ok(self.0.into())
    }
}
