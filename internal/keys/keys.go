// Package keys provides TLS configurations from the certificate files of a
// process and reloads the files when they change, without a restart.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// Role is the role of a peer, which the authority certifies as the
// organisational unit (OU) of the certificate's subject.
type Role string

// Roles in certificates.
const (
	Entry    Role = "entry"
	Agent    Role = "agent"
	Operator Role = "operator"
)

// recheckInterval is the minimum time between two checks of the files'
// modification times.
const recheckInterval = time.Second

// ErrRole is returned if the role in a peer's certificate is not one of the
// allowed roles.
var ErrRole = errors.New("keys: role in the peer's certificate is not allowed")

// Files holds the paths of the PEM files of one identity. Authority may be empty
// for a listener that does not request client certificates.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Store provides TLS configurations from Files. It is safe for concurrent use. If
// the files cannot be reloaded, the last valid certificates stay in use.
type Store struct {
	files Files
	// now returns the current time; tests replace it.
	now func() time.Time

	mu        sync.Mutex
	checkedAt time.Time
	// stamps are the modification times of the loaded files.
	stamps [3]time.Time
	cert   *tls.Certificate
	pool   *x509.CertPool
	// lastErr is the error of the last reload, or nil.
	lastErr error
}

// Open loads files and returns an error if they are not valid.
func Open(files Files) (*Store, error) {
	s := &Store{files: files, now: time.Now}
	if err := s.reloadIfChanged(); err != nil {
		return nil, err
	}
	return s, nil
}

// Err returns the error of the last reload, or nil if it succeeded.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastErr
}

// Server returns the TLS configuration of a listener, which loads changed files
// at the next handshake. If roles are given, a client must present a certificate
// that is signed by the authority and has one of them.
func (s *Store) Server(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(roles), nil
		},
	}
}

func (s *Store) serverConfig(roles []Role) *tls.Config {
	cert, pool := s.current()
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
	if len(roles) == 0 {
		return cfg
	}
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	cfg.ClientCAs = pool
	cfg.VerifyConnection = func(cs tls.ConnectionState) error { return checkRole(cs, roles) }
	return cfg
}

// Client returns the TLS configuration for one connection to a peer with one of
// roles. Peers are verified by authority and role, not by host name, because the
// address changes whenever an instance is replaced.
func (s *Store) Client(roles ...Role) *tls.Config {
	cert, pool := s.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*cert},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain and the role.
		VerifyConnection: func(cs tls.ConnectionState) error {
			if err := checkChain(cs, pool); err != nil {
				return err
			}
			return checkRole(cs, roles)
		},
	}
}

// RoleOf returns the role in the peer's certificate, or "" if there is none.
func RoleOf(cs tls.ConnectionState) Role {
	if len(cs.PeerCertificates) == 0 || len(cs.PeerCertificates[0].Subject.OrganizationalUnit) == 0 {
		return ""
	}
	return Role(cs.PeerCertificates[0].Subject.OrganizationalUnit[0])
}

func checkRole(cs tls.ConnectionState, roles []Role) error {
	if role := RoleOf(cs); !slices.Contains(roles, role) {
		return fmt.Errorf("%w: %q", ErrRole, role)
	}
	return nil
}

func checkChain(cs tls.ConnectionState, pool *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("keys: the peer presented no certificate")
	}
	opts := x509.VerifyOptions{
		Roots:         pool,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}

// current returns the certificate and the CA pool, reloaded if the files changed.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	stale := s.now().Sub(s.checkedAt) > recheckInterval
	s.mu.Unlock()
	if stale {
		_ = s.reloadIfChanged() // On an error the last valid certificates stay in use; Err returns it.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cert, s.pool
}

// reloadIfChanged loads the files if any of them changed since the last load.
func (s *Store) reloadIfChanged() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkedAt = s.now()
	stamps, err := s.modTimes()
	if err == nil && s.cert != nil && stamps == s.stamps {
		return nil
	}
	if err == nil {
		err = s.readFiles()
	}
	s.lastErr = err
	if err == nil {
		s.stamps = stamps
	}
	return err
}

// modTimes returns the modification times of the files.
func (s *Store) modTimes() (stamps [3]time.Time, err error) {
	for i, name := range []string{s.files.Authority, s.files.Certificate, s.files.Key} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, fmt.Errorf("keys: %w", err)
		}
		stamps[i] = info.ModTime()
	}
	return stamps, nil
}

// readFiles loads the certificate, its key and the CA certificates.
func (s *Store) readFiles() error {
	cert, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return fmt.Errorf("keys: %s: %w", s.files.Certificate, err)
	}
	pool := x509.NewCertPool()
	if s.files.Authority != "" {
		pem, err := os.ReadFile(s.files.Authority)
		if err != nil {
			return fmt.Errorf("keys: %w", err)
		}
		if !pool.AppendCertsFromPEM(pem) {
			return fmt.Errorf("keys: %s: no PEM certificate found", s.files.Authority)
		}
	}
	s.cert, s.pool = &cert, pool
	return nil
}
