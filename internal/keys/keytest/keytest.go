// Package keytest creates a certificate authority and certificates for simulated
// components and tests.
package keytest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"bluebellwind.example/internal/keys"
)

// validity is how long created certificates are valid.
const validity = 48 * time.Hour

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates a certificate authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "bluebellwind test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(validity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, err
}

// WriteCA writes the authority's certificate to dir/ca.pem and returns the path.
func (a *Authority) WriteCA(dir string) (string, error) {
	file := filepath.Join(dir, "ca.pem")
	return file, writePEM(file, "CERTIFICATE", a.cert.Raw)
}

// Issue creates a certificate and key for an instance with the given role and
// writes them to dir/name.pem and dir/name.key.
func (a *Authority) Issue(dir, name string, role keys.Role) (keys.Files, error) {
	files := keys.Files{
		Authority:   filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+".key"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return files, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		DNSNames:     []string{"localhost"},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return files, err
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", der); err != nil {
		return files, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, err
	}
	return files, writePEM(files.Key, "PRIVATE KEY", keyDER)
}

// WriteSecret writes a random ticket secret to dir/ticket.key and returns the
// path.
func WriteSecret(dir string) (string, error) {
	secret := make([]byte, 32)
	if _, err := rand.Read(secret); err != nil {
		return "", err
	}
	file := filepath.Join(dir, "ticket.key")
	return file, os.WriteFile(file, []byte(hex.EncodeToString(secret)), 0o600)
}

func writePEM(file, blockType string, der []byte) error {
	block := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(file, block, 0o600); err != nil {
		return fmt.Errorf("keytest: %w", err)
	}
	return nil
}
