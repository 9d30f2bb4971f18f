//! How many rows about the load of services a box sends.

use prost::Message;
use wingbridge_wire::overload::ServiceLoad;

/// Bytes of own rows that a box sends in each second to all peers together. The rows take at most 2.5 of the 4 KB/s
/// that overload control may use; sums of data centres and the heads of their datagrams take the rest.
const MAX_OWN_BYTES: usize = 2_500;
/// Maximum bytes of rows in a heartbeat, so that it fits into a datagram with all else that it carries.
const MAX_ROW_BYTES: usize = 512;
/// Maximum bytes of sums in a datagram. Each box gets some four such datagrams a second in a deployment of three data
/// centres.
const MAX_SUM_BYTES: usize = 240;
/// Bytes of the tag and the length of a row in a heartbeat.
const ROW_HEAD_BYTES: usize = 2;

/// Returns the rows that are sent to each of `peers` peers in round `round`. If not all fit, each round begins where
/// the one before ended.
pub fn own_rows_in_budget(
    rows: Vec<ServiceLoad>,
    peers: usize,
    round: &mut usize,
) -> Vec<ServiceLoad> {
    rotate_into(rows, (MAX_OWN_BYTES / peers.max(1)).min(MAX_ROW_BYTES), round)
}

/// Returns the sums that are sent in round `round`. If not all fit, each round begins where the one before ended.
pub fn sums_in_budget(sums: Vec<ServiceLoad>, round: &mut usize) -> Vec<ServiceLoad> {
    rotate_into(sums, MAX_SUM_BYTES, round)
}

fn rotate_into(mut rows: Vec<ServiceLoad>, max_bytes: usize, next: &mut usize) -> Vec<ServiceLoad> {
    if rows.is_empty() {
        return rows;
    }
    let first = *next % rows.len();
    rows.rotate_left(first);
    let mut bytes = 0;
    let fitting = rows.iter().take_while(|row| {
        bytes += row.encoded_len() + ROW_HEAD_BYTES;
        bytes <= max_bytes
    });
    // At least one row is sent, however long its name is.
    let count = fitting.count().max(1);
    *next = if count < rows.len() { first + count } else { 0 };
    rows.truncate(count);
    rows
}
