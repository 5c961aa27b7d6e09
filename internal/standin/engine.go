package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tmaxmax/go-sse"
)

// headerRequestID is the header that engines and services repeat in their
// responses.
const headerRequestID = "X-Request-Id"

// DefaultTokens is the number of tokens of a response if the request sets none.
const DefaultTokens = 8

// Engine simulates a model engine. The prompt determines the response, so that
// a caller can distinguish its own response from those to other prompts.
type Engine struct {
	// FirstTokenDelay is the time to the first token, TokenInterval the time
	// between tokens.
	FirstTokenDelay, TokenInterval time.Duration

	mu        sync.Mutex
	runCounts map[string]int
	running   int
	faults    Faults
	process   *incarnation
}

// Faults are the faults injected into an engine.
type Faults struct {
	// TruncateAfter, if not zero, ends a stream after this many tokens, without
	// its final event.
	TruncateAfter int
	// WrongRequestID makes the engine respond with the ID of another request.
	WrongRequestID bool
	// RefuseRequests makes the engine refuse all requests.
	RefuseRequests bool
	// CrashText, if not empty, makes the engine crash on a prompt that contains
	// it, after the time to the first token. All connections are aborted, and a
	// new process starts.
	CrashText string
}

// NewEngine returns an engine with the given time to the first token and
// between tokens.
func NewEngine(firstTokenDelay, tokenInterval time.Duration) *Engine {
	return &Engine{FirstTokenDelay: firstTokenDelay, TokenInterval: tokenInterval, runCounts: map[string]int{}, process: newIncarnation(0)}
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// RunCount returns the number of times that the request with the given ID has
// run.
func (e *Engine) RunCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runCounts[id]
}

// Running returns the number of requests that are running.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Engine) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// TotalRuns returns the number of requests that have started to run.
func (e *Engine) TotalRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, times := range e.runCounts {
		n += times
	}
	return n
}

func (e *Engine) beginRequest(id string) (Faults, *incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runCounts[id]++
	e.running++
	return e.faults, e.process
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

func (c *chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

func (c *chatRequest) tokens() int {
	if c.MaxTokens > 0 {
		return c.MaxTokens
	}
	return DefaultTokens
}

// ResponseToken returns the i-th token of the response to prompt, counted from
// 0.
func ResponseToken(prompt string, i int) string {
	return fmt.Sprintf("%x.%d ", uint32(xxhash.Sum64String(prompt)), i)
}

// ResponseText returns the complete text of the response to prompt.
func ResponseText(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(ResponseToken(prompt, i))
	}
	return b.String()
}

// Handler serves chat completions and the health check.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("GET /health", e.health)
	return mux
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.Header.Get(headerRequestID)
	faults, process := e.beginRequest(id)
	defer e.endRequest()
	process.setHeader(w)
	w.Header().Set(headerRequestID, id)
	if faults.RefuseRequests {
		http.Error(w, "the engine refuses all requests", http.StatusServiceUnavailable)
		return
	}
	if faults.WrongRequestID {
		id = "another-request"
		w.Header().Set(headerRequestID, id)
	}
	if !process.wait(r, e.FirstTokenDelay) {
		return
	}
	if faults.crashesOn(&req) {
		e.crash(process)
		panic(http.ErrAbortHandler)
	}
	if req.Stream {
		e.serveStream(w, r, &req, id, faults, process)
		return
	}
	writeJSON(w, newCompletion(&req, id))
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, req *chatRequest, id string, faults Faults, process *incarnation) {
	w.Header().Set("Content-Type", "text/event-stream")
	prompt := req.prompt()
	for i := range req.tokens() {
		if i > 0 && !process.wait(r, e.TokenInterval) {
			return
		}
		if faults.TruncateAfter > 0 && i == faults.TruncateAfter {
			return
		}
		sendEvent(w, chunkJSON(req.Model, id, ResponseToken(prompt, i)))
	}
	sendEvent(w, "[DONE]")
}

func sendEvent(w http.ResponseWriter, data string) {
	var m sse.Message
	m.AppendData(data)
	_, _ = m.WriteTo(w) // An error means that the caller has disconnected.
	w.(http.Flusher).Flush()
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

func chunkJSON(model, id, token string) string {
	text, _ := json.Marshal(completion{
		ID: id, Object: "chat.completion.chunk", Model: model,
		Choices: []choice{{Delta: &chatMessage{Role: "assistant", Content: token}}},
	})
	return string(text)
}

func newCompletion(req *chatRequest, id string) completion {
	return completion{
		ID: id, Object: "chat.completion", Model: req.Model,
		Choices: []choice{{
			Message:      &chatMessage{Role: "assistant", Content: ResponseText(req.prompt(), req.tokens())},
			FinishReason: "stop",
		}},
	}
}
