package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"siskintide.example/siskintide/internal/core"
)

// Rows reads all rows whose keys begin with the prefix, sorted by key, in one read.
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

// Row reads one row; its version is zero when it does not exist.
func (c *Client) Row(ctx context.Context, key string) (core.Row, error) {
	var body rowBody
	if err := c.readJSON(ctx, "/table/row?key="+url.QueryEscape(key), &body); err != nil {
		return core.Row{}, err
	}
	return body.row(), nil
}

// Commit carries out a transaction. It returns a *ConflictError when a condition did not
// hold, an *UnavailableError when nothing was written for another reason, and an
// *AmbiguousError when the transaction may have taken effect.
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
		return conflict(got)
	default:
		return &UnavailableError{Call: http.MethodPost + " " + path, Err: &StatusError{Status: got.status}}
	}
}

// conflict reads which keys conflicted. An unreadable list leaves the keys empty.
func conflict(got answer) *ConflictError {
	var body conflictsBody
	if err := json.Unmarshal(got.body, &body); err != nil {
		return &ConflictError{}
	}
	return &ConflictError{Keys: body.Conflicts}
}

// PutObject stores an object; it is idempotent.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	return c.put(ctx, objectPath(key), body)
}

// Object reads an object. It returns a *NotFoundError when there is none.
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

// Hosts reads the list of live and leaving hosts, which lags.
func (c *Client) Hosts(ctx context.Context) ([]core.Host, error) {
	var body hostsBody
	err := c.readJSON(ctx, "/hosts", &body)
	return body.Hosts, err
}

// Announce puts a host on the list; it is idempotent and repeated before the entry lapses.
func (c *Client) Announce(ctx context.Context, host core.Host) error {
	body, err := json.Marshal(host)
	if err != nil {
		return fmt.Errorf("encode host: %w", err)
	}
	return c.put(ctx, "/hosts/"+url.PathEscape(string(host.ID)), body)
}

// put makes a write whose answer has no content.
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

// readJSON reads one JSON answer.
func (c *Client) readJSON(ctx context.Context, path string, into any) error {
	got, err := c.read(ctx, path)
	if err != nil {
		return err
	}
	call := http.MethodGet + " " + path
	if got.status != http.StatusOK {
		return &UnavailableError{Call: call, Err: &StatusError{Status: got.status}}
	}
	if err := json.Unmarshal(got.body, into); err != nil {
		return &UnavailableError{Call: call, Err: err}
	}
	return nil
}
