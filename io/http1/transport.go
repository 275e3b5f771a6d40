package http1

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
)

// maxInformational is the largest number of informational responses before a response.
const maxInformational = 16

// A CheckedTransport is an http.RoundTripper that returns an error for a response whose head,
// or that of an informational response before it, is not valid according to CheckHead. The zero
// CheckedTransport is ready to use.
type CheckedTransport struct {
	Base http.RoundTripper // nil means http.DefaultTransport
}

// RoundTrip implements http.RoundTripper.
func (t *CheckedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	base := t.Base
	if base == nil {
		base = http.DefaultTransport
	}
	informational := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
		// net/http does not bound them for a caller that looks at them.
		if informational++; informational > maxInformational {
			return errors.Errorf("there are more than %d informational responses", maxInformational)
		}
		return CheckHead(&http.Response{ProtoMajor: 1, StatusCode: status, Header: http.Header(header)})
	}}
	response, err := base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
