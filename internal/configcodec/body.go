package configcodec

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"siskintide.example/siskintide/internal/configcheck"
	"siskintide.example/siskintide/internal/core"
)

// MaxBytes bounds an encoded body, and with it the memory that a malicious sender can make a
// host allocate.
const MaxBytes = 4 << 20

const maxDecodedBytes = 32 << 20 // bound of the decompressed body, against compression bombs

// Encode returns the compressed JSON form of a configuration.
func Encode(config *core.Config) ([]byte, error) {
	buffer := &bytes.Buffer{}
	writer := gzip.NewWriter(buffer)
	if err := json.NewEncoder(writer).Encode(config); err != nil {
		return nil, fmt.Errorf("encode revision %d: %w", config.Revision, err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("encode revision %d: %w", config.Revision, err)
	}
	if buffer.Len() > MaxBytes {
		return nil, fmt.Errorf("encode revision %d: %w", config.Revision, &SizeError{Bytes: buffer.Len()})
	}
	return buffer.Bytes(), nil
}

// Decode decodes the output of Encode and checks that the configuration is consistent and
// complete. The error wraps a *FormatError, a *SizeError or a *configcheck.FaultsError.
func Decode(body []byte) (*core.Config, error) {
	if len(body) > MaxBytes {
		return nil, fmt.Errorf("decode configuration: %w", &SizeError{Bytes: len(body)})
	}
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("decode configuration: %w", &FormatError{Err: err})
	}
	config := &core.Config{}
	decoder := json.NewDecoder(io.LimitReader(reader, maxDecodedBytes))
	if err := decoder.Decode(config); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", &FormatError{Err: err})
	}
	if err := configcheck.Check(config, true); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return config, nil
}
