//! Connections to targets from a given address of this machine, for machines with several.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream as StdTcpStream};

use async_io::Async;
use async_std::net::TcpStream;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, connect, socket_with};

/// Connects from `source` to `address` (`IP:port`).
///
/// # Errors
/// The address is malformed, `source` is no address of this machine, or the connection fails.
pub async fn connect_from(source: IpAddr, address: &str) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(|error| {
        io::Error::new(io::ErrorKind::InvalidInput, format!("{address}: {error}"))
    })?;
    let family = if source.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    bind(&socket, &SocketAddr::new(source, 0))?;
    match connect(&socket, &address) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(error) => return Err(error.into()),
    }
    let stream = Async::new(StdTcpStream::from(socket))?;
    stream.writable().await?;
    if let Some(error) = stream.get_ref().take_error()? {
        return Err(error);
    }
    Ok(TcpStream::from(stream.into_inner()?))
}
