package operator

import (
	"context"
	"fmt"

	"siskintide.example/siskintide/internal/configcodec"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/revision"
)

// readHead returns the version and content of the head row.
func readHead(ctx context.Context, store Store) (uint64, revision.Head, error) {
	row, err := store.Row(ctx, configcodec.HeadKey)
	if err != nil {
		return 0, revision.Head{}, fmt.Errorf("read head: %w", &UnavailableError{Err: err})
	}
	head, err := configcodec.DecodeHead(row)
	return row.Version, head, err
}

// readBody reads and decodes the configuration stored as an object.
func readBody(ctx context.Context, store Store, object string) (*core.Config, error) {
	body, err := store.Object(ctx, object)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", object, &UnavailableError{Err: err})
	}
	return configcodec.Decode(body)
}

// readAccepted returns the accepted configuration, or an empty one of revision 0 if none was
// accepted yet.
func readAccepted(ctx context.Context, store Store) (*core.Config, error) {
	version, head, err := readHead(ctx, store)
	if err != nil || version == 0 {
		return &core.Config{}, err
	}
	return readBody(ctx, store, head.Object)
}

// inForce returns the configuration in force at this host, or nil.
func (s *server) inForce() *core.Config {
	if catalog := s.options.State.Snapshot().Catalog; catalog != nil {
		return catalog.Config
	}
	return nil
}
