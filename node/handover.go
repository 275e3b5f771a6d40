package node

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"

	"banyanyard/core/refusal"
	"banyanyard/io/caller"
	"banyanyard/io/http1"
	"banyanyard/io/tcp"
)

// headerHandedOver marks a request that was forwarded by another instance, so
// that it is not forwarded again.
const headerHandedOver = "Banyanyard-Handed-Over"

// copyBufferBytes is the size of the buffer used to copy a forwarded response.
const copyBufferBytes = 16 << 10

// handOverHandler forwards callers' requests to an instance that has shares of
// the upstreams while this instance has none: after its start, until the others
// know of it, and while it can't become a member because the platform fails.
type handOverHandler struct {
	node      *Node
	local     http.Handler
	scheme    string // of the instances' addresses
	transport http.RoundTripper
}

func newHandOverHandler(n *Node, dial tcp.DialFunc, c *tls.Config) *handOverHandler {
	h := &handOverHandler{node: n, local: n.handler, scheme: "http"}
	if c != nil {
		h.scheme = "https"
	}
	h.transport = &http1.CheckedTransport{Base: &http.Transport{DialContext: tcp.DialOrDefault(dial), TLSClientConfig: c, DisableCompression: true}}
	return h
}

// ServeHTTP implements http.Handler.
func (h *handOverHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.node.hasShares.Load() || r.Header.Get(headerHandedOver) != "" {
		h.local.ServeHTTP(w, r)
		return
	}
	for _, address := range h.node.members.Load().addressesWithShares(maxMembersTried) {
		if h.forward(w, r, address) {
			return
		}
	}
	h.local.ServeHTTP(w, r)
}

// forward sends a request to the instance at address and relays its response. It
// returns false if it could not connect, so that nothing of the request was sent.
func (h *handOverHandler) forward(w http.ResponseWriter, r *http.Request, address string) bool {
	request := r.Clone(r.Context())
	request.URL.Scheme = h.scheme
	request.URL.Host = address
	request.RequestURI = ""
	request.Header.Set(headerHandedOver, h.node.identity.ID)
	h.hideIdempotencyKey(request)
	response, err := h.roundTrip(request)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return false
	}
	if err != nil {
		caller.WriteRefusal(w, refusal.New(refusal.UpstreamFailed, "send the request again, with the same Idempotency-Key where it has one", "the connection to the instance that ran the request broke (%v)", err).WithMayHaveRun())
		return true
	}
	defer func() { _ = response.Body.Close() }()
	copyResponse(w, response)
	return true
}

// errNoLength reports a response that no instance sends, and whose end cannot be told from that
// of a broken connection.
var errNoLength = errors.New("the response has neither a length nor chunks")

// roundTrip sends a request to an instance and returns its response.
func (h *handOverHandler) roundTrip(request *http.Request) (*http.Response, error) {
	response, err := h.transport.RoundTrip(request)
	if err == nil && http1.EndsWithConn(response) {
		_ = response.Body.Close()
		return nil, errNoLength
	}
	return response, err
}

// hideIdempotencyKey spells the header in lower case, which http.Transport
// doesn't recognise: it retries requests with an Idempotency-Key by itself.
func (h *handOverHandler) hideIdempotencyKey(r *http.Request) {
	if key := r.Header.Values(caller.HeaderIdempotencyKey); len(key) > 0 {
		r.Header.Del(caller.HeaderIdempotencyKey)
		r.Header["idempotency-key"] = key
	}
}

// copyResponse copies a response to w as it arrives. If the response breaks off,
// the connection is aborted, so that the caller doesn't take it for complete.
func copyResponse(w http.ResponseWriter, response *http.Response) {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
