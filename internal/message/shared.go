package message

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// maxSharedBytes bounds the memory for decoding a value. A configuration of the planned size, and
// a registry of some thousand targets, take less than 1 MiB.
const maxSharedBytes = 8 << 20

// Shared is a value that is sent to many hosts. It is encoded and compressed once, by the first link
// that sends it. It is safe for concurrent use.
type Shared[T any] struct {
	value   T
	encode  sync.Once
	encoded []byte // compressed CBOR
	failure error
}

// NewShared returns the shared form of a value, which must not be modified any more.
func NewShared[T any](value T) *Shared[T] { return &Shared[T]{value: value} }

// Value returns the value.
func (c *Shared[T]) Value() T { return c.value }

// MarshalCBOR implements cbor.Marshaler.
func (c *Shared[T]) MarshalCBOR() ([]byte, error) {
	c.encode.Do(func() { c.encoded, c.failure = compress(c.value) })
	if c.failure != nil {
		return nil, c.failure
	}
	return cbor.Marshal(c.encoded)
}

// UnmarshalCBOR implements cbor.Unmarshaler. It returns a *SizeError for a value beyond
// maxSharedBytes. The bytes are kept, so that a host that passes the value on does not encode it
// again.
func (c *Shared[T]) UnmarshalCBOR(data []byte) error {
	var encoded []byte
	if err := cbor.Unmarshal(data, &encoded); err != nil {
		return fmt.Errorf("decode shared value: %w", err)
	}
	if err := expand(encoded, &c.value); err != nil {
		return err
	}
	c.encode.Do(func() { c.encoded = encoded })
	return nil
}

func compress(value any) ([]byte, error) {
	plain, err := cbor.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode shared value: %w", err)
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("compress shared value: %w", err)
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, fmt.Errorf("compress shared value: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress shared value: %w", err)
	}
	return compressed.Bytes(), nil
}

func expand(encoded []byte, value any) error {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(encoded)), maxSharedBytes+1))
	if err != nil {
		return fmt.Errorf("expand shared value: %w", err)
	}
	if len(plain) > maxSharedBytes {
		return &SizeError{Limit: maxSharedBytes}
	}
	if err := cbor.Unmarshal(plain, value); err != nil {
		return fmt.Errorf("decode shared value: %w", err)
	}
	return nil
}
