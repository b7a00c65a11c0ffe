package operatortest

import (
	"bytes"
	"context"

	"siskintide.example/siskintide/internal/core"
)

// Store is an in-memory platform, created by NewStore. Its exported fields inject failures;
// they are set between calls or by BeforeCommit.
type Store struct {
	Unavailable         bool          // calls fail without effect
	LoseCommitResponses int           // number of commits that take effect but return an error
	DropCommits         int           // number of commits that fail without effect
	BeforeCommit        func()        // called once before the next commit
	Commits             int           // number of commits that took effect
	lock                chan struct{} // holds a token while no goroutine uses the maps
	rows                map[string]core.Row
	objects             map[string][]byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{lock: make(chan struct{}, 1), rows: map[string]core.Row{}, objects: map[string][]byte{}}
	s.lock <- struct{}{}
	return s
}

// acquireLock acquires the lock and returns the function that releases it.
func (s *Store) acquireLock() func() {
	<-s.lock
	return func() { s.lock <- struct{}{} }
}

// Row returns a row of the table.
func (s *Store) Row(_ context.Context, key string) (core.Row, error) {
	defer s.acquireLock()()
	if s.Unavailable {
		return core.Row{}, UnavailableError{}
	}
	row := s.rows[key]
	row.Key = key
	return row, nil
}

// Commit writes rows if all conditions hold.
func (s *Store) Commit(_ context.Context, transaction core.Transaction) error {
	if before := s.BeforeCommit; before != nil {
		s.BeforeCommit = nil
		before()
	}
	defer s.acquireLock()()
	if s.Unavailable || s.DropCommits > 0 {
		s.DropCommits = max(s.DropCommits-1, 0)
		return UnavailableError{}
	}
	for _, condition := range transaction.Conditions {
		if s.rows[condition.Key].Version != condition.Version {
			return UnavailableError{}
		}
	}
	for _, write := range transaction.Writes {
		s.rows[write.Key] = core.Row{Key: write.Key, Version: s.rows[write.Key].Version + 1, Value: bytes.Clone(write.Value)}
	}
	s.Commits++
	if s.LoseCommitResponses > 0 {
		s.LoseCommitResponses--
		return UnavailableError{}
	}
	return nil
}

// PutObject stores a body.
func (s *Store) PutObject(_ context.Context, key string, body []byte) error {
	defer s.acquireLock()()
	if s.Unavailable {
		return UnavailableError{}
	}
	s.objects[key] = bytes.Clone(body)
	return nil
}

// Object returns a stored body.
func (s *Store) Object(_ context.Context, key string) ([]byte, error) {
	defer s.acquireLock()()
	body, known := s.objects[key]
	if s.Unavailable || !known {
		return nil, UnavailableError{}
	}
	return body, nil
}
