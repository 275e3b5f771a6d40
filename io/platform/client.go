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

	"banyanyard/io/http1"
)

// maxResponseBytes is the size to which response bodies are truncated.
const maxResponseBytes = 32 << 20

// A Client calls the platform. It is safe for concurrent use.
type Client struct {
	BaseURL    string       // such as http://10.0.0.2:7000
	HTTPClient *http.Client // nil means http.DefaultClient
}

// Get returns a row, or ErrNotFound if there is none.
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

// List returns the rows of a table whose keys start with prefix.
func (c *Client) List(ctx context.Context, table, prefix string) ([]Row, error) {
	var rows []Row
	path := "/tables/" + url.PathEscape(table) + "?prefix=" + url.QueryEscape(prefix)
	return rows, c.getJSON(ctx, "list "+table, path, &rows)
}

// Insert writes a new row and returns its version. It returns a ConflictError if
// the row exists.
func (c *Client) Insert(ctx context.Context, table, key string, value any) (string, error) {
	return c.put(ctx, table, key, value, "If-None-Match", "*")
}

// Replace overwrites a row and returns its new version. It returns a ConflictError
// if the row's version is not the given one.
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

// InsertAll inserts, in one transaction, those of the rows that do not exist yet.
func (c *Client) InsertAll(ctx context.Context, table string, rows []Row) error {
	body, err := json.Marshal(rows)
	if err != nil {
		return err
	}
	_, _, err = c.do(ctx, call{op: "insert into " + table, method: http.MethodPost, path: "/tables/" + url.PathEscape(table), body: body, write: true})
	return err
}

// PutObject stores an object. Objects are immutable: storing the same object again
// has no effect.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	_, _, err := c.do(ctx, call{op: "put object", method: http.MethodPut, path: "/objects/" + url.PathEscape(key), body: data, write: true})
	return err
}

// GetObject returns an object, or ErrNotFound if there is none.
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

// Rate returns the rating service's rating of a completion.
func (c *Client) Rate(ctx context.Context, a RatingRequest) (Rating, error) {
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

// A call is one request to the platform.
type call struct {
	op     string // for error messages
	method string
	path   string
	body   []byte
	header http.Header
	write  bool // changes data
}

// do sends one request. It returns an UnavailableError for statuses other than
// 2xx, 404 and 412, and for failures of the connection.
func (c *Client) do(ctx context.Context, ca call) (*http.Response, []byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, ca.method, strings.TrimSuffix(c.BaseURL, "/")+ca.path, bytes.NewReader(ca.body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range ca.header {
		request.Header[name] = values
	}
	// Without GetBody, http.Transport cannot retry a write on another connection.
	request.GetBody = nil
	response, err := c.client().Do(request)
	if err != nil {
		return nil, nil, &UnavailableError{Op: ca.op, MayHaveTakenEffect: ca.write && !isDialError(err), Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, &UnavailableError{Op: ca.op, MayHaveTakenEffect: ca.write, Cause: err}
	}
	return response, body, statusError(ca, response.StatusCode)
}

// isDialError reports whether err means that no connection could be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// statusError returns an UnavailableError for an unexpected status. With 503 and
// 429 the service reports that it did not apply the call.
func statusError(ca call, status int) error {
	switch {
	case status < http.StatusMultipleChoices, status == http.StatusNotFound, status == http.StatusPreconditionFailed:
		return nil
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return &UnavailableError{Op: ca.op, Cause: fmt.Errorf("status %d", status)}
	}
	return &UnavailableError{Op: ca.op, MayHaveTakenEffect: ca.write, Cause: fmt.Errorf("status %d", status)}
}

// client returns the HTTP client to use. It accepts no response whose head is invalid.
func (c *Client) client() *http.Client {
	checked := http.Client{}
	if c.HTTPClient != nil {
		checked = *c.HTTPClient
	}
	checked.Transport = &http1.CheckedTransport{Base: checked.Transport}
	return &checked
}

func rowPath(table, key string) string {
	return "/tables/" + url.PathEscape(table) + "/" + url.PathEscape(key)
}
