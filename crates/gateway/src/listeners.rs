//! Opens the addresses that a box listens on.
//!
//! Another process may hold such a port for a while: the box's previous process, or a connection that the system gave
//! this local port. A box that ends with an error is started again and ends again, so it waits for the port.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::net::{TcpListener, UdpSocket};
use async_std::task;
use wingbridge_process::StopSignal;

use crate::settings::GatewaySettings;

/// Time between two attempts to open an address.
const RETRY_PERIOD: Duration = Duration::from_millis(200);
/// Maximum wait for an address. The system keeps the port of a closed connection for a minute.
const MAX_WAIT: Duration = Duration::from_secs(75);

/// The addresses at which connections are accepted.
#[derive(Debug)]
pub(crate) struct Listeners {
    /// For callers.
    pub(crate) callers: TcpListener,
    /// For readiness checks and metrics.
    pub(crate) readiness: TcpListener,
    /// For peers.
    pub(crate) exchange: TcpListener,
}

/// The open addresses of a box.
#[derive(Debug)]
pub(crate) struct OpenAddresses {
    pub(crate) listeners: Listeners,
    /// Datagrams between boxes.
    pub(crate) gossip: UdpSocket,
}

impl OpenAddresses {
    /// Opens all addresses, and waits for those that are in use. Returns `None` if `stop` is signalled before.
    ///
    /// # Errors
    /// An address can't be opened, or was in use for [`MAX_WAIT`].
    pub(crate) async fn open(
        settings: &GatewaySettings,
        stop: &StopSignal,
    ) -> eyre::Result<Option<OpenAddresses>> {
        let GatewaySettings { callers, readiness, exchange, .. } = *settings;
        let gossip = SocketAddr::new(settings.host(), settings.gossip_port);
        let wait = AddressWait { stop, until: Instant::now() + MAX_WAIT };
        let Some(gossip) = wait.open(gossip, || UdpSocket::bind(gossip)).await? else {
            return Ok(None);
        };
        let Some(exchange) = wait.open(exchange, || TcpListener::bind(exchange)).await? else {
            return Ok(None);
        };
        let Some(readiness) = wait.open(readiness, || TcpListener::bind(readiness)).await? else {
            return Ok(None);
        };
        // Callers come last: their connections would wait for the other addresses.
        let Some(callers) = wait.open(callers, || TcpListener::bind(callers)).await? else {
            return Ok(None);
        };
        Ok(Some(OpenAddresses { listeners: Listeners { callers, readiness, exchange }, gossip }))
    }
}

/// How long to wait for addresses that are in use.
struct AddressWait<'a> {
    stop: &'a StopSignal,
    until: Instant,
}

impl AddressWait<'_> {
    /// Calls `bind` until the address is not in use. Returns `None` if a stop is signalled before.
    async fn open<T, F>(
        &self,
        address: impl Display,
        mut bind: impl FnMut() -> F,
    ) -> eyre::Result<Option<T>>
    where
        F: Future<Output = io::Result<T>>,
    {
        let mut is_logged = false;
        loop {
            let error = match bind().await {
                Ok(bound) => return Ok(Some(bound)),
                Err(error) => error,
            };
            if error.kind() != io::ErrorKind::AddrInUse || Instant::now() >= self.until {
                return Err(eyre::eyre!("the address {address} can't be listened on: {error}"));
            }
            if !is_logged {
                log::warn!(address:%, reason:% = error; "address-in-use");
                is_logged = true;
            }
            if self.stop.is_stopped() {
                return Ok(None);
            }
            task::sleep(RETRY_PERIOD).await;
        }
    }
}
