//! The simulator's binary frames: reading the fields of a batch, writing the records of a reply.
//!
//! A record's fields are read in the order in which they stand; nothing is kept that no call needs.

use std::io::{self, Read, Write};

pub(crate) const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 24;
pub(crate) const ENTRY_BYTES: usize = 25;
const BATCH_HEADER: usize = 20;
/// No batch comes near this; a length beyond it is a damaged frame, not a reason to ask for that much memory.
const LONGEST: usize = 1 << 30;

pub(crate) struct Batch {
    pub number: u32,
    pub count: usize,
    /// Seconds.
    pub now: f64,
    body: Vec<u8>,
}

impl Batch {
    /// The next batch, or none at a clean end of input.
    pub(crate) fn read(input: &mut impl Read) -> Result<Option<Batch>, String> {
        let mut header = [0; BATCH_HEADER];
        let got = fill(input, &mut header).map_err(|e| format!("reading a batch's header: {e}"))?;
        if got == 0 {
            return Ok(None);
        }
        if got < BATCH_HEADER {
            return Err(format!(
                "a batch's header ends after {got} of {BATCH_HEADER} bytes"
            ));
        }
        let mut fields = Fields {
            bytes: &header,
            at: 0,
        };
        let (number, length, count) = (fields.u32(), fields.u32() as usize, fields.u32() as usize);
        let now = fields.f64() / 1e3;
        if !now.is_finite() {
            return Err(format!("batch {number}: its clock is no number"));
        }
        if length > LONGEST || count * EVENT_BYTES > length {
            return Err(format!(
                "batch {number}: {count} records do not fit into its length of {length} bytes"
            ));
        }
        let mut body = vec![0; length];
        let got = fill(input, &mut body).map_err(|e| format!("batch {number}: {e}"))?;
        if got < length {
            return Err(format!(
                "batch {number}: ends after {got} of {length} bytes"
            ));
        }
        Ok(Some(Batch {
            number,
            count,
            now,
            body,
        }))
    }

    /// The code of a record, and its fields.
    pub(crate) fn record(&self, index: usize) -> (u8, Fields<'_>) {
        let record = &self.body[index * EVENT_BYTES..(index + 1) * EVENT_BYTES];
        (
            record[0],
            Fields {
                bytes: record,
                at: 1,
            },
        )
    }

    /// What a field of the form (offset, length) points at, each of `length` things being `size` bytes.
    pub(crate) fn tail(&self, (offset, length): (u32, u32), size: usize) -> Result<&[u8], String> {
        let tail = &self.body[self.count * EVENT_BYTES..];
        let from = offset as usize;
        let to = from.saturating_add((length as usize).saturating_mul(size));
        tail.get(from..to).ok_or_else(|| {
            format!(
                "bytes {from} to {to} lie outside the tail, which has {} bytes",
                tail.len()
            )
        })
    }
}

fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}

/// Fields read one after the other. A record has a fixed size that holds all that its code's fields need.
pub(crate) struct Fields<'a> {
    pub bytes: &'a [u8],
    pub at: usize,
}

impl Fields<'_> {
    fn take<const N: usize>(&mut self) -> [u8; N] {
        let mut taken = [0; N];
        taken.copy_from_slice(&self.bytes[self.at..self.at + N]);
        self.at += N;
        taken
    }

    pub(crate) fn u8(&mut self) -> u8 {
        self.take::<1>()[0]
    }

    pub(crate) fn u16(&mut self) -> u16 {
        u16::from_le_bytes(self.take())
    }

    pub(crate) fn u32(&mut self) -> u32 {
        u32::from_le_bytes(self.take())
    }

    pub(crate) fn u64(&mut self) -> u64 {
        u64::from_le_bytes(self.take())
    }

    pub(crate) fn f32(&mut self) -> f32 {
        f32::from_le_bytes(self.take())
    }

    pub(crate) fn f64(&mut self) -> f64 {
        f64::from_le_bytes(self.take())
    }

    /// Milliseconds on the wire, seconds inside.
    pub(crate) fn seconds(&mut self) -> f64 {
        self.f64() / 1e3
    }

    pub(crate) fn span(&mut self) -> (u32, u32) {
        (self.u32(), self.u32())
    }

    /// A load report: how many values it has, and the values.
    pub(crate) fn report(&mut self) -> (u8, [f32; 4]) {
        (self.u8(), [self.f32(), self.f32(), self.f32(), self.f32()])
    }
}

/// A reply under way.
#[derive(Default)]
pub(crate) struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Appends a record of this code; the rest of it stays zero.
    pub(crate) fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.push(code);
        for field in fields {
            self.records.extend_from_slice(field);
        }
        debug_assert!(
            self.records.len() <= end,
            "an action's fields overrun its record"
        );
        self.records.resize(end, 0);
        self.count += 1;
    }

    /// Appends a record of this code whose one field is a text in the tail.
    pub(crate) fn text(&mut self, code: u8, text: &str) {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        self.record(
            code,
            &[&offset.to_le_bytes(), &(text.len() as u32).to_le_bytes()],
        );
    }

    /// Takes back the last record, if nothing followed the given state.
    pub(crate) fn drop_last_of(&mut self, count: u32) {
        if self.count == count && count > 0 {
            self.records.truncate(self.records.len() - ACTION_BYTES);
            self.count -= 1;
        }
    }

    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Writes the reply to a batch, flushes it, and is empty again.
    pub(crate) fn send(&mut self, number: u32, output: &mut impl Write) -> io::Result<()> {
        let length = (self.records.len() + self.tail.len()) as u32;
        let mut header = Vec::with_capacity(12);
        for field in [number, self.count, length] {
            header.extend_from_slice(&field.to_le_bytes());
        }
        output.write_all(&header)?;
        output.write_all(&self.records)?;
        output.write_all(&self.tail)?;
        output.flush()?;
        self.records.clear();
        self.tail.clear();
        self.count = 0;
        Ok(())
    }
}
