package main

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"bluebellwind.example/internal/standin"
)

const (
	responseTokens = 12
	requestTimeout = 30 * time.Second
	// maxTicketAttempts limits the number of requests for a ticket. An entry that
	// has not discovered its servers yet issues none.
	maxTicketAttempts = 50
	ticketRetryDelay  = 100 * time.Millisecond
	// maxAttempts limits the number of attempts of a request that exceeds its
	// limit.
	maxAttempts = 10
)

type loadCommand struct {
	Entries []string `required:"" help:"Addresses of entries."`
	Token   string   `required:"" help:"Bearer token of the organisation."`
	Model   string   `default:"certificate-8b" help:"Model of drafts and streams."`
	Pledges int      `default:"30" help:"Number of pledges; each is sent twice, to two entries."`
	Drafts  int      `default:"30" help:"Number of whole drafts."`
	Streams int      `default:"30" help:"Number of streams."`
}

// loader sends requests and counts their outcomes. It is safe for concurrent
// use.
type loader struct {
	cmd        *loadCommand
	httpClient *http.Client

	mu     sync.Mutex
	counts map[string]int
	errs   []error
}

// Run sends the requests and prints the counts of their outcomes.
func (c *loadCommand) Run() error {
	l := &loader{cmd: c, counts: map[string]int{}, httpClient: &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}, //nolint:gosec // Loopback only.
	}}
	var wg sync.WaitGroup
	for i := range c.Pledges {
		wg.Go(func() { l.record("pledges recorded once, sent twice", l.pledge(i)) })
	}
	for i := range c.Drafts {
		wg.Go(func() { l.record("drafts whole and own", l.draft(i)) })
	}
	for i := range c.Streams {
		wg.Go(func() { l.record("streams whole and own", l.stream(i)) })
	}
	wg.Wait()
	for outcome, n := range l.counts {
		fmt.Printf("  %-36s %d\n", outcome, n)
	}
	return errors.Join(l.errs...)
}

func (l *loader) record(outcome string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.errs = append(l.errs, fmt.Errorf("%s: %w", outcome, err))
		return
	}
	l.counts[outcome]++
}

func (l *loader) entryURL(i int) string { return "https://" + l.cmd.Entries[i%len(l.cmd.Entries)] }

// pledge sends one pledge through two entries with the same ticket and checks
// that the responses are equal.
func (l *loader) pledge(i int) error {
	body := fmt.Sprintf(`{"pledge":%q,"seedlings":%d}`, uuid.NewString(), i+1)
	ticket, err := l.ticket(i, body)
	if err != nil {
		return err
	}
	first, err := l.send(l.entryURL(i), "/pledges", body, ticket)
	if err != nil {
		return err
	}
	second, err := l.send(l.entryURL(i+1), "/pledges", body, ticket)
	if err != nil {
		return err
	}
	if first != second {
		return fmt.Errorf("the two responses to one pledge differ: %q and %q", first, second)
	}
	return nil
}

func (l *loader) ticket(i int, body string) (string, error) {
	for range maxTicketAttempts {
		res, err := l.post(l.entryURL(i), "/pledges", body, "")
		if err != nil {
			return "", err
		}
		res.Body.Close()
		if t := res.Header.Get("Idempotency-Key"); t != "" {
			return t, nil
		}
		time.Sleep(max(ticketRetryDelay, retryAfter(res)))
	}
	return "", errors.New("no entry issued a ticket")
}

func (l *loader) draft(i int) error {
	prompt := fmt.Sprintf("certificate for class %d", i)
	text, err := l.send(l.entryURL(i), "/v1/chat/completions", l.chatBody(prompt, false), "")
	if err != nil {
		return err
	}
	if want := standin.ResponseText(prompt, responseTokens); !strings.Contains(text, want) {
		return fmt.Errorf("not the response to this prompt: %q", text)
	}
	return nil
}

func (l *loader) stream(i int) error {
	prompt := fmt.Sprintf("species for county %d", i)
	text, err := l.send(l.entryURL(i), "/v1/chat/completions", l.chatBody(prompt, true), "")
	if err != nil {
		return err
	}
	offset := 0
	for token := range responseTokens {
		n := strings.Index(text[offset:], standin.ResponseToken(prompt, token))
		if n < 0 {
			return fmt.Errorf("token %d is missing or out of order", token)
		}
		offset += n
	}
	if !strings.HasSuffix(text, "data: [DONE]\n\n") {
		return errors.New("the stream ended without its final event")
	}
	return nil
}

func (l *loader) chatBody(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		l.cmd.Model, stream, responseTokens, prompt)
}

// send sends a request and returns the body of a successful response. It
// repeats a request that exceeds a limit after the delay that the response
// states.
func (l *loader) send(base, path, body, ticket string) (string, error) {
	for attempt := 1; ; attempt++ {
		res, err := l.post(base, path, body, ticket)
		if err != nil {
			return "", err
		}
		text, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil {
			return "", err
		}
		retryDelay := retryAfter(res)
		switch {
		case res.StatusCode < http.StatusMultipleChoices:
			return string(text), nil
		case res.StatusCode != http.StatusTooManyRequests || retryDelay == 0 || attempt == maxAttempts:
			return "", fmt.Errorf("status %d: %s", res.StatusCode, text)
		}
		l.record("times told to come back later", nil)
		time.Sleep(retryDelay)
	}
}

// retryAfter returns the delay in the Retry-After header of a response, zero if
// there is none.
func retryAfter(res *http.Response) time.Duration {
	seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (l *loader) post(base, path, body, ticket string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, base+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+l.cmd.Token)
	req.Header.Set("Content-Type", "application/json")
	if ticket != "" {
		req.Header.Set("Idempotency-Key", ticket)
	}
	return l.httpClient.Do(req)
}
