package rules

import (
	"bytes"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxFileBytes is the maximum size of a rules file. It is the maximum size
	// of a value in the configuration service.
	MaxFileBytes = 1 << 20
	// MaxLineBytes is the maximum length of a line.
	MaxLineBytes = 4096
)

// byteOrderMark is the byte-order mark that some editors write before UTF-8 text.
var byteOrderMark = []byte("\xef\xbb\xbf")

// line is a line of the file that contains a rule, split into its words.
type line struct {
	number int
	words  []string
	source Source
}

// readLines checks the characters of text and calls handle for each line that
// contains a rule. It does not collect the lines, as a file may have half a
// million.
func readLines(r *report, text []byte, handle func(line)) {
	if len(text) > MaxFileBytes {
		r.errorf(1, "file", "has %d bytes; at most %d are allowed", len(text), MaxFileBytes)
		return
	}
	if bytes.HasPrefix(text, byteOrderMark) {
		r.errorf(1, "file", "begins with a byte-order mark; save it as UTF-8 without one")
		text = text[len(byteOrderMark):]
	}
	reportedCRLF := false
	number := 0
	for raw := range strings.SplitSeq(string(text), "\n") {
		number++
		if strings.HasSuffix(raw, "\r") {
			if !reportedCRLF {
				r.errorf(number, "line end", "ends in CR LF (other lines may too); save the file with Unix line endings (LF)")
			}
			reportedCRLF = true
			raw = strings.TrimSuffix(raw, "\r")
		}
		if !checkCharacters(r, number, raw) {
			continue
		}
		if l, ok := readLine(r, number, raw); ok {
			handle(l)
		}
	}
}

// checkCharacters reports a line that is too long, or else the first character of
// the line that is not allowed. It returns false if it reports one.
func checkCharacters(r *report, number int, raw string) bool {
	if len(raw) > MaxLineBytes {
		r.errorf(number, "line", "has %d bytes; at most %d are allowed", len(raw), MaxLineBytes)
		return false
	}
	for i, c := range raw {
		column := i + 1
		if c == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(raw[i:]); size == 1 {
				r.errorf(number, "character", "byte %d (0x%02x) is not UTF-8", column, raw[i])
				return false
			}
		}
		if isInvisible(c) {
			r.errorf(number, "character", "byte %d is the invisible character %U; remove it or replace it with a plain space", column, c)
			return false
		}
	}
	return true
}

// isInvisible reports whether c is invisible or looks like a space. Tabs and plain
// spaces separate words and are allowed.
func isInvisible(c rune) bool {
	if c == ' ' || c == '\t' {
		return false
	}
	return unicode.IsControl(c) || unicode.IsSpace(c) || unicode.Is(unicode.Cf, c)
}

// readLine splits a line into its words and its comment. It returns false if the
// line contains no rule.
func readLine(r *report, number int, raw string) (line, bool) {
	rule, comment, _ := strings.Cut(raw, "#")
	words := strings.FieldsFunc(rule, func(c rune) bool { return c == ' ' || c == '\t' })
	if len(words) == 0 {
		return line{}, false
	}
	l := line{number: number, words: words}
	l.source = Source{Line: number, Text: strings.Join(words, " ")}
	l.source.RequestedBy, l.source.Reason = readComment(r, number, comment)
	return l, true
}

// requesterPrefix begins the comment of every rule. It is also the field of
// problems with that comment.
const requesterPrefix = "asked for by"

// readComment returns who asked for a rule, and the reason if the comment has one.
func readComment(r *report, number int, comment string) (requester, reason string) {
	comment = strings.TrimSpace(comment)
	rest, ok := strings.CutPrefix(comment, requesterPrefix)
	if !ok {
		r.errorf(number, requesterPrefix, "the line does not say who asked for it; end it with \"# asked for by NAME: reason\"")
		return "", ""
	}
	requester, reason, _ = strings.Cut(rest, ":")
	trimmed := strings.TrimSpace(requester)
	if trimmed == "" || requester[0] != ' ' && requester[0] != '\t' {
		r.errorf(number, requesterPrefix, "the name is missing; write \"# asked for by NAME: reason\"")
		return "", ""
	}
	return trimmed, strings.TrimSpace(reason)
}
