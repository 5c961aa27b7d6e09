package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Limits on the values in a rules file.
const (
	maxNameBytes  = 64
	maxModelBytes = 128
	// maxListItems is the maximum number of values in one list.
	maxListItems = 256
	minShare     = 0.01
	maxShare     = 1000
	// maxRate is the largest rate in requests or tokens per second. It is above
	// the capacity of any deployment.
	maxRate = 1e9
)

// Units of rates, as written in the rules file.
const (
	unitRequests = "requests/s"
	unitTokens   = "tokens/s"
)

// nameBytes and modelBytes are the bytes allowed in names and in names of models.
const (
	lowerLetters = "abcdefghijklmnopqrstuvwxyz"
	digits       = "0123456789"
	nameBytes    = lowerLetters + digits + "-_."
	modelBytes   = nameBytes + "ABCDEFGHIJKLMNOPQRSTUVWXYZ:/"
)

// checkName describes what is wrong with a name, or returns "" if it is valid.
func checkName(word string) string {
	if len(word) > maxNameBytes {
		return fmt.Sprintf("the name has %d bytes; at most %d are allowed", len(word), maxNameBytes)
	}
	if word == "" || hasByteOutside(word, nameBytes) || hasByteOutside(word[:1], lowerLetters+digits) {
		return fmt.Sprintf("%q is not a valid name; use lower-case letters and digits, with - _ . between them", word)
	}
	return ""
}

// checkModel describes what is wrong with the name of a model, or returns "" if it
// is valid.
func checkModel(word string) string {
	if len(word) > maxModelBytes {
		return fmt.Sprintf("the name has %d bytes; at most %d are allowed", len(word), maxModelBytes)
	}
	if word == "" || hasByteOutside(word, modelBytes) {
		return fmt.Sprintf("%q is not a valid model name; use letters, digits, and - _ . : /", word)
	}
	return ""
}

// emptyTokenHash is the SHA-256 hash of the empty string.
const emptyTokenHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// checkHash describes what is wrong with the hash of a token, or returns "" if it
// is valid. The message never contains the word, which may be a plain-text token
// written there by mistake.
func checkHash(word string) string {
	hash, ok := strings.CutPrefix(word, hashPrefix)
	if !ok {
		return "a token is written as sha256:HASH, never in plain text; compute HASH with: printf %s TOKEN | sha256sum"
	}
	if len(hash) != hex.EncodedLen(sha256.Size) || hasByteOutside(hash, digits+"abcdef") {
		return fmt.Sprintf("sha256: is followed by %d characters; expected 64, each one of 0-9 and a-f", len(hash))
	}
	if hash == emptyTokenHash {
		return "this is the hash of an empty token; was the variable that held the token empty?"
	}
	return ""
}

// hasByteOutside reports whether word contains a byte that is not in allowed.
func hasByteOutside(word, allowed string) bool {
	for i := range len(word) {
		if strings.IndexByte(allowed, word[i]) < 0 {
			return true
		}
	}
	return false
}

// parseName parses one name.
func (p *parser) parseName(field string) (string, bool) {
	word, ok := p.nextWord(field, "a name")
	if !ok {
		return "", false
	}
	if problem := checkName(word); problem != "" {
		p.errorf(field, "%s", problem)
		return "", false
	}
	return word, true
}

// parseList parses values that are separated by commas without spaces. It reports
// what check returns for each value, unless that is "", and duplicate values.
func (p *parser) parseList(field string, check func(string) string) ([]string, bool) {
	word, ok := p.nextWord(field, "one or more values, with commas and no spaces between them")
	if !ok {
		return nil, false
	}
	items := strings.Split(word, ",")
	if len(items) > maxListItems {
		p.errorf(field, "the list has %d values; at most %d are allowed, so use more lines", len(items), maxListItems)
		return nil, false
	}
	valid := true
	for _, item := range items {
		if problem := check(item); problem != "" {
			p.errorf(field, "%s", problem)
			valid = false
		}
	}
	sorted := slices.Sorted(slices.Values(items))
	for i := 1; i < len(sorted) && valid; i++ {
		if sorted[i] == sorted[i-1] {
			p.errorf(field, "%q appears twice in the list", sorted[i])
			valid = false
		}
	}
	return items, valid
}

// parseNumber parses a decimal number without sign or exponent, from minValue to
// maxValue.
func (p *parser) parseNumber(field string, minValue, maxValue float64) (float64, bool) {
	word, ok := p.nextWord(field, "a number")
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseFloat(word, 64)
	if err != nil || hasByteOutside(word, digits+".") {
		p.errorf(field, "%q is not a number; write for example 2 or 0.5", word)
		return 0, false
	}
	if number < minValue || number > maxValue {
		p.errorf(field, "%s is outside %s to %s", word, formatNumber(minValue), formatNumber(maxValue))
		return 0, false
	}
	return number, true
}

// formatNumber formats a number as in the rules file, without an exponent.
func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

// parseRates parses one or more rates, such as "N requests/s" and "N tokens/s", in
// the given units.
func (p *parser) parseRates(field string, rates *Rates, units ...string) bool {
	parsed := 0
	for len(p.remainingWords) > 0 && strings.IndexByte(digits+".-+", p.remainingWords[0][0]) >= 0 {
		if !p.parseRate(field, rates, units) {
			return false
		}
		parsed++
	}
	if parsed == 0 {
		p.errorf(field, "the rate is missing; write for example \"%s 50 %s\"", field, strings.Join(units, " 20000 "))
	}
	return parsed > 0
}

// parseRate parses one rate and stores it in rates.
func (p *parser) parseRate(field string, rates *Rates, units []string) bool {
	value, ok := p.parseNumber(field, 0, maxRate)
	if !ok {
		return false
	}
	unit, ok := p.nextWord(field, "the unit ("+strings.Join(units, " or ")+")")
	if !ok {
		return false
	}
	if !slices.Contains(units, unit) {
		p.unknownWord(field, unit, units)
		return false
	}
	if value == 0 {
		p.errorf(field, "0 %s is not a valid rate; omit it for no limit", unit)
		return false
	}
	rate := &rates.RequestsPerSecond
	if unit == unitTokens {
		rate = &rates.TokensPerSecond
	}
	if *rate != 0 {
		p.errorf(field, "%s appears twice in the line", unit)
		return false
	}
	*rate = value
	return true
}
