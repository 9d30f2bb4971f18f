//! Standard base64 with padding, as the store's values have it.

const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(char::from(SIGNS[(bits >> (18 - 6 * place) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
