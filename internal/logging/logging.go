// Package logging writes the log of the process: one line of key=value pairs per
// event.
package logging

import (
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// New returns a logger that writes events of at least the given level to w.
func New(w io.Writer, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.ConsoleWriter{Writer: w, Formatter: writeKeyValues},
	}
}

// writeKeyValues writes one event as a line. It leaves out the message and quotes
// only values that are empty or contain a delimiter.
func writeKeyValues(w io.Writer, args *log.FormatterArgs) (int, error) {
	line := append(make([]byte, 0, 256), "time="...)
	line = append(line, args.Time...)
	line = append(line, " level="...)
	line = append(line, args.Level...)
	for _, kv := range args.KeyValues {
		line = append(line, ' ')
		line = append(line, kv.Key...)
		line = append(line, '=')
		line = appendValue(line, kv.Value)
	}
	return w.Write(append(line, '\n'))
}

func appendValue(line []byte, value string) []byte {
	if value == "" || strings.ContainsAny(value, " \"=\n\t\\") {
		return strconv.AppendQuote(line, value)
	}
	return append(line, value...)
}
