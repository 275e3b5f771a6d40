package http1

import (
	"net/http"

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
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errors.Errorf("the response has the invalid status %03d", response.StatusCode)
	}
	return nil
}
