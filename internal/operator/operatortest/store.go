package operatortest

import (
	"bytes"
	"context"

	"siskintide.example/siskintide/internal/core"
)

// Store is a platform in memory. Its zero value is not usable; see NewStore. The fields
// bring about failures and are set between calls.
type Store struct {
	Unavailable         bool          // no call is answered and none takes effect
	LoseCommitResponses int           // this many commits take effect without an answer
	DropCommits         int           // this many commits take no effect and have no answer
	BeforeCommit        func()        // called once, before the next commit
	Commits             int           // commits that took effect
	owner               chan struct{} // held by the goroutine that uses the maps
	rows                map[string]core.Row
	objects             map[string][]byte
}

// NewStore returns an empty platform.
func NewStore() *Store {
	s := &Store{owner: make(chan struct{}, 1), rows: map[string]core.Row{}, objects: map[string][]byte{}}
	s.owner <- struct{}{}
	return s
}

func (s *Store) hold() func() {
	<-s.owner
	return func() { s.owner <- struct{}{} }
}

// Row returns a row of the table.
func (s *Store) Row(_ context.Context, key string) (core.Row, error) {
	defer s.hold()()
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
	defer s.hold()()
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
	defer s.hold()()
	if s.Unavailable {
		return UnavailableError{}
	}
	s.objects[key] = bytes.Clone(body)
	return nil
}

// Object returns a stored body.
func (s *Store) Object(_ context.Context, key string) ([]byte, error) {
	defer s.hold()()
	body, known := s.objects[key]
	if s.Unavailable || !known {
		return nil, UnavailableError{}
	}
	return body, nil
}
