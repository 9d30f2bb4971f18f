//! Requests that peers send to a box, and the encoding of the targets that they exchange.

use std::net::{IpAddr, SocketAddr};

use async_std::net::TcpStream;
use async_std::task;
use prost::Message;
use wingbridge_wire::gossip::{
    ExchangeQuestion, ExchangeRequest, TargetRecord, TargetRecords, TargetsReply, TargetsRequest,
};
use wingbridge_wire::{WireError, receive_message, send_message};

use super::EXCHANGE;

/// Opens a connection on which a box answers the requests of its peers.
pub fn connect_exchange(host: IpAddr) -> TcpStream {
    task::block_on(TcpStream::connect(SocketAddr::new(host, EXCHANGE))).expect("the box listens")
}

/// Sends a request on a connection and returns the reply.
pub fn exchange_on<M: Message + Default>(
    stream: &TcpStream,
    question: Option<ExchangeQuestion>,
) -> Result<M, WireError> {
    task::block_on(async {
        send_message(stream, &ExchangeRequest { question }).await?;
        receive_message(stream).await
    })
}

/// Fetches the changes since the listing with the hash `digest`, or all targets if it is 0.
pub fn fetch_targets(host: IpAddr, digest: u64) -> TargetsReply {
    let question = ExchangeQuestion::Targets(TargetsRequest { digest });
    exchange_on(&connect_exchange(host), Some(question)).expect("the box answers")
}

/// Encodes targets as boxes send them to each other.
pub fn packed(targets: Vec<TargetRecord>) -> Vec<Vec<u8>> {
    vec![lz4_flex::block::compress_prepend_size(&TargetRecords { targets }.encode_to_vec())]
}

/// Decodes the targets of a reply.
pub fn unpacked(reply: &TargetsReply) -> Vec<TargetRecord> {
    let unpack = |part: &Vec<u8>| {
        let bytes =
            lz4_flex::block::decompress_size_prepended(part).expect("compressed target records");
        TargetRecords::decode(&bytes[..]).expect("encoded target records").targets
    };
    reply.parts.iter().flat_map(unpack).collect()
}
