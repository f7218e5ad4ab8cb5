//! The simulator's binary frames: reads the fields of a batch and writes the records of a reply.
//!
//! A batch is a header, records of a fixed size, and a tail for data of variable length, such as settings and node
//! lists. The fields of a record are read in the order in which they are laid out.

use std::io::{self, Read, Write};

/// Size of a record of a batch.
pub(crate) const EVENT_BYTES: usize = 48;
/// Size of a record of a reply.
const ACTION_BYTES: usize = 24;
/// Size of an entry of a node list.
pub(crate) const ENTRY_BYTES: usize = 25;
const BATCH_HEADER_BYTES: usize = 20;
/// Maximum length of a batch. No valid batch comes near it; a higher length means a damaged frame, for which no memory
/// must be allocated.
const MAX_BATCH_BYTES: usize = 1 << 30;

/// A batch of events that happened at one clock reading.
pub(crate) struct Batch {
    /// Number of the batch, which its reply repeats.
    pub number: u32,
    /// Number of records.
    pub count: usize,
    /// The clock reading, in seconds.
    pub now: f64,
    /// The records, and the tail behind them.
    body: Vec<u8>,
}

impl Batch {
    /// Reads the next batch. Returns none if the input ends before it; an input that ends within a batch is an error.
    pub(crate) fn read(input: &mut impl Read) -> Result<Option<Batch>, String> {
        let mut header = [0; BATCH_HEADER_BYTES];
        let got = fill(input, &mut header).map_err(|e| format!("reading a batch header: {e}"))?;
        if got == 0 {
            return Ok(None);
        }
        if got < BATCH_HEADER_BYTES {
            return Err(format!(
                "a batch header ends after {got} of {BATCH_HEADER_BYTES} bytes"
            ));
        }
        let mut fields = Fields {
            bytes: &header,
            at: 0,
        };
        let number = fields.u32();
        let length = fields.u32() as usize;
        let count = fields.u32() as usize;
        let now = fields.f64() / 1e3;
        if !now.is_finite() {
            return Err(format!(
                "batch {number}: the clock reading is {now}, not a finite number"
            ));
        }
        if length > MAX_BATCH_BYTES || count * EVENT_BYTES > length {
            return Err(format!(
                "batch {number}: a length of {length} bytes is invalid for {count} records of \
                 {EVENT_BYTES} bytes; the maximum is {MAX_BATCH_BYTES} bytes"
            ));
        }
        let mut body = vec![0; length];
        let got =
            fill(input, &mut body).map_err(|e| format!("batch {number}: reading the body: {e}"))?;
        if got < length {
            return Err(format!(
                "batch {number}: the body ends after {got} of {length} bytes"
            ));
        }
        Ok(Some(Batch {
            number,
            count,
            now,
            body,
        }))
    }

    /// Returns the code of a record, and its fields.
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

    /// Returns the bytes of the tail that a span (offset, count) refers to, with `size` bytes for each counted item.
    pub(crate) fn tail(&self, (offset, count): (u32, u32), size: usize) -> Result<&[u8], String> {
        let tail = &self.body[self.count * EVENT_BYTES..];
        let from = offset as usize;
        let to = from.saturating_add((count as usize).saturating_mul(size));
        tail.get(from..to).ok_or_else(|| {
            format!(
                "bytes {from} to {to} lie outside the tail, which has {} bytes",
                tail.len()
            )
        })
    }
}

/// Reads until the buffer is full or the input ends. Returns the number of bytes read.
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

/// Reads the fields of a record one after the other. A record is large enough for the fields of any code.
pub(crate) struct Fields<'a> {
    pub bytes: &'a [u8],
    /// Index at which the next field starts.
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

    /// Reads a time, which is in milliseconds on the wire, in seconds.
    pub(crate) fn seconds(&mut self) -> f64 {
        self.f64() / 1e3
    }

    /// Reads a reference to the tail: an offset in bytes, and a count.
    pub(crate) fn span(&mut self) -> (u32, u32) {
        (self.u32(), self.u32())
    }

    /// Reads a load report: the number of its values, and the values.
    pub(crate) fn report(&mut self) -> (u8, [f32; 4]) {
        (self.u8(), [self.f32(), self.f32(), self.f32(), self.f32()])
    }
}

/// A reply that is being written.
#[derive(Default)]
pub(crate) struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Appends a record with this code and these fields. The rest of the record is zero.
    pub(crate) fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.push(code);
        for field in fields {
            self.records.extend_from_slice(field);
        }
        debug_assert!(
            self.records.len() <= end,
            "the fields of an action are longer than its record"
        );
        self.records.resize(end, 0);
        self.count += 1;
    }

    /// Appends a record with this code whose only field refers to a text in the tail.
    pub(crate) fn text(&mut self, code: u8, text: &str) {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(text.as_bytes());
        self.record(
            code,
            &[&offset.to_le_bytes(), &(text.len() as u32).to_le_bytes()],
        );
    }

    /// Removes the last record if the reply has only `count` records.
    pub(crate) fn drop_last_of(&mut self, count: u32) {
        if self.count == count && count > 0 {
            self.records.truncate(self.records.len() - ACTION_BYTES);
            self.count -= 1;
        }
    }

    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Writes the reply to the batch of this number, flushes the output, and clears the reply.
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
