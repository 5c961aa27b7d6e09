package opscmd

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"time"

	"bluebellwind.example/internal/cli"
)

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// logLine is one line of a gateway's or an agent's log.
type logLine struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	// Request is empty for lines that concern no request.
	Request string `json:"request,omitempty"`
	Text    string `json:"text"`
}

// logReport is the story of one request.
type logReport struct {
	Request string    `json:"request"`
	Lines   []logLine `json:"lines"`
}

var (
	logTime     = regexp.MustCompile(`\btime=(\S+)`)
	logInstance = regexp.MustCompile(`\binstance=(\S+)`)
	logRequest  = regexp.MustCompile(`\brequest=(\S+)`)
)

// fromLogs tells the request's story from log files.
func (t *Trace) fromLogs(env *cli.Env) error {
	var lines []logLine
	for _, name := range t.Log {
		read, err := readLog(env, name)
		if err != nil {
			return cli.Trouble(err)
		}
		lines = append(lines, read...)
	}
	report := &logReport{Request: t.ID, Lines: story(lines, t.ID, t.Around)}
	if err := env.Print(report, report.text); err != nil {
		return err
	}
	if len(report.Lines) == 0 {
		return cli.No()
	}
	return nil
}

func readLog(env *cli.Env, name string) ([]logLine, error) {
	if name == "-" {
		return parseLog(env.In)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return parseLog(f)
}

// parseLog reads lines of key=value pairs. Lines without a time are passed over.
func parseLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		span := logTime.FindStringIndex(text)
		if span == nil {
			continue
		}
		text = text[span[0]:]
		at, err := time.Parse(time.RFC3339Nano, firstGroup(logTime, text))
		if err != nil {
			continue
		}
		out = append(out, logLine{At: at, Instance: firstGroup(logInstance, text), Request: firstGroup(logRequest, text), Text: text})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return out, nil
}

func firstGroup(r *regexp.Regexp, text string) string {
	found := r.FindStringSubmatch(text)
	if found == nil {
		return ""
	}
	return found[1]
}

// story returns the request's lines in the order of time, and those lines of the
// same instances that concern no request and stand at most around apart.
func story(lines []logLine, id string, around time.Duration) []logLine {
	var out []logLine
	for _, l := range lines {
		if l.Request == id {
			out = append(out, l)
		}
	}
	own := len(out)
	for _, l := range lines {
		near := func(o logLine) bool { return o.Instance == l.Instance && o.At.Sub(l.At).Abs() <= around }
		if l.Request == "" && around > 0 && slices.ContainsFunc(out[:own], near) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return out
}

func (r *logReport) text(w io.Writer) {
	if len(r.Lines) == 0 {
		fmt.Fprintf(w, "request %s: in none of the logs; requests that went well are logged one in eight\n", r.Request)
		return
	}
	for _, l := range r.Lines {
		mark := " "
		if l.Request == r.Request {
			mark = "*"
		}
		fmt.Fprintf(w, "%s %s\n", mark, l.Text)
	}
}
