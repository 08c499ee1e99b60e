//! Frames of the bench's wire: reads batches of big-endian event records and writes replies of action
//! records. The meaning of the records is in `host`.

use std::io::{self, Read};

/// Size of an event record, bytes.
pub const EVENT_SIZE: usize = 56;
/// Size of an action record, bytes.
pub const ACTION_SIZE: usize = 24;
/// Size of one entry of a pool list in the tail, bytes.
pub const POOL_ENTRY_SIZE: usize = 25;
/// Size of a batch header, bytes: clock, length of the rest after the length field, number of records.
const HEADER_SIZE: usize = 16;
/// Longest batch, bytes. Batches of megabytes occur; a length beyond this means that the stream is corrupt.
const MAX_BATCH_SIZE: usize = 1 << 30;

/// Big-endian fields of one record or of a stretch of the tail, by byte offset.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    fn bytes_at<const N: usize>(self, offset: usize) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.0[offset..offset + N]);
        out
    }
    pub fn u8(self, offset: usize) -> u8 {
        self.0[offset]
    }
    pub fn u16(self, offset: usize) -> u16 {
        u16::from_be_bytes(self.bytes_at(offset))
    }
    pub fn u32(self, offset: usize) -> u32 {
        u32::from_be_bytes(self.bytes_at(offset))
    }
    pub fn u64(self, offset: usize) -> u64 {
        u64::from_be_bytes(self.bytes_at(offset))
    }
    pub fn f32(self, offset: usize) -> f64 {
        f64::from(f32::from_be_bytes(self.bytes_at(offset)))
    }
    pub fn f64(self, offset: usize) -> f64 {
        f64::from_be_bytes(self.bytes_at(offset))
    }
    /// An IPv4 address and a port as one number: address in bits 16 to 47, port in bits 0 to 15.
    pub fn server(self, offset: usize) -> u64 {
        u64::from(self.u32(offset)) << 16 | u64::from(self.u16(offset + 4))
    }
}

/// One batch of events: clock in seconds, records and tail.
#[derive(Default)]
pub struct Batch {
    pub clock: f64,
    pub records: usize,
    body: Vec<u8>,
}

impl Batch {
    /// Reads the next batch into the same buffer. Returns false at the end of the input.
    pub fn read(&mut self, input: &mut impl Read) -> Result<bool, String> {
        let mut header = [0; HEADER_SIZE];
        let mut received = 0;
        while received < HEADER_SIZE {
            match input.read(&mut header[received..]) {
                Ok(0) if received == 0 => return Ok(false),
                Ok(0) => {
                    return Err(format!("batch header: input ends after {received} of {HEADER_SIZE} bytes"))
                }
                Ok(n) => received += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(format!("batch header: {e}")),
            }
        }
        let header = Fields(&header);
        self.clock = header.f64(0);
        let length = header.u32(8) as usize;
        self.records = header.u32(12) as usize;
        if !self.clock.is_finite() {
            return Err("batch header: the clock is not a number".into());
        }
        if !(4..=MAX_BATCH_SIZE).contains(&length) {
            return Err(format!("batch header: a length of {length} bytes is out of range"));
        }
        if self.records > (length - 4) / EVENT_SIZE {
            return Err(format!("batch header: {} records do not fit in {length} bytes", self.records));
        }
        self.body.resize(length - 4, 0);
        let read = input.read_exact(&mut self.body);
        read.map_err(|e| format!("batch body of {} bytes: {e}", length - 4))?;
        Ok(true)
    }

    /// Event record number `number`, from 0.
    pub fn record(&self, number: usize) -> Fields<'_> {
        Fields(&self.body[number * EVENT_SIZE..(number + 1) * EVENT_SIZE])
    }

    /// Returns the stretch of the tail to which the field at `offset` of a record refers: a byte offset into
    /// the tail and a count of units of `unit` bytes.
    pub fn tail(&self, record: Fields, offset: usize, unit: usize) -> Result<&[u8], String> {
        let tail = &self.body[self.records * EVENT_SIZE..];
        let (from, count) = (record.u32(offset) as usize, record.u32(offset + 4) as usize);
        let to = count.checked_mul(unit).and_then(|size| from.checked_add(size));
        to.and_then(|to| tail.get(from..to)).ok_or_else(|| {
            format!("tail: {count} x {unit} bytes at offset {from} exceed the tail of {} bytes", tail.len())
        })
    }
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    frame: Vec<u8>,
    tail: Vec<u8>,
    records: u32,
}

impl Reply {
    /// Starts a new reply in the same buffers.
    pub fn clear(&mut self) {
        self.frame.clear();
        self.frame.resize(8, 0);
        self.tail.clear();
        self.records = 0;
    }
    /// Adds an action record: its code and the bytes of its fields in order, padded with zeros.
    pub fn push(&mut self, code: u8, fields: &[&[u8]]) {
        let start = self.frame.len();
        self.frame.push(code);
        for field in fields {
            self.frame.extend_from_slice(field);
        }
        self.frame.resize(start + ACTION_SIZE, 0);
        self.records += 1;
    }
    /// Adds an action record whose only field refers to a text in the tail.
    pub fn push_text(&mut self, code: u8, text: &str) {
        let (offset, length) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.push(code, &[&offset.to_be_bytes(), &length.to_be_bytes()]);
    }
    /// Completes the frame and returns it.
    pub fn finish(&mut self) -> &[u8] {
        self.frame.extend_from_slice(&self.tail);
        let length = (self.frame.len() - 4) as u32;
        self.frame[0..4].copy_from_slice(&length.to_be_bytes());
        self.frame[4..8].copy_from_slice(&self.records.to_be_bytes());
        &self.frame
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn batch(length: u32, records: u32, body: &[u8]) -> Result<bool, String> {
        let mut bytes = 1.0f64.to_be_bytes().to_vec();
        bytes.extend(length.to_be_bytes());
        bytes.extend(records.to_be_bytes());
        bytes.extend(body);
        Batch::default().read(&mut &bytes[..])
    }

    #[test]
    fn errors_of_corrupt_frames_name_the_part_and_the_size() {
        assert_eq!(batch(4, 0, &[]), Ok(true));
        assert_eq!(Batch::default().read(&mut &[][..]), Ok(false));
        assert!(Batch::default().read(&mut &[0; 9][..]).unwrap_err().contains("after 9 of 16"));
        assert!(batch(60, 2, &[0; 56]).unwrap_err().contains("2 records"));
        assert!(batch(60, 1, &[0; 20]).unwrap_err().contains("batch body"));
        assert!(batch(2, 0, &[]).unwrap_err().contains("length of 2"));
    }

    #[test]
    fn a_stretch_beyond_the_end_of_the_tail_is_an_error() {
        let mut batch = Batch { clock: 0.0, records: 1, body: vec![0; EVENT_SIZE + 3] };
        batch.body[4] = 3;
        assert_eq!(batch.tail(batch.record(0), 1, 1).map(<[u8]>::len), Ok(0));
        batch.body[8] = 1;
        assert!(batch.tail(batch.record(0), 1, 1).unwrap_err().contains("exceed the tail of 3 bytes"));
    }
}
