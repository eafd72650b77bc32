//! Base64 with padding.

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(text: &str) -> String {
    let mut encoded = String::new();
    for chunk in text.as_bytes().chunks(3) {
        let bytes = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(bytes[0]) << 16 | u32::from(bytes[1]) << 8 | u32::from(bytes[2]);
        for letter in 0..4 {
            match letter > chunk.len() {
                true => encoded.push('='),
                false => {
                    let index = bits >> (18 - 6 * letter) & 63;
                    encoded.push(char::from(LETTERS[index as usize]));
                }
            }
        }
    }
    encoded
}

pub fn decode(text: &str) -> Option<String> {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for letter in text.bytes().filter(|letter| *letter != b'=') {
        let index = LETTERS.iter().position(|known| *known == letter)?;
        bits = bits << 6 | index as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    String::from_utf8(bytes).ok()
}
