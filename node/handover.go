package node

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"

	"banyanyard/core/refusal"
	"banyanyard/io/caller"
	"banyanyard/io/tcp"
)

// headerHandedOver marks a request that another instance has handed over, so
// that it is not handed over again.
const headerHandedOver = "Banyanyard-Handed-Over"

// copyBytes is the size of the buffer that carries a handed-over answer.
const copyBytes = 16 << 10

// handOver passes callers' requests to an instance that has shares, while this
// instance has none: after its start, until the others know of it, and for as
// long as the platform can't make it a member.
type handOver struct {
	node      *Node
	local     http.Handler
	transport *http.Transport
}

func newHandOver(n *Node, dial tcp.DialFunc, c *tls.Config) *handOver {
	return &handOver{
		node:      n,
		local:     n.handler,
		transport: &http.Transport{DialContext: tcp.DialOrDefault(dial), TLSClientConfig: c, DisableCompression: true},
	}
}

// ServeHTTP implements http.Handler.
func (h *handOver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.node.sharing.Load() || r.Header.Get(headerHandedOver) != "" {
		h.local.ServeHTTP(w, r)
		return
	}
	for _, address := range h.node.members.Load().sharers(asksPerNeed) {
		if h.pass(w, r, address) {
			return
		}
	}
	h.local.ServeHTTP(w, r)
}

// pass hands a request over. It returns false when the other instance can't be
// reached, so that nothing of the request was sent.
func (h *handOver) pass(w http.ResponseWriter, r *http.Request, address string) bool {
	request := r.Clone(r.Context())
	request.URL.Scheme = "http"
	if h.transport.TLSClientConfig != nil {
		request.URL.Scheme = "https"
	}
	request.URL.Host = address
	request.RequestURI = ""
	request.Header.Set(headerHandedOver, h.node.identity.ID)
	h.hideIdempotencyKey(request)
	response, err := h.transport.RoundTrip(request)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return false
	}
	if err != nil {
		caller.WriteRefusal(w, refusal.New(refusal.UpstreamFailed, "send the request again, with the same Idempotency-Key where it has one", "the instance that answered it broke off (%v)", err).WithMayHaveRun())
		return true
	}
	defer func() { _ = response.Body.Close() }()
	relay(w, response)
	return true
}

// hideIdempotencyKey spells the header in a way that the transport doesn't
// know, since it would repeat such a request by itself.
func (h *handOver) hideIdempotencyKey(r *http.Request) {
	if key := r.Header.Values(caller.HeaderIdempotencyKey); len(key) > 0 {
		r.Header.Del(caller.HeaderIdempotencyKey)
		r.Header["idempotency-key"] = key
	}
}

// relay copies an answer as it arrives. An answer that breaks off is cut, so
// that it doesn't look whole.
func relay(w http.ResponseWriter, response *http.Response) {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	control := http.NewResponseController(w)
	buffer := make([]byte, copyBytes)
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
