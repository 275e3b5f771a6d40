package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
)

// maxAnswerBytes bounds an answer of the platform.
const maxAnswerBytes = 32 << 20

// A Client calls the platform at a base URL such as http://10.0.0.2:7000.
type Client struct {
	Base string
	HTTP *http.Client // nil means http.DefaultClient
}

// Get returns a row, or ErrNotFound.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	response, body, err := c.do(ctx, call{op: "get " + table, method: http.MethodGet, path: rowPath(table, key)})
	if err != nil {
		return Row{}, err
	}
	if response.StatusCode == http.StatusNotFound {
		return Row{}, ErrNotFound
	}
	return Row{Key: key, Value: body, Version: response.Header.Get("ETag")}, nil
}

// List returns the rows of a table whose keys begin with prefix.
func (c *Client) List(ctx context.Context, table, prefix string) ([]Row, error) {
	var rows []Row
	path := "/tables/" + url.PathEscape(table) + "?prefix=" + url.QueryEscape(prefix)
	return rows, c.getJSON(ctx, "list "+table, path, &rows)
}

// Insert writes a new row and returns its version. It fails with a
// ConflictError when the row exists.
func (c *Client) Insert(ctx context.Context, table, key string, value any) (string, error) {
	return c.put(ctx, table, key, value, "If-None-Match", "*")
}

// Replace writes a row whose version is still the given one and returns its new
// version.
func (c *Client) Replace(ctx context.Context, table, key, version string, value any) (string, error) {
	return c.put(ctx, table, key, value, "If-Match", version)
}

func (c *Client) put(ctx context.Context, table, key string, value any, condition, tag string) (string, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	response, _, err := c.do(ctx, call{
		op: "put " + table, method: http.MethodPut, path: rowPath(table, key), body: body,
		header: http.Header{condition: {tag}}, write: true,
	})
	if err != nil {
		return "", err
	}
	if response.StatusCode == http.StatusPreconditionFailed {
		return "", &ConflictError{Table: table, Key: key}
	}
	return response.Header.Get("ETag"), nil
}

// InsertAll writes, in one transaction, those rows that don't exist yet.
func (c *Client) InsertAll(ctx context.Context, table string, rows []Row) error {
	body, err := json.Marshal(rows)
	if err != nil {
		return err
	}
	_, _, err = c.do(ctx, call{op: "insert into " + table, method: http.MethodPost, path: "/tables/" + url.PathEscape(table), body: body, write: true})
	return err
}

// PutObject stores an object. Objects are immutable; storing the same one again
// has no effect.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	_, _, err := c.do(ctx, call{op: "put object", method: http.MethodPut, path: "/objects/" + url.PathEscape(key), body: data, write: true})
	return err
}

// GetObject returns an object, or ErrNotFound.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	response, body, err := c.do(ctx, call{op: "get object", method: http.MethodGet, path: "/objects/" + url.PathEscape(key)})
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusNotFound {
		return nil, ErrNotFound
	}
	return body, nil
}

// Instances returns the list of live and leaving entry instances.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var instances []Instance
	return instances, c.getJSON(ctx, "list instances", "/instances", &instances)
}

// Rate asks the rating service about an answer.
func (c *Client) Rate(ctx context.Context, a Answer) (Rating, error) {
	body, err := json.Marshal(a)
	if err != nil {
		return Rating{}, err
	}
	_, data, err := c.do(ctx, call{op: "rate", method: http.MethodPost, path: "/ratings", body: body})
	if err != nil {
		return Rating{}, err
	}
	var r Rating
	return r, json.Unmarshal(data, &r)
}

func (c *Client) getJSON(ctx context.Context, op, path string, v any) error {
	_, body, err := c.do(ctx, call{op: op, method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	return json.Unmarshal(body, v)
}

type call struct {
	op     string
	method string
	path   string
	body   []byte
	header http.Header
	write  bool
}

// do makes one call. Statuses other than success, not found and a failed
// condition become an UnavailableError.
func (c *Client) do(ctx context.Context, ca call) (*http.Response, []byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, ca.method, strings.TrimSuffix(c.Base, "/")+ca.path, bytes.NewReader(ca.body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range ca.header {
		request.Header[name] = values
	}
	// Without GetBody the transport can't repeat a write on another connection.
	request.GetBody = nil
	response, err := c.client().Do(request)
	if err != nil {
		return nil, nil, &UnavailableError{Op: ca.op, MayHaveTakenEffect: ca.write && !notSent(err), Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, &UnavailableError{Op: ca.op, MayHaveTakenEffect: ca.write, Cause: err}
	}
	return response, body, statusError(ca, response.StatusCode)
}

// notSent reports whether no connection could be made.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// statusError treats the statuses with which the service says that it has not
// applied the call as surely without effect.
func statusError(ca call, status int) error {
	switch {
	case status < http.StatusMultipleChoices, status == http.StatusNotFound, status == http.StatusPreconditionFailed:
		return nil
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return &UnavailableError{Op: ca.op, Cause: fmt.Errorf("status %d", status)}
	}
	return &UnavailableError{Op: ca.op, MayHaveTakenEffect: ca.write, Cause: fmt.Errorf("status %d", status)}
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func rowPath(table, key string) string {
	return "/tables/" + url.PathEscape(table) + "/" + url.PathEscape(key)
}
