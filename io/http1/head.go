package http1

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// The statuses of responses (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error if the head of a response is not a valid one. It is for heads
// that net/http has parsed, which accepts some that other recipients reject or read in another
// way.
func CheckHead(response *http.Response) error {
	status := response.StatusCode
	switch {
	case response.ProtoMajor != 1:
		return errors.Errorf("the response has the version %s of another protocol", response.Proto)
	case status < minStatus || status > maxStatus:
		return errors.Errorf("the response has the invalid status %03d", status)
	case (status < http.StatusOK || status == http.StatusNoContent) && statesBody(response):
		return errors.Errorf("the response states a body, which one with the status %d cannot have", status)
	}
	for name := range response.Header {
		if !isToken(name) {
			return errors.Errorf("the response has a field with the invalid name %q", name)
		}
	}
	return nil
}

// statesBody reports whether a head has a length other than 0 or a transfer encoding.
func statesBody(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 || strings.Trim(response.Header.Get("Content-Length"), "0") != ""
}

// http10 is how a response of that version begins. It must have no transfer encoding (RFC 9112,
// section 6.1), but net/http removes the field, so that the encoding would be part of the body.
const http10 = "HTTP/1.0"

// hasTransferEncoding reports whether the head at the start of text has a field
// Transfer-Encoding.
func hasTransferEncoding(text []byte) bool {
	for line := range bytes.Lines(text) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return true
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
	}
	return false
}

// isToken reports whether text is a token (RFC 9110, section 5.6.2), as the name of a field
// must be.
func isToken(text string) bool {
	for i := range len(text) {
		c := text[i]
		isAlphanumeric := '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return text != ""
}
