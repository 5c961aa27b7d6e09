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

// maxLogLineBytes is the maximum length of a line in a log.
const maxLogLineBytes = 1 << 20

// logLine is one line in the log of a gateway or an agent.
type logLine struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	// Request is empty for lines that do not belong to a request.
	Request string `json:"request,omitempty"`
	Text    string `json:"text"`
}

// logReport is the output of "trace --log": the log lines for one request.
type logReport struct {
	Request string    `json:"request"`
	Lines   []logLine `json:"lines"`
}

var (
	logTime     = regexp.MustCompile(`\btime=(\S+)`)
	logInstance = regexp.MustCompile(`\binstance=(\S+)`)
	logRequest  = regexp.MustCompile(`\brequest=(\S+)`)
)

// runFromLogs prints the log lines for the request from log files.
func (t *Trace) runFromLogs(env *cli.Env) error {
	var lines []logLine
	for _, name := range t.Log {
		read, err := readLog(env, name)
		if err != nil {
			return cli.Failure(err)
		}
		lines = append(lines, read...)
	}
	report := &logReport{Request: t.ID, Lines: linesAround(lines, t.ID, t.Around)}
	if err := env.Print(report, report.writeText); err != nil {
		return err
	}
	if len(report.Lines) == 0 {
		return cli.NegativeResult()
	}
	return nil
}

// readLog parses the named log file, or standard input if name is "-".
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

// parseLog reads lines of key=value pairs. It skips lines without a valid time, and
// text before the time.
func parseLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		loc := logTime.FindStringIndex(text)
		if loc == nil {
			continue
		}
		text = text[loc[0]:]
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

// firstGroup returns the first capture group of the first match, or "".
func firstGroup(r *regexp.Regexp, text string) string {
	found := r.FindStringSubmatch(text)
	if found == nil {
		return ""
	}
	return found[1]
}

// linesAround returns the lines of a request, sorted by time, together with the
// lines that belong to no request if the same instance logged them at most around
// before or after a line of the request.
func linesAround(lines []logLine, id string, around time.Duration) []logLine {
	var out []logLine
	for _, l := range lines {
		if l.Request == id {
			out = append(out, l)
		}
	}
	requestLineCount := len(out)
	for _, l := range lines {
		near := func(o logLine) bool { return o.Instance == l.Instance && o.At.Sub(l.At).Abs() <= around }
		if l.Request == "" && around > 0 && slices.ContainsFunc(out[:requestLineCount], near) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return out
}

func (r *logReport) writeText(w io.Writer) {
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
