//! Reader for the fields of records.

use crate::error::AdapterError;
use madderbay::time::Duration;

/// A cursor over the encoded records of one batch.
pub struct FieldReader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> FieldReader<'a> {
    /// Creates a cursor at the first byte.
    pub fn new(bytes: &'a [u8]) -> FieldReader<'a> {
        FieldReader { bytes, position: 0 }
    }

    /// Returns the number of bytes that have not been read.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.position
    }

    /// Reads a field of `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`AdapterError::TruncatedRecord`] if fewer bytes are left.
    pub fn read_bytes(&mut self, length: usize) -> Result<&'a [u8], AdapterError> {
        if length > self.remaining() {
            return Err(AdapterError::TruncatedRecord {
                position: self.position,
                needed: length,
                available: self.remaining(),
            });
        }
        let end = self.position + length;
        let field = &self.bytes[self.position..end];
        self.position = end;
        Ok(field)
    }

    /// Reads an 8-bit number.
    ///
    /// # Errors
    ///
    /// Returns [`AdapterError::TruncatedRecord`] if no byte is left.
    pub fn read_u8(&mut self) -> Result<u8, AdapterError> {
        Ok(u8::from_le_bytes(self.read_array()?))
    }

    /// Reads a 16-bit number.
    ///
    /// # Errors
    ///
    /// Returns [`AdapterError::TruncatedRecord`] if fewer than 2 bytes are left.
    pub fn read_u16(&mut self) -> Result<u16, AdapterError> {
        Ok(u16::from_le_bytes(self.read_array()?))
    }

    /// Reads a 32-bit number.
    ///
    /// # Errors
    ///
    /// Returns [`AdapterError::TruncatedRecord`] if fewer than 4 bytes are left.
    pub fn read_u32(&mut self) -> Result<u32, AdapterError> {
        Ok(u32::from_le_bytes(self.read_array()?))
    }

    /// Reads a 64-bit number.
    ///
    /// # Errors
    ///
    /// Returns [`AdapterError::TruncatedRecord`] if fewer than 8 bytes are left.
    pub fn read_u64(&mut self) -> Result<u64, AdapterError> {
        Ok(u64::from_le_bytes(self.read_array()?))
    }

    /// Reads a 32-bit floating-point number.
    ///
    /// # Errors
    ///
    /// Returns [`AdapterError::TruncatedRecord`] if fewer than 4 bytes are left, and
    /// [`AdapterError::NumberNotFinite`] if the value is infinite or not a number.
    pub fn read_f32(&mut self) -> Result<f64, AdapterError> {
        let value = f32::from_le_bytes(self.read_array()?);
        if !value.is_finite() {
            return Err(AdapterError::NumberNotFinite {
                position: self.position,
            });
        }
        Ok(f64::from(value))
    }

    /// Reads a duration, which is sent as microseconds in 32 bits.
    ///
    /// # Errors
    ///
    /// Returns [`AdapterError::TruncatedRecord`] if fewer than 4 bytes are left.
    pub fn read_duration(&mut self) -> Result<Duration, AdapterError> {
        Ok(Duration::from_micros(u64::from(self.read_u32()?)))
    }

    fn read_array<const N: usize>(&mut self) -> Result<[u8; N], AdapterError> {
        let field = self.read_bytes(N)?;
        Ok(field.try_into().expect("read_bytes returns N bytes"))
    }
}
