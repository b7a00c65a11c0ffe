package claims

import (
	"context"
	"strings"
	"testing"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/platform"
)

// memoryTable is an in-memory Table whose state is used by a single goroutine.
type memoryTable struct {
	calls       chan func()
	rows        map[string]core.Row
	objects     map[string][]byte
	commits     int
	writes      int
	fail        func(commit int) error // error returned after the commit took effect
	unavailable bool
	omitKeys    bool // conflicts do not list their keys
}

func newMemoryTable(t *testing.T) *memoryTable {
	m := &memoryTable{calls: make(chan func()), rows: map[string]core.Row{}, objects: map[string][]byte{}}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case call := <-m.calls:
				call()
			case <-stop:
				return
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-stopped })
	return m
}

func (m *memoryTable) do(call func()) {
	done := make(chan struct{})
	m.calls <- func() { defer close(done); call() }
	<-done
}

func (m *memoryTable) Row(_ context.Context, key string) (row core.Row, err error) {
	m.do(func() {
		row = m.rows[key]
		if m.unavailable {
			err = &platform.UnavailableError{Call: "row"}
		}
	})
	return row, err
}

func (m *memoryTable) Rows(_ context.Context, prefix string) (rows []core.Row, err error) {
	m.do(func() {
		for key, row := range m.rows {
			if strings.HasPrefix(key, prefix) {
				rows = append(rows, row)
			}
		}
	})
	return rows, nil
}

func (m *memoryTable) Commit(_ context.Context, tx core.Transaction) (err error) {
	m.do(func() { err = m.commit(tx) })
	return err
}

func (m *memoryTable) commit(tx core.Transaction) error {
	m.commits++
	if m.unavailable {
		return &platform.UnavailableError{Call: "commit"}
	}
	conflict := &platform.ConflictError{}
	for _, c := range tx.Conditions {
		if m.rows[c.Key].Version != c.Version {
			conflict.Keys = append(conflict.Keys, c.Key)
		}
	}
	if m.omitKeys && len(conflict.Keys) > 0 {
		return &platform.ConflictError{}
	}
	if len(conflict.Keys) > 0 {
		return conflict
	}
	for _, w := range tx.Writes {
		m.writes++
		if w.Value == nil {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = core.Row{Key: w.Key, Version: m.rows[w.Key].Version + 3, Value: w.Value}
	}
	if m.fail != nil {
		return m.fail(m.commits)
	}
	return nil
}

func (m *memoryTable) PutObject(_ context.Context, key string, body []byte) error {
	m.do(func() { m.objects[key] = body })
	return nil
}

func (m *memoryTable) Object(_ context.Context, key string) (body []byte, err error) {
	m.do(func() { body = m.objects[key] })
	return body, nil
}
