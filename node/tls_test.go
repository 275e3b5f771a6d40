package node

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"banyanyard/fake/network"
	"banyanyard/node/settings"

	"github.com/matryer/is"
)

// An authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, file: filepath.Join(t.TempDir(), "ca.pem")}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes a certificate and its key into dir, and returns the settings that
// name the files.
func (a *authority) issue(dir, name string) settings.Security {
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	s := settings.Security{InstanceCertFile: filepath.Join(dir, "cert.pem"), InstanceKeyFile: filepath.Join(dir, "key.pem"), InstanceCAFile: a.file}
	writePEM(a.t, s.InstanceCertFile, "CERTIFICATE", der)
	writePEM(a.t, s.InstanceKeyFile, "EC PRIVATE KEY", keyDER)
	return s
}

// handshake connects a client to a server and returns the common name of the
// server's certificate.
func handshake(t *testing.T, client, server *tls.Config) (string, error) {
	var n network.Network
	l, err := n.Listen("10.0.0.1:8081", "d0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		accepted, err := l.Accept()
		if err != nil {
			return
		}
		s := tls.Server(accepted, server)
		if s.Handshake() == nil {
			_, _ = s.Write([]byte("x"))
		}
		_ = accepted.Close()
	}()
	raw, err := n.DialerAt("d0").DialContext(t.Context(), "tcp", "10.0.0.1:8081")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	c := tls.Client(raw, client)
	if err := c.Handshake(); err != nil {
		return "", err
	}
	// With TLS 1.3 a client learns only when it reads whether the server accepted
	// its certificate.
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return "", err
	}
	return c.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

func TestInstancesAuthenticateEachOther(t *testing.T) {
	is := is.New(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	first, second, stranger := ours.issue(t.TempDir(), "first"), ours.issue(t.TempDir(), "second"), theirs.issue(t.TempDir(), "stranger")
	_, server, err := peerTLS(&first)
	is.NoErr(err)
	client, _, err := peerTLS(&second)
	is.NoErr(err)
	name, err := handshake(t, client, server)
	is.NoErr(err)
	is.Equal(name, "first")

	strangeClient, strangeServer, err := peerTLS(&stranger)
	is.NoErr(err)
	_, err = handshake(t, strangeClient, server)
	is.True(err != nil) // the server rejects a client of another authority
	_, err = handshake(t, client, strangeServer)
	is.True(err != nil) // the client rejects a server of another authority
	_, err = handshake(t, &tls.Config{InsecureSkipVerify: true}, server)
	is.True(err != nil) // the server rejects a client without a certificate
}

func TestCertificateIsReloadedWhenFileChanges(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	dir := t.TempDir()
	s := a.issue(dir, "old")
	c := &reloadingCertificate{certFile: s.InstanceCertFile, keyFile: s.InstanceKeyFile}
	now := time.Now()
	commonName := func(at time.Time) string {
		got, err := c.get(at)
		is.NoErr(err)
		leaf, err := x509.ParseCertificate(got.Certificate[0])
		is.NoErr(err)
		return leaf.Subject.CommonName
	}
	is.Equal(commonName(now), "old")
	a.issue(dir, "new")
	is.NoErr(os.Chtimes(s.InstanceCertFile, now, now.Add(time.Second)))
	is.Equal(commonName(now.Add(2*certCheckInterval)), "new")
	is.NoErr(os.WriteFile(s.InstanceCertFile, []byte("damaged"), 0o600))
	is.Equal(commonName(now.Add(4*certCheckInterval)), "new") // until the file is valid again
}
