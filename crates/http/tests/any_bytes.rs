//! Arbitrary bytes as a message head are accepted or rejected, without a panic.

use proptest::prelude::*;
use wingbridge_http::head::{check_request, check_response};

proptest! {
    #[test]
    fn arbitrary_heads_do_not_panic(
        line in "[A-Z]{0,5} /[ -~]{0,20} HTTP/1\\.[01]\r\n",
        headers in prop::collection::vec("[A-Za-z-]{1,18}:[ -~]{0,20}\r\n", 0..6),
        noise in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let mut head = line.into_bytes();
        headers.iter().for_each(|header| head.extend(header.bytes()));
        let complete = [&head[..], b"\r\n"].concat();
        let noisy = [&head[..], &noise[..], b"\r\n\r\n"].concat();
        for bytes in [&complete, &noisy, &noise] {
            let _ = check_request(bytes);
            let _ = check_response(bytes, "GET");
        }
    }
}
