package http1

import (
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
	case status < minStatus || status > maxStatus:
		return errors.Errorf("the response has the invalid status %03d", status)
	case (status < http.StatusOK || status == http.StatusNoContent) && statesBody(response):
		return errors.Errorf("the response states a body, which one with the status %d cannot have", status)
	}
	return nil
}

// statesBody reports whether a head has a length other than 0 or a transfer encoding.
func statesBody(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 || strings.Trim(response.Header.Get("Content-Length"), "0") != ""
}
