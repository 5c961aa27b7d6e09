package upstream

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// waitPollInterval is the interval at which Request.KeepWaiting is called during
	// silence.
	waitPollInterval = 100 * time.Millisecond
	// usualPauses times the usual pause of a response is how long a silence in it lasts
	// before KeepWaiting is called for the first time, from waitPollInterval to
	// maxFirstPoll. Each call costs a wake-up and a read that finds nothing.
	usualPauses  = 2
	maxFirstPoll = 250 * time.Millisecond
	// pauseWeight is the weight of the latest pause in the usual one.
	pauseWeight = 4
	// maxHeadBytes bounds what is read of a server until the header of its answer is
	// complete, with interim answers and answers to other requests.
	maxHeadBytes = 256 << 10
	// maxDrainBytes and maxDrainTime bound what is read of an answer that is not needed.
	maxDrainBytes = 64 << 10
	maxDrainTime  = 200 * time.Millisecond
)

// ErrSilent says that the server sent nothing of use until KeepWaiting returned false.
// Pool.Send returns it as the cause of an *Error, and Response.Read as it is.
var ErrSilent = errors.New("the server is silent")

// errTooLong says that a server has sent more than an answer may have at this point.
var errTooLong = errors.New("the server sends too much that is no answer")

// patience decides how much is read from a server, and how long it is waited for.
type patience struct {
	// keepWaiting is Request.KeepWaiting of the current request; nil waits without limit.
	keepWaiting func(silence time.Duration) bool
	// limited says that only bytesLeft more bytes may be read.
	limited   bool
	bytesLeft int
	// bytesCount says that bytes end the silence of the server; if not, only
	// recordProgress does.
	bytesCount bool
	// progressed is set until the next read if the silence has ended. It began at
	// silentSince and keepWaiting is next called at askAt.
	progressed         bool
	silentSince, askAt time.Time
	// usualPause is the moving average of the silences that have ended.
	usualPause time.Duration
	// lost is the error of all reads once it is set: readers of headers pass over errors.
	lost error
}

// headPatience returns the patience with a server that has not begun its answer.
func headPatience(keepWaiting func(time.Duration) bool) patience {
	return patience{keepWaiting: keepWaiting, limited: true, bytesLeft: maxHeadBytes, progressed: true}
}

// bodyPatience returns the patience with a server that has begun its answer.
func bodyPatience(keepWaiting func(time.Duration) bool) patience {
	return patience{keepWaiting: keepWaiting, bytesCount: true, progressed: true}
}

// drainPatience returns the patience with the rest of an answer that is not needed.
func drainPatience() patience {
	return patience{
		keepWaiting: func(waited time.Duration) bool { return waited < maxDrainTime },
		limited:     true, bytesLeft: maxDrainBytes, progressed: true,
	}
}

// recordProgress records that the server has sent something of use.
func (p *patience) recordProgress() { p.progressed = true }

// read reads from c. While the server sends nothing of use, it asks keepWaiting whether to
// go on.
func (p *patience) read(c net.Conn, b []byte) (int, error) {
	if p.limited && p.bytesLeft == 0 {
		p.lost = errTooLong
	}
	if p.lost != nil {
		return 0, p.lost
	}
	if p.limited {
		b = b[:min(len(b), p.bytesLeft)]
	}
	n, err := p.readPatiently(c, b)
	p.bytesLeft -= n
	return n, err
}

func (p *patience) readPatiently(c net.Conn, b []byte) (int, error) {
	if p.keepWaiting == nil {
		return c.Read(b)
	}
	if p.progressed || p.bytesCount {
		p.beginSilence(time.Now())
	}
	for {
		if now := time.Now(); !now.Before(p.askAt) {
			p.askAt = now.Add(waitPollInterval)
			if !p.keepWaiting(now.Sub(p.silentSince)) {
				p.lost = ErrSilent
				return 0, p.lost
			}
		}
		if err := c.SetReadDeadline(p.askAt); err != nil {
			return 0, err
		}
		n, err := c.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// beginSilence begins a silence, which ends the one before.
func (p *patience) beginSilence(now time.Time) {
	if !p.silentSince.IsZero() {
		p.usualPause += (now.Sub(p.silentSince) - p.usualPause) / pauseWeight
	}
	p.silentSince, p.progressed = now, false
	p.askAt = now.Add(min(max(waitPollInterval, usualPauses*p.usualPause), maxFirstPoll))
}
