package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"bluebellwind.example/internal/panics"
	"bluebellwind.example/upstream"
)

const (
	// slowCheckInterval is the interval at which writes to callers are looked at. A write
	// that is blocked at two looks in a row starts reading ahead.
	slowCheckInterval = 200 * time.Millisecond
	// defaultMaxUnread is how long a response may stay unread. Servers cut off responses that
	// stay unread for longer.
	defaultMaxUnread = 2 * time.Second
	// readAheadBytes is how much is read ahead at once.
	readAheadBytes = 8 << 10
	// memoryPollInterval is the interval at which a full process is asked for memory again.
	memoryPollInterval = 50 * time.Millisecond
	// lastWriteTime is the time for the last writes to a caller once the time of its request
	// is over.
	lastWriteTime = 200 * time.Millisecond
)

// errSlowCaller means that a response was ended because its caller reads it too slowly.
var errSlowCaller = errors.New("gateway: the caller reads too slowly")

// responseReader reads the body of a response for its exchange. While a write to the caller
// is blocked, another goroutine reads ahead, so that the server can go on; before that, reads
// go directly to the response.
type responseReader struct {
	response *upstream.Response
	gateway  *Gateway
	// until is when the exchange ends at the latest; zero if that is not known.
	until time.Time
	// records says that only RecordProgress ends the silence of the server, not bytes.
	records bool
	// newPolicy returns the policy of the exchange for silence of the server.
	newPolicy func() func(silence time.Duration) bool
	// interruptWrite makes a write to the caller fail.
	interruptWrite func()
	// watchCrash watches whether the server has crashed, and returns a channel that is closed
	// once that is known.
	watchCrash func() (known <-chan struct{})

	mu sync.Mutex
	// writing is set during a write to the caller; writes counts the writes, and seenWrite
	// is the write that was in progress at the last look.
	writing           bool
	writes, seenWrite uint64
	stopped           bool
	// ahead is nil until reading ahead starts. It is set only during a write of the exchange,
	// which therefore reads it without the lock.
	ahead *readAhead
}

// Read implements io.Reader. It must be called by the goroutine of the exchange.
func (r *responseReader) Read(b []byte) (int, error) {
	if r.ahead == nil {
		return r.response.Read(b)
	}
	return r.ahead.read(b)
}

// RecordProgress is that of upstream.Response.
func (r *responseReader) RecordProgress() {
	if r.ahead == nil {
		r.response.RecordProgress()
		return
	}
	r.ahead.progressAt = time.Now()
}

// writeTo writes b to the caller.
func (r *responseReader) writeTo(w http.ResponseWriter, b []byte, flush bool) error {
	r.setWriting(true)
	defer r.setWriting(false)
	if _, err := w.Write(b); err != nil || !flush {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func (r *responseReader) setWriting(writing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = writing
	if writing {
		r.writes++
	}
}

// look starts reading ahead if the write that is in progress was so at the last look.
func (r *responseReader) look() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.writing || r.ahead != nil || r.stopped || r.gateway.noReadAhead {
		return
	}
	if r.seenWrite != r.writes {
		r.seenWrite = r.writes
		return
	}
	r.ahead = newReadAhead(r)
	r.gateway.metrics.countSlowCaller("read_ahead")
	go r.ahead.run()
}

// gaveUp reports whether the response was ended because the caller reads too slowly.
func (r *responseReader) gaveUp() bool {
	r.mu.Lock()
	ahead := r.ahead
	r.mu.Unlock()
	return ahead != nil && errors.Is(ahead.result(), errSlowCaller)
}

// crashWatch returns a channel that is closed once it is known whether the server crashed; nil
// unless the response broke off while it was read ahead.
func (r *responseReader) crashWatch() <-chan struct{} {
	if r.ahead == nil {
		return nil
	}
	r.ahead.mu.Lock()
	defer r.ahead.mu.Unlock()
	return r.ahead.crashWatch
}

// stop ends reading ahead and releases its memory. It must be called before the response is
// closed.
func (r *responseReader) stop() {
	r.mu.Lock()
	r.stopped = true
	ahead := r.ahead
	r.mu.Unlock()
	if ahead != nil {
		ahead.stop()
	}
}

// readAhead reads a response into memory while its exchange writes to the caller.
type readAhead struct {
	reader      *responseReader
	limit       int64
	reservation *reservation
	// policy is that of the exchange for silence of the server; progressAt is when the
	// silence began. Both are used by the goroutine of the exchange only.
	policy     func(silence time.Duration) bool
	progressAt time.Time
	// lastRead is when the server was last read; used by run only.
	lastRead time.Time
	// arrived and taken signal that bytes, or the end, have arrived, and that bytes were
	// taken. stopping is closed by stop, done at the end of run.
	arrived, taken chan struct{}
	stopping, done chan struct{}

	mu sync.Mutex
	// chunks are the bytes that were read and not taken.
	chunks [][]byte
	// err is the end of the response; nil before it. crashWatch is the result of
	// reader.watchCrash if the server closed or reset the connection before the end.
	err        error
	crashWatch <-chan struct{}
}

func newReadAhead(r *responseReader) *readAhead {
	m := r.gateway.memory
	return &readAhead{
		reader: r, limit: m.readAheadLimit(), reservation: m.reserve(true, r.until), progressAt: time.Now(), lastRead: time.Now().Add(-2 * slowCheckInterval),
		arrived: make(chan struct{}, 1), taken: make(chan struct{}, 1), stopping: make(chan struct{}), done: make(chan struct{}),
	}
}

// run reads until the end of the response, or until the caller has left it unread for too
// long.
func (a *readAhead) run() {
	defer close(a.done)
	var err error
	defer func() { a.finish(err) }()
	defer panics.ToError("reading ahead", &err)
	// The exchange decides on silence, when it has nothing to write.
	a.reader.response.SetKeepWaiting(func(time.Duration) bool { return true })
	for err == nil {
		if err = a.awaitRoom(); err != nil {
			return
		}
		chunk := make([]byte, readAheadBytes)
		var n int
		n, err = a.reader.response.Read(chunk)
		a.lastRead = time.Now()
		a.put(chunk[:n])
	}
}

// finish sets the end of the response.
func (a *readAhead) finish(err error) {
	a.mu.Lock()
	a.err = err
	if !errors.Is(err, io.EOF) && closedByServer(err) {
		// The exchange finds out when the caller has read the rest: the server may be back then.
		a.crashWatch = a.reader.watchCrash()
	}
	a.mu.Unlock()
	signal(a.arrived)
	if errors.Is(err, errSlowCaller) {
		a.reader.response.Abort()
		a.reader.interruptWrite()
	}
}

// awaitRoom reserves memory for one chunk. The error is errSlowCaller if there is none in
// time.
func (a *readAhead) awaitRoom() error {
	var giveUp <-chan time.Time
	for {
		if a.held()+readAheadBytes <= a.limit && a.reservation.grow(readAheadBytes) {
			return nil
		}
		if giveUp == nil {
			giveUp = time.After(a.reader.gateway.maxUnread - time.Since(a.lastRead))
		}
		select {
		case <-a.taken:
		case <-time.After(memoryPollInterval):
		case <-a.stopping:
			return errStopped
		case <-giveUp:
			return errSlowCaller
		}
	}
}

// errStopped means that reading ahead has ended with its exchange.
var errStopped = errors.New("gateway: the exchange has ended")

// held returns the number of bytes that are reserved.
func (a *readAhead) held() int64 {
	a.reservation.memory.mu.Lock()
	defer a.reservation.memory.mu.Unlock()
	return a.reservation.bytes
}

func (a *readAhead) put(chunk []byte) {
	if len(chunk) == 0 {
		a.reservation.shrink(readAheadBytes)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// A server that sends single events fills little of each chunk: they are joined.
	if last := len(a.chunks) - 1; last > 0 && len(a.chunks[last])+len(chunk) <= cap(a.chunks[last]) {
		a.chunks[last] = append(a.chunks[last], chunk...)
		a.reservation.shrink(readAheadBytes)
	} else {
		a.chunks = append(a.chunks, chunk)
	}
	signal(a.arrived)
}

// result returns the end of the response; nil before it.
func (a *readAhead) result() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err
}

// read returns bytes that were read ahead, and waits for them while the exchange wants to.
func (a *readAhead) read(b []byte) (int, error) {
	var poll *time.Ticker
	for {
		n, err := a.take(b)
		if n > 0 && !a.reader.records {
			a.progressAt = time.Now()
		}
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		if poll == nil {
			poll = time.NewTicker(waitPollInterval)
			defer poll.Stop()
		}
		select {
		case <-a.arrived:
		case <-poll.C:
			if a.policy == nil {
				a.policy = a.reader.newPolicy()
			}
			if !a.policy(time.Since(a.progressAt)) {
				return 0, upstream.ErrSilent
			}
		}
	}
}

// waitPollInterval is the interval at which the exchange decides on silence.
const waitPollInterval = 100 * time.Millisecond

// take returns bytes that have been read, or the end of the response after them.
func (a *readAhead) take(b []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.chunks) == 0 {
		return 0, a.err
	}
	n := copy(b, a.chunks[0])
	if a.chunks[0] = a.chunks[0][n:]; len(a.chunks[0]) == 0 {
		a.chunks[0] = nil
		a.chunks = a.chunks[1:]
		a.reservation.shrink(readAheadBytes)
		signal(a.taken)
	}
	return n, nil
}

func (a *readAhead) stop() {
	close(a.stopping)
	select {
	case <-a.done:
	default:
		a.reader.response.Abort()
		<-a.done
	}
	a.reservation.release()
}

// signal sends to a channel with room for one value, unless there is one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// openResponses are the responses that are being relayed. It looks at them periodically
// while there are any.
type openResponses struct {
	mu      sync.Mutex
	readers map[*responseReader]struct{}
	timer   *time.Timer
}

func (o *openResponses) add(r *responseReader) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.readers == nil {
		o.readers = make(map[*responseReader]struct{})
		o.timer = time.AfterFunc(slowCheckInterval, o.look)
	} else if len(o.readers) == 0 {
		o.timer.Reset(slowCheckInterval)
	}
	o.readers[r] = struct{}{}
}

func (o *openResponses) remove(r *responseReader) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.readers, r)
}

func (o *openResponses) look() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for r := range o.readers {
		r.look()
	}
	if len(o.readers) > 0 {
		o.timer.Reset(slowCheckInterval)
	}
}
