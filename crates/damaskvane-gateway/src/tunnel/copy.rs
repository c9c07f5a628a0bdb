//! Copies bytes between the two connections of a tunnel.

use core::time::Duration;
use std::cell::Cell;
use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

/// Size of the buffer for one direction, in bytes.
const BUFFER_BYTES: usize = 8_192;
/// How long bytes that the server no longer reads are still taken from the other instance. Closing a socket with unread
/// bytes resets it, and the end of the server's answer would be lost.
const DRAIN_TIME: Duration = Duration::from_millis(500);

/// Copies until either side ends, and ends the other one in the same way: a reset stays a reset, so that a cut answer
/// never looks whole and a server learns of a client that has left. Returns the number of bytes.
pub(super) async fn until_end(mut instance: TcpStream, mut server: TcpStream) -> usize {
    let bytes = Cell::new(0);
    // If this process ends midway, the other instance gets a reset: an answer that has no length must not look whole.
    set_reset_on_close(&instance, true);
    let end = {
        let (instance_reader, mut instance_writer) = instance.split();
        let (server_reader, server_writer) = server.split();
        let requests = copy(instance_reader, server_writer, &bytes);
        let responses = copy(server_reader, &mut instance_writer, &bytes);
        tokio::select! {
            biased;
            end = responses => End::Server(end),
            end = requests => End::Instance(end),
        }
    };
    match end {
        End::Server(Ok(())) => {
            set_reset_on_close(&instance, false);
            let _ = instance.shutdown().await;
            let _ = tokio::time::timeout(DRAIN_TIME, drain(&mut instance)).await;
        }
        End::Server(Err(_)) | End::Instance(Err(_)) => {
            set_reset_on_close(&server, true);
        }
        End::Instance(Ok(())) => {}
    }
    bytes.get()
}

/// The side that ended first, and how.
enum End {
    Instance(io::Result<()>),
    Server(io::Result<()>),
}

async fn copy(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    bytes: &Cell<usize>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = reader.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        writer.write_all(&buffer[..length]).await?;
        bytes.set(bytes.get() + length);
    }
}

async fn drain(stream: &mut TcpStream) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while stream
        .read(&mut buffer)
        .await
        .is_ok_and(|length| length > 0)
    {}
}

fn set_reset_on_close(stream: &TcpStream, resets: bool) {
    let linger = resets.then_some(Duration::ZERO);
    // Setting the option fails only on a connection that is already broken.
    let _ = socket2::SockRef::from(stream).set_linger(linger);
}
