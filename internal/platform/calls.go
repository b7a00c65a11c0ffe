package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"siskintide.example/siskintide/internal/core"
)

// Rows reads all rows whose keys start with the prefix in one call, sorted by key.
func (c *Client) Rows(ctx context.Context, prefix string) ([]core.Row, error) {
	var body rowsBody
	if err := c.readJSON(ctx, "/table/rows?prefix="+url.QueryEscape(prefix), &body); err != nil {
		return nil, err
	}
	rows := make([]core.Row, len(body.Rows))
	for i, row := range body.Rows {
		rows[i] = row.row()
	}
	return rows, nil
}

// Row reads one row. The version is zero if the row does not exist.
func (c *Client) Row(ctx context.Context, key string) (core.Row, error) {
	var body rowBody
	if err := c.readJSON(ctx, "/table/row?key="+url.QueryEscape(key), &body); err != nil {
		return core.Row{}, err
	}
	return body.row(), nil
}

// Commit executes a transaction. It returns a *ConflictError if a condition did not hold,
// an *UnavailableError if nothing was written for another reason, and an *AmbiguousError
// if the transaction may have taken effect.
func (c *Client) Commit(ctx context.Context, tx core.Transaction) error {
	const path = "/table/commit"
	body, err := json.Marshal(newTransactionBody(tx))
	if err != nil {
		return fmt.Errorf("encode transaction: %w", err)
	}
	got, err := c.write(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	switch got.status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return newConflictError(got)
	default:
		return &UnavailableError{Call: http.MethodPost + " " + path, Err: &StatusError{Status: got.status}}
	}
}

// newConflictError decodes the keys that conflicted. If the body cannot be decoded, Keys is
// empty.
func newConflictError(got response) *ConflictError {
	var body conflictsBody
	if err := json.Unmarshal(got.body, &body); err != nil {
		return &ConflictError{}
	}
	return &ConflictError{Keys: body.Conflicts}
}

// PutObject stores an object. It is idempotent.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	return c.put(ctx, objectPath(key), body)
}

// Object reads an object. It returns a *NotFoundError if the object does not exist.
func (c *Client) Object(ctx context.Context, key string) ([]byte, error) {
	path := objectPath(key)
	got, err := c.read(ctx, path)
	if err != nil {
		return nil, err
	}
	switch got.status {
	case http.StatusOK:
		return got.body, nil
	case http.StatusNotFound:
		return nil, &NotFoundError{Key: key}
	default:
		return nil, &UnavailableError{Call: http.MethodGet + " " + path, Err: &StatusError{Status: got.status}}
	}
}

func objectPath(key string) string {
	return (&url.URL{Path: "/objects/" + key}).EscapedPath()
}

// Hosts reads the list of live and leaving hosts. Changes to the list appear with a delay.
func (c *Client) Hosts(ctx context.Context) ([]core.Host, error) {
	var body hostsBody
	err := c.readJSON(ctx, "/hosts", &body)
	return body.Hosts, err
}

// Announce adds a host to the list or renews its entry. It is idempotent; callers repeat it
// before the entry expires.
func (c *Client) Announce(ctx context.Context, host core.Host) error {
	body, err := json.Marshal(host)
	if err != nil {
		return fmt.Errorf("encode host: %w", err)
	}
	return c.put(ctx, "/hosts/"+url.PathEscape(string(host.ID)), body)
}

// put sends a write whose response body is ignored.
func (c *Client) put(ctx context.Context, path string, body []byte) error {
	got, err := c.write(ctx, http.MethodPut, path, body)
	if err != nil {
		return err
	}
	if got.status >= http.StatusMultipleChoices {
		return &UnavailableError{Call: http.MethodPut + " " + path, Err: &StatusError{Status: got.status}}
	}
	return nil
}

// readJSON sends a read and decodes the JSON response.
func (c *Client) readJSON(ctx context.Context, path string, v any) error {
	got, err := c.read(ctx, path)
	if err != nil {
		return err
	}
	call := http.MethodGet + " " + path
	if got.status != http.StatusOK {
		return &UnavailableError{Call: call, Err: &StatusError{Status: got.status}}
	}
	if err := json.Unmarshal(got.body, v); err != nil {
		return &UnavailableError{Call: call, Err: err}
	}
	return nil
}
