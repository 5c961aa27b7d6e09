package keys_test

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/keys"
	"bluebellwind.example/internal/keys/keytest"
)

// pair is a TLS server and a TLS client whose clock the test advances.
type pair struct {
	t              *testing.T
	dir            string
	authority      *keytest.Authority
	server, client *keys.Store
	now            time.Time
}

func newPair(t *testing.T) *pair {
	p := &pair{t: t, dir: t.TempDir(), now: time.Unix(1_800_000_000, 0)}
	p.newAuthority()
	p.server = p.open(p.issue("server", keys.Agent))
	p.client = p.open(p.issue("client", keys.Entry))
	return p
}

func (p *pair) newAuthority() {
	var err error
	p.authority, err = keytest.NewAuthority()
	assert.NilError(p.t, err)
	_, err = p.authority.WriteCA(p.dir)
	assert.NilError(p.t, err)
	p.touch("ca.pem")
}

func (p *pair) issue(name string, role keys.Role) keys.Files {
	files, err := p.authority.Issue(p.dir, name, role)
	assert.NilError(p.t, err)
	p.touch(name + ".pem")
	return files
}

func (p *pair) open(files keys.Files) *keys.Store {
	s, err := keys.Open(files)
	assert.NilError(p.t, err)
	s.SetClock(func() time.Time { return p.now })
	return s
}

// touch advances the clock by more than the interval between two checks of the
// files and sets the file's modification time to it, so that the change is
// detected.
func (p *pair) touch(name string) {
	p.now = p.now.Add(2 * time.Second)
	assert.NilError(p.t, os.Chtimes(p.dir+"/"+name, p.now, p.now))
}

// handshake makes one connection. It returns the serial number of the server's
// certificate and the errors of both sides.
func (p *pair) handshake() (serial string, serverErr, clientErr error) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	server, client := tls.Server(a, p.server.Server(keys.Entry)), tls.Client(b, p.client.Client(keys.Agent))
	done := make(chan error, 1)
	go func() {
		err := server.Handshake()
		if err != nil {
			a.Close()
		}
		done <- err
	}()
	clientErr = client.Handshake()
	if clientErr == nil {
		serial = client.ConnectionState().PeerCertificates[0].SerialNumber.String()
		go func() { _, _ = client.Read(make([]byte, 1)) }() // net.Pipe is unbuffered: lets the server complete its last writes.
	} else {
		b.Close()
	}
	return serial, <-done, clientErr
}

func (p *pair) mustHandshake() string {
	p.t.Helper()
	serial, serverErr, clientErr := p.handshake()
	assert.NilError(p.t, serverErr)
	assert.NilError(p.t, clientErr)
	return serial
}

func TestChangedFilesServeNewHandshakes(t *testing.T) {
	p := newPair(t)
	first := p.mustHandshake()
	assert.Equal(t, p.mustHandshake(), first)
	p.issue("server", keys.Agent)
	second := p.mustHandshake()
	assert.Assert(t, second != first, "the replaced certificate is still in use")

	// After the authority is replaced, certificates of the old one are rejected.
	p.newAuthority()
	_, serverErr, clientErr := p.handshake()
	assert.Assert(t, serverErr != nil || clientErr != nil)
	p.issue("server", keys.Agent)
	p.issue("client", keys.Entry)
	assert.Assert(t, p.mustHandshake() != second)
}

func TestWrongRoleIsRefusedOnBothSides(t *testing.T) {
	p := newPair(t)
	p.issue("client", keys.Operator)
	_, serverErr, _ := p.handshake()
	assert.ErrorIs(t, serverErr, keys.ErrRole)
	p.issue("client", "")
	_, serverErr, _ = p.handshake()
	assert.ErrorIs(t, serverErr, keys.ErrRole)
	p.issue("client", keys.Entry)
	p.issue("server", keys.Entry)
	_, _, clientErr := p.handshake()
	assert.ErrorIs(t, clientErr, keys.ErrRole)
}

func TestBadFileLeavesTheLastGoodKeys(t *testing.T) {
	p := newPair(t)
	first := p.mustHandshake()
	for _, broken := range []struct{ name, text string }{
		{"server.pem", "not a certificate"},
		{"server.key", ""},
		{"ca.pem", "nothing here"},
	} {
		original, err := os.ReadFile(p.dir + "/" + broken.name)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(p.dir+"/"+broken.name, []byte(broken.text), 0o600))
		p.touch(broken.name)
		assert.Equal(t, p.mustHandshake(), first, broken.name)
		assert.Assert(t, p.server.Err() != nil, broken.name)
		assert.NilError(t, os.WriteFile(p.dir+"/"+broken.name, original, 0o600))
		p.touch(broken.name)
		assert.Equal(t, p.mustHandshake(), first, broken.name)
		assert.NilError(t, p.server.Err(), broken.name)
	}
	assert.NilError(t, os.Remove(p.dir+"/server.key"))
	p.now = p.now.Add(2 * time.Second)
	assert.Equal(t, p.mustHandshake(), first)
	assert.Assert(t, p.server.Err() != nil)
}
