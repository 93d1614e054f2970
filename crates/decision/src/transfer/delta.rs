//! Bytes as copies from a base and from themselves, and literals between them.

/// Shortest run of bytes that is copied.
const MIN_COPY: usize = 8;
/// Distance of the positions of the base that can be found.
const BASE_STRIDE: usize = 4;
/// Limits on the entries of the table of positions, as powers of two.
const MIN_TABLE_BITS: u32 = 10;
const MAX_TABLE_BITS: u32 = 20;

/// Encodes `new` as the difference from `base`, which may be empty.
pub(crate) fn encode(base: &[u8], new: &[u8]) -> Vec<u8> {
    let mut finder = Finder::new(base, new);
    let mut out = Vec::new();
    let (mut at, mut literal_from) = (0, 0);
    while at + MIN_COPY <= new.len() {
        let Some(copy) = finder.find(at, literal_from) else {
            finder.insert(base.len() + at, at);
            at += 1;
            continue;
        };
        let start = at - copy.back;
        push_bytes(&mut out, &new[literal_from..start]);
        push_number(&mut out, copy.length as u64);
        push_number(&mut out, copy.source as u64);
        let end = start + copy.length;
        for position in (at..end.min(new.len() - MIN_COPY)).step_by(BASE_STRIDE) {
            finder.insert(base.len() + position, position);
        }
        (at, literal_from) = (end, end);
    }
    if literal_from < new.len() {
        push_bytes(&mut out, &new[literal_from..]);
        push_number(&mut out, 0);
    }
    out
}

/// Decodes a difference from `base`; `None` if it is not one, or if the result has more
/// than `max` bytes.
pub(crate) fn decode(base: &[u8], mut delta: &[u8], max: usize) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    while !delta.is_empty() {
        let literal = take_bytes(&mut delta)?;
        let length = usize::try_from(take_number(&mut delta)?).ok()?;
        if length > max || out.len() + literal.len() + length > max {
            return None;
        }
        out.extend_from_slice(literal);
        if length == 0 {
            continue;
        }
        let source = usize::try_from(take_number(&mut delta)?).ok()?;
        copy(base, &mut out, source, length)?;
    }
    Some(out)
}

/// Appends `length` bytes from a position in the base followed by the output.
fn copy(base: &[u8], out: &mut Vec<u8>, source: usize, length: usize) -> Option<()> {
    let in_base = base.len().saturating_sub(source).min(length);
    if in_base > 0 {
        out.extend_from_slice(&base[source..source + in_base]);
    }
    if in_base == length {
        return Some(());
    }
    let from = (source + in_base) - base.len();
    if from >= out.len() {
        return None;
    }
    // The source may overlap with what is appended.
    let mut left = length - in_base;
    while left > 0 {
        let count = left.min(out.len() - from);
        out.extend_from_within(from..from + count);
        left -= count;
    }
    Some(())
}

/// Run of bytes that occurred before.
struct Copy {
    /// Position in the base followed by the new bytes.
    source: usize,
    length: usize,
    /// Bytes of it that precede the position it was searched for.
    back: usize,
}

/// Finds earlier occurrences of the bytes at a position.
struct Finder<'a> {
    base: &'a [u8],
    new: &'a [u8],
    /// Positions by the hash of the bytes there, each plus one.
    table: Vec<u32>,
    shift: u32,
    /// Source and end of the last copy, whose bytes often go on after a change.
    last: Option<(usize, usize)>,
}

impl<'a> Finder<'a> {
    fn new(base: &'a [u8], new: &'a [u8]) -> Self {
        let entries = (base.len() + new.len()) / BASE_STRIDE;
        let bits = usize::BITS - entries.leading_zeros();
        let bits = bits.clamp(MIN_TABLE_BITS, MAX_TABLE_BITS);
        let mut finder = Finder {
            base,
            new,
            table: vec![0; 1 << bits],
            shift: u64::BITS - bits,
            last: None,
        };
        let last = base.len().saturating_sub(MIN_COPY - 1);
        for position in (0..last).step_by(BASE_STRIDE) {
            let slot = finder.slot(&base[position..]);
            finder.table[slot] = position as u32 + 1;
        }
        finder
    }

    fn slot(&self, bytes: &[u8]) -> usize {
        let mut word = [0; MIN_COPY];
        word.copy_from_slice(&bytes[..MIN_COPY]);
        let hash = u64::from_le_bytes(word).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (hash >> self.shift) as usize
    }

    fn insert(&mut self, position: usize, at: usize) {
        let slot = self.slot(&self.new[at..]);
        self.table[slot] = position as u32 + 1;
    }

    fn byte(&self, position: usize) -> u8 {
        match position.checked_sub(self.base.len()) {
            None => self.base[position],
            Some(at) => self.new[at],
        }
    }

    /// Returns the longer of two copies of the bytes at `at`: the one that goes on where
    /// the last one ended, and the latest one in the table.
    fn find(&mut self, at: usize, literal_from: usize) -> Option<Copy> {
        let going_on = self.last.map(|(source, end)| source + (at - end));
        let hashed = self.table[self.slot(&self.new[at..])].checked_sub(1);
        let sources = [going_on, hashed.map(|p| p as usize)];
        let copies = sources.into_iter().flatten();
        let copies = copies.filter_map(|source| self.extend(source, at, literal_from));
        let best = copies.max_by_key(|copy| copy.length)?;
        let end = at - best.back + best.length;
        self.last = Some((best.source + best.length, end));
        Some(best)
    }

    fn extend(&self, source: usize, at: usize, literal_from: usize) -> Option<Copy> {
        let here = self.base.len() + at;
        if source >= here {
            return None;
        }
        let limit = self.new.len() - at;
        let ahead = (0..limit).take_while(|n| self.byte(source + n) == self.new[at + n]);
        let ahead = ahead.count();
        if ahead < MIN_COPY {
            return None;
        }
        let limit = source.min(at - literal_from);
        let back = (1..=limit).take_while(|n| self.byte(source - n) == self.new[at - n]);
        let back = back.count();
        Some(Copy {
            source: source - back,
            length: ahead + back,
            back,
        })
    }
}

/// Appends a number in groups of seven bits, the lowest first.
pub(super) fn push_number(out: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        out.push(number as u8 | 0x80);
        number >>= 7;
    }
    out.push(number as u8);
}

/// Appends bytes after their length.
pub(super) fn push_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    push_number(out, bytes.len() as u64);
    out.extend_from_slice(bytes);
}

/// Takes a number from the front; `None` if there is none.
pub(super) fn take_number(from: &mut &[u8]) -> Option<u64> {
    let mut number = 0;
    for shift in (0..u64::BITS).step_by(7) {
        let (byte, rest) = from.split_first()?;
        *from = rest;
        number |= u64::from(byte & 0x7f) << shift;
        if byte & 0x80 == 0 {
            return Some(number);
        }
    }
    None
}

/// Takes bytes after their length from the front; `None` if there are fewer.
pub(super) fn take_bytes<'a>(from: &mut &'a [u8]) -> Option<&'a [u8]> {
    let length = usize::try_from(take_number(from)?).ok()?;
    let (bytes, rest) = from.split_at_checked(length)?;
    *from = rest;
    Some(bytes)
}
