package node

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// certCheckInterval is the time between looks at whether a certificate file has
// changed.
const certCheckInterval = 10 * time.Second

// callerTLS returns the configuration for callers, or nil for plain text.
func (n *Node) callerTLS() (*tls.Config, error) {
	s := &n.settings.Security
	if s.CallerCertFile == "" {
		return nil, nil
	}
	c := &certificate{certFile: s.CallerCertFile, keyFile: s.CallerKeyFile}
	if _, err := c.get(time.Now()); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.get(time.Now())
		},
	}, nil
}

// A certificate is read from files again when they change, so that it can be
// renewed without a restart. While the new files are damaged, the old
// certificate stays in use.
type certificate struct {
	certFile string
	keyFile  string

	mu       sync.Mutex
	current  *tls.Certificate // guarded by mu
	modified time.Time        // guarded by mu; of certFile when current was read
	checked  time.Time        // guarded by mu
}

func (c *certificate) get(now time.Time) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && now.Sub(c.checked) < certCheckInterval {
		return c.current, nil
	}
	c.checked = now
	if err := c.reload(); err != nil && c.current == nil {
		return nil, err
	}
	return c.current, nil
}

// reload reads the files when they have changed. Its caller holds mu.
func (c *certificate) reload() error {
	info, err := os.Stat(c.certFile)
	if err != nil {
		return errors.Wrap(err, "the certificate cannot be read")
	}
	if c.current != nil && info.ModTime().Equal(c.modified) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrapf(err, "the certificate %s and its key %s do not fit", c.certFile, c.keyFile)
	}
	c.current = &pair
	c.modified = info.ModTime()
	return nil
}
