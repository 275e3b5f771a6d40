package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"banyanyard/node/settings"

	"github.com/pkg/errors"
)

// certCheckInterval is the shortest time between checks whether a certificate
// file has changed.
const certCheckInterval = 10 * time.Second

// callerTLS returns the TLS configuration for callers, or nil for plain text.
func (n *Node) callerTLS() (*tls.Config, error) {
	s := &n.settings.Security
	if s.CallerCertFile == "" {
		return nil, nil
	}
	c := &reloadingCertificate{certFile: s.CallerCertFile, keyFile: s.CallerKeyFile}
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

// peerTLS returns the TLS configurations for connections to and from other
// instances, or nil for plain text. Both sides present a certificate that must be
// signed by an authority in instance-ca-file. Names are not checked, since peers
// are found by address.
func peerTLS(s *settings.Security) (client, server *tls.Config, err error) {
	if s.InstanceCertFile == "" {
		return nil, nil, nil
	}
	c := &reloadingCertificate{certFile: s.InstanceCertFile, keyFile: s.InstanceKeyFile}
	if _, err := c.get(time.Now()); err != nil {
		return nil, nil, err
	}
	roots, err := readRoots(s.InstanceCAFile)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      roots,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get(time.Now()) },
	}
	client = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.get(time.Now()) },
		InsecureSkipVerify:   true, // VerifyConnection verifies the chain but not the name
		VerifyConnection:     func(state tls.ConnectionState) error { return verifyPeer(state, roots) },
	}
	return client, server, nil
}

func readRoots(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "security.instance-ca-file cannot be read")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("security.instance-ca-file %s contains no certificate: it must hold PEM certificates", file)
	}
	return roots, nil
}

func verifyPeer(state tls.ConnectionState, roots *x509.CertPool) error {
	options := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// A reloadingCertificate is reloaded when its files change, so that it can be
// renewed without a restart. While the new files are invalid, the old certificate
// stays in use.
type reloadingCertificate struct {
	certFile string
	keyFile  string

	mu       sync.Mutex
	current  *tls.Certificate // guarded by mu
	modified time.Time        // guarded by mu; modification time of certFile when current was loaded
	checked  time.Time        // guarded by mu
}

// get returns the current certificate. It checks the files for changes at most
// once per certCheckInterval.
func (c *reloadingCertificate) get(now time.Time) (*tls.Certificate, error) {
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

// reload loads the files if certFile has changed. The caller must hold mu.
func (c *reloadingCertificate) reload() error {
	info, err := os.Stat(c.certFile)
	if err != nil {
		return errors.Wrap(err, "the certificate file cannot be read")
	}
	if c.current != nil && info.ModTime().Equal(c.modified) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrapf(err, "the certificate %s and its key %s cannot be loaded as a pair", c.certFile, c.keyFile)
	}
	c.current = &pair
	c.modified = info.ModTime()
	return nil
}
