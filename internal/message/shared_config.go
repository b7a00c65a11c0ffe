package message

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"siskintide.example/siskintide/internal/core"
)

// maxConfigBytes bounds the memory for decoding a configuration. A configuration of the planned
// size takes less than 1 MiB.
const maxConfigBytes = 8 << 20

// SharedConfig is a routing configuration that is sent to many hosts. It is encoded and
// compressed once, by the first link that sends it. It is safe for concurrent use.
type SharedConfig struct {
	config  *core.RoutingConfig
	encode  sync.Once
	encoded []byte // compressed CBOR
	failure error
}

// NewSharedConfig returns the shared form of a configuration, which must not be modified any
// more.
func NewSharedConfig(config *core.RoutingConfig) *SharedConfig { return &SharedConfig{config: config} }

// Config returns the configuration.
func (c *SharedConfig) Config() *core.RoutingConfig { return c.config }

// MarshalCBOR implements cbor.Marshaler.
func (c *SharedConfig) MarshalCBOR() ([]byte, error) {
	c.encode.Do(func() { c.encoded, c.failure = compressConfig(c.config) })
	if c.failure != nil {
		return nil, c.failure
	}
	return cbor.Marshal(c.encoded)
}

// UnmarshalCBOR implements cbor.Unmarshaler. It returns a *ConfigSizeError for a configuration
// beyond maxConfigBytes. The bytes are kept, so that a host that passes the configuration on
// does not encode it again.
func (c *SharedConfig) UnmarshalCBOR(data []byte) error {
	var encoded []byte
	if err := cbor.Unmarshal(data, &encoded); err != nil {
		return fmt.Errorf("decode shared configuration: %w", err)
	}
	config, err := expandConfig(encoded)
	if err != nil {
		return err
	}
	c.config = config
	c.encode.Do(func() { c.encoded = encoded })
	return nil
}

func compressConfig(config *core.RoutingConfig) ([]byte, error) {
	plain, err := cbor.Marshal(config)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return compressed.Bytes(), nil
}

func expandConfig(encoded []byte) (*core.RoutingConfig, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(encoded)), maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("expand configuration: %w", err)
	}
	if len(plain) > maxConfigBytes {
		return nil, &ConfigSizeError{Limit: maxConfigBytes}
	}
	config := &core.RoutingConfig{}
	if err := cbor.Unmarshal(plain, config); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return config, nil
}
